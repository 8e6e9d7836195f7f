#include "codec/datagram_codec.h"

#include "codec/packet_generated.h"

namespace boragebridge {

static auto isKnownKind(std::uint8_t n) -> bool {
  switch (static_cast<PacketKind>(n)) {
  case PacketKind::FlowOpen:
  case PacketKind::FlowData:
  case PacketKind::FlowClose:
  case PacketKind::FlowReset:
  case PacketKind::Request:
  case PacketKind::Reply:
  case PacketKind::Cancel:
  case PacketKind::Execute:
  case PacketKind::Result:
  case PacketKind::Report:
  case PacketKind::Probe:
    return true;
  }
  return false;
}

auto encodeDatagram(const Packet &p) -> absl::StatusOr<Bytes> {
  if (p.Payload.size() > MaxPayloadBytes)
    return absl::InvalidArgumentError("packet payload exceeds the size limit");
  constexpr std::size_t TableBytes = 96;
  flatbuffers::FlatBufferBuilder builder(p.Payload.size() + TableBytes);
  auto payload = builder.CreateVector(
      reinterpret_cast<const std::uint8_t *>(p.Payload.data()),
      p.Payload.size());
  builder.Finish(wire::CreateDatagram(
      builder, static_cast<std::uint8_t>(p.Kind), p.Flow.Caller.Address,
      p.Flow.Caller.Port, p.Flow.Service.Address, p.Flow.Service.Port,
      p.Flow.Protocol, payload));
  const auto *begin =
      reinterpret_cast<const std::byte *>(builder.GetBufferPointer());
  return Bytes(begin, begin + builder.GetSize());
}

auto decodeDatagram(ByteView datagram) -> absl::StatusOr<Packet> {
  if (datagram.size() > MaxDatagramBytes)
    return absl::InvalidArgumentError("datagram exceeds the size limit");
  const auto *data = reinterpret_cast<const std::uint8_t *>(datagram.data());
  flatbuffers::Verifier verifier(data, datagram.size());
  if (!wire::VerifyDatagramBuffer(verifier))
    return absl::InvalidArgumentError(
        "datagram is not a valid FlatBuffers table");
  const auto *table = wire::GetDatagram(data);
  if (!isKnownKind(table->kind()))
    return absl::InvalidArgumentError("datagram has an unknown packet kind");
  Packet p;
  p.Kind = static_cast<PacketKind>(table->kind());
  p.Flow.Caller = {table->caller_address(), table->caller_port()};
  p.Flow.Service = {table->service_address(), table->service_port()};
  p.Flow.Protocol = table->protocol();
  if (const auto *payload = table->payload()) {
    if (payload->size() > MaxPayloadBytes)
      return absl::InvalidArgumentError(
          "packet payload exceeds the size limit");
    const auto *begin = reinterpret_cast<const std::byte *>(payload->data());
    p.Payload.assign(begin, begin + payload->size());
  }
  return p;
}

} // namespace boragebridge
