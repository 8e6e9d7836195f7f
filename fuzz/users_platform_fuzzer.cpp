// Passes arbitrary data to all decoders of the adapter to the users' platform:
// packets, records and pages of the store, the settings file, member records,
// compressed lists of mirrors, and JSON text that is split without parsing it.
#include "fuzz_target.h"

#include "edge/configuration_parts.h"
#include "edge/mirror_tree.h"
#include "net/deflate.h"
#include "net/json_split.h"
#include "node_settings.h"
#include "object_dialect.h"
#include "packet_codec.h"
#include "record_codec.h"

#include <boost/json.hpp>

#include <cstdlib>

namespace boragebridge::fuzz {

/// Checks that the reset for a valid packet fits the reset buffer.
static auto checkPacket(ByteView datagram) -> void {
  const users::PacketCodec codec(8172);
  FlowPacket p;
  if (!codec.decode(datagram, p))
    return;
  PacketFormat::ResetBuffer buf;
  if (codec.makeReset(p, buf).size() > buf.size())
    std::abort();
}

/// Checks that decompression respects its limit and inverts compression.
static auto checkDeflate(const std::string &text) -> void {
  constexpr std::size_t Limit = std::size_t{1} << 16;
  if (const auto r = inflate(text, Limit); r.ok() && r->size() > Limit)
    std::abort();
  const auto data = deflate(text);
  if (!data.ok() || text.size() > Limit)
    return;
  if (const auto r = inflate(*data, Limit); !r.ok() || *r != text)
    std::abort();
}

/// Checks that valid JSON is split into as many parts as the parser finds.
static auto checkSplit(const std::string &text) -> void {
  boost::system::error_code ec;
  const auto parsed = boost::json::parse(text, ec);
  const auto elements = splitJsonArray(text);
  const auto members = splitJsonObject(text);
  if (ec)
    return;
  if (elements.ok() != parsed.is_array() || members.ok() != parsed.is_object())
    std::abort();
  if (elements.ok() && elements->size() != parsed.as_array().size())
    std::abort();
  // Of members with the same name, the parser keeps one.
  if (members.ok() && members->size() < parsed.as_object().size())
    std::abort();
}

/// Checks that an entry with the value \p text does not hide its neighbours.
static auto checkNeighbours(const std::string &text) -> void {
  const auto alone = splitJsonArray("[" + text + "]");
  if (!alone.ok() || alone->size() != 1)
    return;
  const auto page = users::ObjectDialect().parsePage(
      "servers/", R"({"items":[{"meta":{"name":"a","revision":1},"spec":1},
                               {"meta":{"name":"b","revision":2},"spec":)" +
                      text +
                      R"(},{"meta":{"name":"c","revision":3},"spec":3}],
                     "hasMore":false,"atRev":3})");
  if (!page.ok() || page->Objects.Events.size() != 3)
    std::abort();
}

auto testOneInput(ByteView data) -> void {
  checkPacket(data);
  const auto text = toText(data);
  const users::RecordCodec records;
  static_cast<void>(records.decodeUpstream({"servers/i-1", text, 1}));
  static_cast<void>(decodeConfiguration(records, {"config/main", text, 1}));
  static_cast<void>(users::ObjectDialect().parsePage("servers/", text));
  static_cast<void>(users::parseNodeSettings("f", text));
  static_cast<void>(parseMember("m", text));
  checkDeflate(text);
  checkSplit(text);
  checkNeighbours(text);
}

} // namespace boragebridge::fuzz
