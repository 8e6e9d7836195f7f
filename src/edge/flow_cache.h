/// \file
/// A fixed-size table of the flows that this instance has seen recently. A new
/// flow replaces the least recently seen one of its bucket. No flow is lost
/// with its entry, as the tag in its packets names the upstream.
///
/// An entry does not decide where the packets of an open flow go. It may
/// outlive its flow, whose end may have come through another instance, and its
/// caller may use the port again.
///
/// Allocates memory only on construction. Not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_FLOW_CACHE_H
#define BORAGEBRIDGE_EDGE_FLOW_CACHE_H

#include "edge/upstream_directory.h"

namespace boragebridge {

/// The state of one flow, derived from its caller's packets.
struct FlowEntry {
  FlowKey Flow;
  UpstreamTag Tag = UpstreamTag::None;
  UpstreamIndex Index = 0;
  TimePoint OpenedAt;
  TimePoint SeenAt;
  /// When the most recent data was first sent.
  TimePoint SentAt;
  /// When the flow last retransmitted data.
  TimePoint RetransmittedAt;
  /// Sequence number of the packet that opened the flow.
  std::uint32_t FirstSequence = 0;
  /// Sequence number after the last byte sent.
  std::uint32_t NextSequence = 0;
  std::uint32_t Acknowledged = 0;
  /// When the request in progress was sent, if AwaitsAnswer.
  TimePoint RequestAt;
  bool Used = false;
  /// A request was sent, and no byte of its answer was acknowledged yet.
  bool AwaitsAnswer = false;
  /// The upstream has answered the opening packet.
  bool Open = false;
  /// The caller has ended the flow, and sends no more data.
  bool Finished = false;
  /// The opening packet was not answered in time.
  bool Unanswered = false;
};

class FlowCache {
public:
  static constexpr std::size_t Ways = 8;

  /// Holds at least \p flows flows, rounded up to a power of two.
  explicit FlowCache(std::size_t flows);

  /// The entry of \p key, or null.
  auto find(const FlowKey &key) -> FlowEntry *;
  /// A new entry for \p key. It replaces the previous entry of \p key, or the
  /// least recently seen flow of the bucket.
  auto insert(const FlowKey &key, TimePoint now) -> FlowEntry &;
  auto capacity() const -> std::size_t { return Entries.size(); }

private:
  auto bucketOf(const FlowKey &key) -> FlowEntry *;

  std::vector<FlowEntry> Entries;
  std::size_t Mask;
};

} // namespace boragebridge

#endif
