/// \file
/// What this instance saw of flows lately: a table of fixed size that forgets
/// the flow which was silent the longest. Losing an entry loses no flow, as
/// the tag in its packets names the upstream.
///
/// An entry pins a flow to its upstream from the first packet after the
/// handshake on, so that a second upstream that answered a copy of the opening
/// packet cannot turn the flow aside.
///
/// Allocates only when it is made. Not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_FLOW_CACHE_H
#define BORAGEBRIDGE_EDGE_FLOW_CACHE_H

#include "edge/upstream_directory.h"

namespace boragebridge {

/// One flow as its caller's packets show it.
struct FlowEntry {
  FlowKey Flow;
  UpstreamTag Tag = UpstreamTag::None;
  UpstreamIndex Index = 0;
  TimePoint OpenedAt;
  TimePoint SeenAt;
  /// When the data that was sent last was sent first.
  TimePoint SentAt;
  /// When it last sent data again.
  TimePoint RetransmittedAt;
  /// Sequence of the packet that opened the flow.
  std::uint32_t FirstSequence = 0;
  /// The byte after the last one sent.
  std::uint32_t NextSequence = 0;
  std::uint32_t Acknowledged = 0;
  bool Used = false;
  /// The upstream has answered the opening packet.
  bool Open = false;
  /// The opening packet was given up as unanswered.
  bool Unanswered = false;
};

class FlowCache {
public:
  static constexpr std::size_t Ways = 8;

  /// Holds at least \p flows flows, rounded up to a power of two.
  explicit FlowCache(std::size_t flows);

  /// The entry of \p key, or null.
  auto find(const FlowKey &key) -> FlowEntry *;
  /// A fresh entry for \p key, in place of its old one or of the one that was
  /// silent the longest.
  auto insert(const FlowKey &key, TimePoint now) -> FlowEntry &;
  auto capacity() const -> std::size_t { return Entries.size(); }

private:
  auto bucketOf(const FlowKey &key) -> FlowEntry *;

  std::vector<FlowEntry> Entries;
  std::size_t Mask;
};

} // namespace boragebridge

#endif
