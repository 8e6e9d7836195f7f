/// \file
/// The messages of the flow family and their FlatBuffers form. A decoder
/// returns false for a body that does not verify or exceeds a limit.
#ifndef BORAGEBRIDGE_FLOW_FLOW_WIRE_H
#define BORAGEBRIDGE_FLOW_FLOW_WIRE_H

#include "boragebridge/packet.h"
#include "boragebridge/peer_link.h"
#include "flow/generation.h"
#include "flow/record_table.h"

namespace boragebridge {

/// Numbers of the messages within the family. A number never changes its
/// meaning.
enum class FlowMessage : std::uint8_t {
  State = 1,
  Ack = 2,
  Activate = 3,
  Settled = 4,
  Digest = 5,
  SyncRequest = 6,
  Relay = 7,
  Records = 8,
};

constexpr auto frameKind(FlowMessage m) -> std::uint16_t {
  return messageKind(MessageFamily::Flow, static_cast<std::uint8_t>(m));
}

/// The generations of some services: an announcement, or the answer to a
/// SyncRequest.
struct StateMessage {
  std::vector<PlacementState> Services;
  /// The generation that the receiver is asked to acknowledge; none when the
  /// message is not an announcement.
  GenerationId Announced;
  /// The tables of the sender were current when it sent the message.
  bool Synced = false;
  /// The number of the SyncRequest that the message answers; 0 for none.
  std::uint64_t Answer = 0;
};

/// Acknowledges that the sender has stored a generation.
struct AckMessage {
  GenerationId Id;
  /// The configuration revision that the sender uses.
  Revision ConfigRevision{};
};

/// Tells a participant to use a generation, which all participants have
/// acknowledged or failed to acknowledge in time.
struct ActivateMessage {
  GenerationId Id;
};

/// The slots of a service without open flows from before a generation.
struct SettledMessage {
  ServiceId Service{};
  GenerationId Id;
  std::vector<std::uint16_t> Slots;
};

/// A periodic message with a hash over all placements of the sender. Also shows
/// the receiver that it is not cut off.
struct DigestMessage {
  std::uint64_t Hash = 0;
  bool Synced = false;
};

/// Asks for the placements of the services in every bucket whose hash differs
/// from the sender's.
struct SyncRequestMessage {
  static constexpr std::size_t BucketCount = 32;
  /// Repeated in StateMessage::Answer.
  std::uint64_t Number = 0;
  std::vector<std::uint64_t> Buckets;
};

/// A packet on its way to the instance that decides for its slot.
struct RelayMessage {
  std::uint8_t Hops = 0;
  ServiceId Service{};
  Packet Content;
};

/// Flows and their upstreams, sent to another owner of their slots, to an
/// instance that relays their packets often, or by a leaving instance.
struct RecordsMessage {
  struct Entry {
    FlowHash Flow{};
    UpstreamId Upstream{};
  };
  ServiceId Service{};
  std::vector<Entry> Entries;
  /// The sender is leaving and has sent all its records.
  bool Complete = false;
};

auto encode(const StateMessage &m) -> Bytes;
auto encode(const AckMessage &m) -> Bytes;
auto encode(const ActivateMessage &m) -> Bytes;
auto encode(const SettledMessage &m) -> Bytes;
auto encode(const DigestMessage &m) -> Bytes;
auto encode(const SyncRequestMessage &m) -> Bytes;
auto encode(const RelayMessage &m) -> Bytes;
auto encode(const RecordsMessage &m) -> Bytes;

[[nodiscard]] auto decode(ByteView b, StateMessage &m) -> bool;
[[nodiscard]] auto decode(ByteView b, AckMessage &m) -> bool;
[[nodiscard]] auto decode(ByteView b, ActivateMessage &m) -> bool;
[[nodiscard]] auto decode(ByteView b, SettledMessage &m) -> bool;
[[nodiscard]] auto decode(ByteView b, DigestMessage &m) -> bool;
[[nodiscard]] auto decode(ByteView b, SyncRequestMessage &m) -> bool;
[[nodiscard]] auto decode(ByteView b, RelayMessage &m) -> bool;
[[nodiscard]] auto decode(ByteView b, RecordsMessage &m) -> bool;

} // namespace boragebridge

#endif
