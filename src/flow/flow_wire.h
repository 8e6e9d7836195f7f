/// \file
/// The messages of the flow family, and their FlatBuffers form. A decoder
/// returns false for a body that does not verify or is over a limit.
#ifndef BORAGEBRIDGE_FLOW_FLOW_WIRE_H
#define BORAGEBRIDGE_FLOW_FLOW_WIRE_H

#include "boragebridge/packet.h"
#include "boragebridge/peer_link.h"
#include "flow/generation.h"
#include "flow/record_table.h"

namespace boragebridge {

/// Numbers of the messages within the family. Never change meaning.
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

/// Generations of some services: an announcement or the answer to a request.
struct StateMessage {
  std::vector<PlacementState> Services;
  /// Not none: the sender wants an Ack of this generation.
  GenerationId Announced;
  /// The sender was up to date when it sent this.
  bool Synced = false;
  /// Number of the SyncRequest that this answers; 0 for none.
  std::uint64_t Answer = 0;
};

/// "I know this generation."
struct AckMessage {
  GenerationId Id;
  /// The sender's configuration.
  Revision ConfigRevision{};
};

/// All participants know this generation: use it.
struct ActivateMessage {
  GenerationId Id;
};

/// The slots that have no flow from before the generation.
struct SettledMessage {
  ServiceId Service{};
  GenerationId Id;
  std::vector<std::uint16_t> Slots;
};

/// A sign of life and a hash over everything the sender knows.
struct DigestMessage {
  std::uint64_t Hash = 0;
  bool Synced = false;
};

/// Asks for the services whose bucket hash differs from the sender's.
struct SyncRequestMessage {
  static constexpr std::size_t BucketCount = 32;
  /// Comes back in the answer.
  std::uint64_t Number = 0;
  std::vector<std::uint64_t> Buckets;
};

/// A packet of an unsettled slot on its way to the instance that decides.
struct RelayMessage {
  std::uint8_t Hops = 0;
  ServiceId Service{};
  Packet Content;
};

/// Flows and their upstreams, for the mirror or a new home.
struct RecordsMessage {
  struct Entry {
    FlowHash Flow{};
    UpstreamId Upstream{};
  };
  ServiceId Service{};
  std::vector<Entry> Entries;
  /// The sender leaves and has handed over all it had.
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
