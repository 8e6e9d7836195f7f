// Passes arbitrary data to all decoders of the adapter to the users' platform:
// packets, records and pages of the store, the settings file, member records,
// and compressed lists of mirrors.
#include "fuzz_target.h"

#include "edge/mirror_tree.h"
#include "net/deflate.h"
#include "node_settings.h"
#include "object_dialect.h"
#include "packet_codec.h"
#include "record_codec.h"

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

auto testOneInput(ByteView data) -> void {
  checkPacket(data);
  const auto text = toText(data);
  const users::RecordCodec records;
  static_cast<void>(records.decodeUpstream({"servers/i-1", text, 1}));
  static_cast<void>(records.decodeConfiguration({"config/main", text, 1}));
  static_cast<void>(users::ObjectDialect().parsePage("servers/", text));
  static_cast<void>(users::parseNodeSettings("f", text));
  static_cast<void>(parseMember("m", text));
  checkDeflate(text);
}

} // namespace boragebridge::fuzz
