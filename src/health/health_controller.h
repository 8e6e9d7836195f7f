/// \file
/// Owner of the Health section of the blackboard: collects observations of the
/// upstreams, agrees with the other instances on the health of each, and
/// publishes which upstreams may get work.
///
/// See docs/design/health.md for the reasons behind the design.
#ifndef BORAGEBRIDGE_HEALTH_HEALTH_CONTROLLER_H
#define BORAGEBRIDGE_HEALTH_HEALTH_CONTROLLER_H

#include "boragebridge/controller.h"
#include "health/health_status_gossip.h"
#include "health/health_status_sync.h"
#include "health/health_view_builder.h"
#include "health/health_wire.h"
#include "health/prober.h"
#include "health/upstream_observer.h"

namespace boragebridge {

/// The health controller. The request and flow controllers report events of
/// upstreams to it through UpstreamObserver.
class HealthController final : public Controller, public UpstreamObserver {
public:
  /// Time between two rounds of observation summaries to the owners of
  /// upstreams.
  static constexpr Duration SummaryInterval = std::chrono::milliseconds(500);
  /// Number of upstreams in one round of summaries; the others wait for the
  /// next round.
  static constexpr std::size_t SummaryLimit = 8;
  /// Number of urgent observations queued in one tick; further ones are dropped
  /// and counted.
  static constexpr std::size_t UrgentLimit = 64;
  /// Time between two exchanges with a random peer, and number of statuses in
  /// each.
  static constexpr Duration ExchangeInterval = std::chrono::seconds(1);
  static constexpr std::size_t ExchangeLimit = 16;
  /// Time between two views while nothing but time changes the view.
  static constexpr Duration ViewInterval = std::chrono::milliseconds(100);
  /// Number of upstreams in the state dump.
  static constexpr std::size_t DumpLimit = 256;

  explicit HealthController(const ControllerContext &ctx);

  auto name() const -> std::string_view override { return "health"; }
  auto family() const -> MessageFamily override {
    return MessageFamily::Health;
  }
  auto tick(TimePoint now) -> void override;
  auto onPeerFrame(const PeerFrame &f) -> bool override;
  auto onPacket(PacketOrigin from, const Endpoint &peer, const Packet &p)
      -> bool override;
  auto dump() const -> boost::json::object override;

  auto onWorkSent(UpstreamId id) -> void override;
  auto onAnswer(UpstreamId id, Duration latency) -> void override;
  auto onRefusal(UpstreamId id, RefusalReason why) -> void override;
  auto onTimeout(UpstreamId id) -> void override;
  auto onReport(UpstreamId id, const UpstreamReport &r) -> void override;

private:
  auto applyBoardChanges(TimePoint now) -> void;
  auto updateRoles(TimePoint now) -> void;
  auto synchronize(TimePoint now) -> void;
  auto probe(TimePoint now) -> void;
  auto sendProbe(const UpstreamEntry &e) -> void;
  auto flushOwned(TimePoint now) -> void;
  auto flushSummaries(TimePoint now) -> void;
  auto sendUrgent() -> void;
  auto sendObservations(const std::vector<ObservationEntry> &all) -> void;
  auto sendGossipRound(TimePoint now) -> void;
  auto exchangeWithPeer(TimePoint now) -> void;
  auto publish(TimePoint now) -> void;
  auto reportServicesAtFloor(const BuiltView &built) -> void;

  /// Applies \p o if this instance owns the upstream; otherwise queues the
  /// observation for the owner.
  auto routeObservation(UpstreamId id, const Observation &o) -> void;
  auto assess(UpstreamEntry &e, const Observation &o, TimePoint now) -> void;
  auto onStatusChanged(const UpstreamEntry &e, UpstreamFitness before) -> void;
  /// Sends the status of \p id to some peers at once; gossip continues
  /// afterwards.
  auto sendUrgentUpdate(UpstreamId id) -> void;
  auto sendToPeers(const std::vector<HealthStatusEntry> &all,
                   std::size_t fanOut) -> void;
  auto enqueue(UpstreamEntry &e) -> void;
  /// Records that a packet of a flow came back from \p upstream, which shows
  /// that the upstream is alive and serves.
  auto onFlowAnswer(const Endpoint &upstream) -> void;
  auto takeObservations(UpstreamEntry &e) -> std::vector<Observation>;
  auto isOwner(UpstreamId id) const -> bool;
  auto statusesOf(const std::vector<UpstreamId> &ids)
      -> std::vector<HealthStatusEntry>;
  auto sendStatuses(const Endpoint &to, std::uint16_t kind,
                    const std::vector<HealthStatusEntry> &all) -> void;
  /// Adopts the statuses that supersede the known ones. Returns true if an
  /// upstream may get less work than before.
  auto merge(const std::vector<HealthStatusEntry> &all) -> bool;
  auto onHealthStatuses(const PeerFrame &f) -> bool;
  auto onHealthStatusPage(const PeerFrame &f) -> bool;
  auto onHealthStatusRequest(const PeerFrame &f) -> bool;
  auto onObservations(const PeerFrame &f) -> bool;

  const ControllerContext &Context;
  UpstreamRegistry Registry;
  Ownership Roles;
  Prober Probes;
  HealthStatusGossip Gossip;
  HealthStatusSync Sync;
  std::deque<UpstreamId> OwnedPending;
  std::deque<UpstreamId> OthersPending;
  std::vector<ObservationEntry> Urgent;
  std::vector<ServiceId> AtFloor;
  std::uint64_t AppliedConfiguration = 0;
  std::uint64_t AppliedMembership = 0;
  bool HasRoles = false;
  bool IsChanged = true;
  bool ViewChangesWithTime = false;
  TimePoint NextSummary;
  TimePoint NextExchange;
  TimePoint NextView;
  std::size_t ExchangeCursor = 0;
  std::uint64_t ProbeSequence = 0;

  Counter &ProbesSent;
  Counter &WorkSent;
  Counter &ObservationsSent;
  Counter &ObservationsDropped;
  Counter &StatusesChanged;
  Counter &GossipBytes;
  Counter &ReportsBad;
  Gauge &ColdUpstreams;
  Gauge &UnfitUpstreams;
  Gauge &ServicesAtFloor;
};

/// Creates the health controller for \p ctx.
auto makeHealthController(const ControllerContext &ctx)
    -> std::unique_ptr<HealthController>;

} // namespace boragebridge

#endif
