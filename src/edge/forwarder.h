/// \file
/// Decides what becomes of each packet of a caller: to which upstream it goes,
/// or whether the flow is reset or the packet dropped.
///
/// An opening packet goes to the upstream that a Placement chooses. Every later
/// one goes to the upstream that its tag names, whichever instance sees it. A
/// flow whose upstream is gone, whose route was removed or that no upstream can
/// take is reset at once, so that its caller may come back at once.
///
/// Example:
/// \code
///   switch (const auto d = forwarder.decide(packet, now); d.What) { ... }
/// \endcode
///
/// Free of I/O; not thread-safe. Allocates nothing for a packet, except when
/// suspicion of a data centre begins.
#ifndef BORAGEBRIDGE_EDGE_FORWARDER_H
#define BORAGEBRIDGE_EDGE_FORWARDER_H

#include "edge/flow_cache.h"
#include "edge/flow_packet.h"
#include "edge/placement_policy.h"
#include "edge/upstream_estimates.h"

#include <array>

namespace boragebridge {

enum class EdgeAction : std::uint8_t { Forward, Reset, Drop };

/// Why a packet met its fate; the names in logs and metrics are toString's.
enum class EdgeReason : std::uint8_t {
  Opened,
  OpenedAgain,
  Pinned,
  Tagged,
  NoRoute,
  NoUpstream,
  UpstreamGone,
  UpstreamUnresponsive,
  UnknownTag,
  NoTag,
  NotReady,
  Stale,
  Count,
};

auto toString(EdgeReason r) -> std::string_view;

/// What is to be done with one packet.
struct EdgeDecision {
  EdgeAction Action = EdgeAction::Drop;
  EdgeReason Reason = EdgeReason::NotReady;
  /// Set when it is forwarded.
  const UpstreamLifetime *Upstream = nullptr;
  /// For an opening packet: how To was chosen.
  PickReason Choice = PickReason::None;
};

struct ForwarderOptions {
  std::size_t CachedFlows = 16'384;
  /// An opening packet that no other packet of its flow follows for so long
  /// counts as unanswered.
  Duration AnswerTimeout = std::chrono::milliseconds(60);
  /// Data that comes again sooner waited in this process, not at its caller.
  Duration MinRetransmissionInterval = std::chrono::milliseconds(100);
  /// Longer pauses of this process void what was seen before them.
  Duration LongestPause = std::chrono::milliseconds(150);
  /// Opening packets that waited through a longer pause are dropped: their
  /// callers have sent copies through other instances, and a second answer
  /// could turn a flow aside.
  Duration StalePause = std::chrono::milliseconds(1000);
};

class Forwarder {
public:
  /// All references outlive the forwarder.
  Forwarder(const UpstreamDirectory &directory, UpstreamEstimates &estimates,
            PlacementPolicy &policy, ForwarderOptions opt = {});

  auto decide(const FlowPacket &p, TimePoint now) -> EdgeDecision;
  /// Judges openings that stayed unanswered. Call every few tens of
  /// milliseconds, after all packets that wait have been decided on.
  auto tick(TimePoint now) -> void;
  /// How often each reason was given.
  auto count(EdgeReason r) const -> std::uint64_t {
    return Counts[static_cast<std::size_t>(r)];
  }
  /// Handshake time of the flow that the last decision found answered; zero
  /// when it found none.
  auto lastAnswerTime() const -> Duration { return AnswerTime; }

private:
  /// An opening that waits for its answer.
  struct PendingOpening {
    FlowKey Flow;
    TimePoint At;
    UpstreamTag Tag = UpstreamTag::None;
  };

  auto decidePacket(const FlowPacket &p, TimePoint now) -> EdgeDecision;
  auto forwardNewFlow(const FlowPacket &p, const RouteRecord &route,
                      TimePoint now) -> EdgeDecision;
  auto forwardRetransmission(const FlowPacket &p, const RouteRecord &route,
                             FlowEntry &e, TimePoint now) -> EdgeDecision;
  auto forwardOpening(const FlowPacket &p, FlowEntry &e, const Pick &pick,
                      EdgeReason why, TimePoint now) -> EdgeDecision;
  auto forwardEstablished(const FlowPacket &p, TimePoint now) -> EdgeDecision;
  auto observe(const FlowPacket &p, FlowEntry &e, const UpstreamLifetime &u,
               TimePoint now) -> void;
  auto pin(const FlowPacket &p, FlowEntry &e, const UpstreamLifetime &u,
           TimePoint now) -> void;
  auto checkAnswered(const PendingOpening &o, TimePoint now) -> void;
  auto upstreamOf(const FlowEntry &e) const -> const UpstreamLifetime *;
  auto awaitAnswer(const FlowEntry &e, TimePoint now) -> void;

  const UpstreamDirectory &Directory;
  UpstreamEstimates &Estimates;
  PlacementPolicy &Policy;
  ForwarderOptions Options;
  FlowCache Flows;
  std::array<std::uint64_t, static_cast<std::size_t>(EdgeReason::Count)>
      Counts{};
  /// A ring; the oldest opening goes unjudged when it is full.
  std::vector<PendingOpening> PendingOpenings;
  std::size_t OldestPending = 0;
  std::size_t PendingCount = 0;
  TimePoint LastTick;
  Duration AnswerTime{};
};

} // namespace boragebridge

#endif
