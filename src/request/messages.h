/// \file
/// Encoding of the request module's messages. decode() verifies a body with
/// size limits before any field of it is read.
#ifndef BORAGEBRIDGE_REQUEST_MESSAGES_H
#define BORAGEBRIDGE_REQUEST_MESSAGES_H

#include "boragebridge/packet.h"
#include "boragebridge/peer_link.h"
#include "request/request_generated.h"

namespace boragebridge {

/// The generated types of request.fbs.
namespace rw = wire::request;

/// Numbers of the peer messages of MessageFamily::Request.
enum class RequestMessage : std::uint8_t {
  Relay = 1,
  Demand = 2,
  Lend = 3,
  PoolHandOver = 4,
  LedgerPart = 5,
  LedgerPartAck = 6,
  Successor = 7,
  SuccessorAck = 8,
  PoolClaim = 9,
};

/// Frame kind of \p m.
constexpr auto requestKind(RequestMessage m) -> std::uint16_t {
  return messageKind(MessageFamily::Request, static_cast<std::uint8_t>(m));
}

/// Largest message that is decoded, in bytes.
constexpr std::size_t MaxRequestMessage = 256U << 10U;

/// Returns the wire form of \p m, an object of the generated API.
template <typename T> auto encode(const T &m) -> Bytes {
  flatbuffers::FlatBufferBuilder b;
  b.Finish(T::TableType::Pack(b, &m));
  const auto view = std::as_bytes(std::span(b.GetBufferPointer(), b.GetSize()));
  return {view.begin(), view.end()};
}

/// Decodes \p body into \p m; false when it fails verification.
template <typename T> auto decode(ByteView body, T &m) -> bool {
  if (body.size() > MaxRequestMessage)
    return false;
  const auto *data = reinterpret_cast<const std::uint8_t *>(body.data());
  flatbuffers::Verifier v(data, body.size());
  if (!v.VerifyBuffer<typename T::TableType>(nullptr))
    return false;
  flatbuffers::GetRoot<typename T::TableType>(data)->UnPackTo(&m);
  return true;
}

/// Convert between Bytes and the byte vectors of the generated code.
inline auto toWire(ByteView b) -> std::vector<std::uint8_t> {
  const auto *data = reinterpret_cast<const std::uint8_t *>(b.data());
  return {data, data + b.size()};
}
inline auto fromWire(const std::vector<std::uint8_t> &b) -> Bytes {
  const auto view = std::as_bytes(std::span(b));
  return {view.begin(), view.end()};
}

} // namespace boragebridge

#endif
