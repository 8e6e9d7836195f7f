/// \file
/// Decides for each packet of a caller whether it is forwarded, and to which
/// upstream, whether its flow is reset, or whether it is dropped.
///
/// An opening packet goes to the upstream that a PlacementPolicy chooses. Every
/// later packet goes to the upstream that its tag names, whichever instance
/// receives it, or to the later lifetime of that upstream.
///
/// A flow is offered to one upstream only: a retransmitted opening packet goes
/// where its first transmission went, and is reset if that upstream does not
/// seem to answer or is not known here. A second upstream would answer too, and
/// the caller would echo the tag of whichever answered last, also while the
/// flow is open at the other. The caller opens another flow instead.
///
/// A flow is reset at once if its upstream has ended, if its route was removed,
/// or if no upstream can take it; its caller can then reconnect without delay.
/// That its record is missing, or that another upstream has claimed its address
/// or its name, does not show that an upstream has ended, unless record and
/// address are gone both or its flows get no answer besides.
///
/// Example:
/// \code
///   switch (const auto d = forwarder.decide(packet, now); d.Action) { ... }
/// \endcode
///
/// Free of I/O; not thread-safe. Allocates no memory for a packet, except when
/// a data centre becomes suspected.
#ifndef BORAGEBRIDGE_EDGE_FORWARDER_H
#define BORAGEBRIDGE_EDGE_FORWARDER_H

#include "edge/flow_cache.h"
#include "edge/flow_packet.h"
#include "edge/load/load_control.h"
#include "edge/placement_policy.h"
#include "edge/unknown_tags.h"
#include "edge/upstream_estimates.h"

#include <array>

namespace boragebridge {

enum class EdgeAction : std::uint8_t { Forward, Reset, Drop };

/// Why a packet was forwarded, reset or dropped. toString() gives the names
/// used in logs and metrics.
enum class EdgeReason : std::uint8_t {
  Opened,
  OpenedAgain,
  /// The upstream of the opening did not answer, and others may, or it takes no
  /// new flows any more.
  OpeningFailed,
  /// The opening was sent before, and this instance does not know to which
  /// upstream: the first transmission came through another instance, or was
  /// lost.
  UnknownOpening,
  /// An open flow that this instance has seen before.
  Known,
  /// An open flow that this instance has not seen before. The tag decides about
  /// both.
  Tagged,
  /// The upstream of the flow has restarted. It answers the packet itself:
  /// the flow may have been opened since.
  Restarted,
  /// The tag is that of a lifetime that this instance does not know. The name
  /// part of the tag identifies the upstream, which answers the packet itself.
  OtherLifetime,
  NoRoute,
  NoUpstream,
  UpstreamGone,
  UpstreamUnresponsive,
  UnknownTag,
  NoTag,
  NotReady,
  Stale,
  /// The upstreams of the service are full.
  Overloaded,
  Count,
};

auto toString(EdgeReason r) -> std::string_view;

/// Whether the packet has the tag of a lifetime that this instance does not
/// know. Another instance may know it.
constexpr auto isOfUnknownLifetime(EdgeReason r) -> bool {
  return r == EdgeReason::UnknownTag || r == EdgeReason::OtherLifetime;
}

/// What to do with one packet.
struct EdgeDecision {
  EdgeAction Action = EdgeAction::Drop;
  EdgeReason Reason = EdgeReason::NotReady;
  /// Set if the packet is forwarded, and for OpeningFailed if it is known.
  const UpstreamLifetime *Upstream = nullptr;
  /// For an opening packet: why Upstream was chosen.
  PickReason Choice = PickReason::None;
};

struct ForwarderOptions {
  std::size_t CachedFlows = 16'384;
  /// An opening packet that no other packet of its flow follows within this
  /// time counts as unanswered.
  Duration AnswerTimeout = std::chrono::milliseconds(60);
  /// A caller sends an opening again for less than this time. A later opening
  /// on the port begins another flow.
  Duration OpeningTime = std::chrono::seconds(2);
  /// A flow is remembered for at least this long after its last packet, which
  /// may be sent again, also if flows may be idle for less.
  Duration MinFlowMemory = std::chrono::seconds(5);
  /// Data that arrives again sooner was queued in this process and not
  /// retransmitted by its caller.
  Duration MinRetransmissionInterval = std::chrono::milliseconds(100);
  /// A pause of this process, between two calls of tick(), that is longer than
  /// this invalidates the failures and the pending openings recorded before it.
  Duration PauseThreshold = std::chrono::milliseconds(150);
  /// Opening packets that were queued during a pause longer than this are
  /// dropped: their callers have retransmitted them through other instances,
  /// and a second answer could move a flow to another upstream.
  Duration StaleOpeningThreshold = std::chrono::milliseconds(1000);
  /// An answer of at most this many bytes refuses the request; 0: refusals are
  /// not recognised.
  std::uint32_t MaxRefusalBytes = 0;
  /// A caller may wait this long before it acknowledges an answer of at most
  /// SinglePacketBytes.
  Duration MaxAckDelay = Duration::zero();
  std::uint32_t SinglePacketBytes = 0;
};

class Forwarder {
public:
  /// All references must outlive the forwarder. Requests and answers are
  /// reported to \p load; null: to none.
  Forwarder(const UpstreamDirectory &directory, UpstreamEstimates &estimates,
            PlacementPolicy &policy, ForwarderOptions opt = {},
            LoadControl *load = nullptr);

  auto decide(const FlowPacket &p, TimePoint now) -> EdgeDecision;
  /// Records failures for openings that were not answered in time. Call every
  /// few tens of milliseconds, after decide() was called for all queued
  /// packets.
  auto tick(TimePoint now) -> void;
  /// The upstream that \p tag names, if flows with this tag may be open, there
  /// or at a later lifetime; else null.
  auto upstreamWithFlows(UpstreamTag tag, TimePoint now) const
      -> const UpstreamLifetime *;
  /// How often \p r was the reason of a decision.
  auto count(EdgeReason r) const -> std::uint64_t {
    return Counts[static_cast<std::size_t>(r)];
  }
  /// How often a caller was found to use a port again for another flow, without
  /// an opening that came through this instance.
  auto reusedPorts() const -> std::uint64_t { return ReusedPorts; }
  /// Handshake time of the flow that the last decision found to be answered;
  /// zero if there was none.
  auto lastAnswerTime() const -> Duration { return AnswerTime; }

private:
  /// An opening packet that waits for its answer.
  struct PendingOpening {
    FlowKey Flow;
    TimePoint At;
    UpstreamTag Tag = UpstreamTag::None;
  };

  auto decidePacket(const FlowPacket &p, TimePoint now) -> EdgeDecision;
  /// The entry of the flow \p key, or null if there is none or the flow has
  /// been idle for so long that it may be forgotten.
  auto findFlow(const FlowKey &key, TimePoint now) -> FlowEntry *;
  auto forwardNewFlow(const FlowPacket &p, const RouteRecord &route,
                      TimePoint now) -> EdgeDecision;
  auto forwardRetransmission(const RouteRecord &route, FlowEntry &e,
                             TimePoint now) -> EdgeDecision;
  /// \p route is null if it is unknown.
  auto forwardEstablished(const FlowPacket &p, const RouteRecord *route,
                          TimePoint now) -> EdgeDecision;
  auto forwardUnknownTag(const FlowPacket &p, TimePoint now) -> EdgeDecision;
  /// The entry of the flow of \p p, which goes to \p u; a new one if there is
  /// none, or if the entry of the port is that of an earlier flow.
  auto entryOf(const FlowPacket &p, const UpstreamLifetime &u, TimePoint now)
      -> FlowEntry &;
  /// Whether \p u is gone by the records and its flows get no answer.
  auto hasEnded(const UpstreamLifetime &u, TimePoint now) const -> bool;
  /// Whether this process has been paused since the last tick.
  auto isPaused(TimePoint now) const -> bool;
  auto waitingSince(const FlowEntry &e, TimePoint now) const -> TimePoint;
  auto observe(const FlowPacket &p, const RouteRecord *route, FlowEntry &e,
               const UpstreamLifetime &u, TimePoint now) -> void;
  /// Packet \p p acknowledges \p bytes more of what \p u sent. Returns whether
  /// these refuse the request.
  auto observeAnswer(const FlowPacket &p, std::uint32_t bytes,
                     const RouteRecord *route, FlowEntry &e,
                     const UpstreamLifetime &u, TimePoint now) -> bool;
  /// It will not be seen here whether the request of the flow is answered.
  auto endRequest(FlowEntry &e, TimePoint now) -> void;
  /// A request of the flow was sent to \p u.
  auto beginRequest(const RouteRecord &route, FlowEntry &e,
                    const UpstreamLifetime &u, TimePoint now) -> void;
  /// The first packet after the handshake, or the first that this instance has
  /// seen of the flow.
  auto open(const FlowPacket &p, FlowEntry &e, const UpstreamLifetime &u,
            TimePoint now) -> void;
  auto checkAnswered(const PendingOpening &o, TimePoint now) -> void;
  auto upstreamOf(const FlowEntry &e) const -> const UpstreamLifetime *;
  auto awaitAnswer(const FlowEntry &e, TimePoint now) -> void;

  const UpstreamDirectory &Directory;
  UpstreamEstimates &Estimates;
  PlacementPolicy &Policy;
  ForwarderOptions Options;
  LoadControl *Load;
  FlowCache Flows;
  UnknownTags Unknown;
  std::array<std::uint64_t, static_cast<std::size_t>(EdgeReason::Count)>
      Counts{};
  /// A ring buffer. When it is full, the oldest opening is dropped unchecked.
  std::vector<PendingOpening> PendingOpenings;
  std::size_t OldestPending = 0;
  std::size_t PendingCount = 0;
  TimePoint LastTick;
  /// When the last pause of this process was found.
  TimePoint ResumedAt;
  Duration AnswerTime{};
  std::uint64_t ReusedPorts = 0;
};

} // namespace boragebridge

#endif
