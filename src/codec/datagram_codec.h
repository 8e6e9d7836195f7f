/// \file
/// Packets as datagrams on the wire: one FlatBuffers table for each.
///
/// All functions here are pure and may be called from any thread.
#ifndef BORAGEBRIDGE_CODEC_DATAGRAM_CODEC_H
#define BORAGEBRIDGE_CODEC_DATAGRAM_CODEC_H

#include "boragebridge/packet.h"

#include "absl/status/statusor.h"

namespace boragebridge {

/// The longest datagram that UDP over IPv4 carries, in bytes.
inline constexpr std::size_t MaxDatagramBytes = 65507;
/// The longest payload of one packet, in bytes.
inline constexpr std::size_t MaxPayloadBytes = 65000;

/// The datagram of \p p. InvalidArgument when the payload is too long.
auto encodeDatagram(const Packet &p) -> absl::StatusOr<Bytes>;

/// The packet in \p datagram. InvalidArgument when it is too long, does not
/// verify, or is of no known kind; nothing is read before it is verified.
auto decodeDatagram(ByteView datagram) -> absl::StatusOr<Packet>;

} // namespace boragebridge

#endif
