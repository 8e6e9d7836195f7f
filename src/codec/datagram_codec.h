/// \file
/// Encodes packets as UDP datagrams and decodes them. Each datagram holds one
/// FlatBuffers table.
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

/// Encodes \p p. Returns InvalidArgument when the payload is longer than
/// MaxPayloadBytes.
auto encodeDatagram(const Packet &p) -> absl::StatusOr<Bytes>;

/// Decodes \p datagram. Returns InvalidArgument when the datagram or its
/// payload is too long, when the FlatBuffers verifier rejects it, or when its
/// packet kind is unknown. No field is read before verification.
auto decodeDatagram(ByteView datagram) -> absl::StatusOr<Packet>;

} // namespace boragebridge

#endif
