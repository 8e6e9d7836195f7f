/// \file
/// Owner of the Health section: gathers what is seen of the upstreams, agrees
/// with the other instances on each, and publishes what may be sent where.
///
/// docs/design/health.md tells why it works as it does.
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

/// The controller. The request and flow controllers report to it as an
/// UpstreamObserver.
class HealthController final : public Controller, public UpstreamObserver {
public:
  /// Time between two rounds of summaries to the owners of upstreams.
  static constexpr Duration SummaryInterval = std::chrono::milliseconds(500);
  /// Upstreams in one round of summaries; the others wait for the next.
  static constexpr std::size_t SummaryLimit = 8;
  /// Urgent sightings that wait for one tick; more are dropped and counted.
  static constexpr std::size_t UrgentLimit = 64;
  /// Time between two exchanges with a random peer, and opinions in each.
  static constexpr Duration ExchangeInterval = std::chrono::seconds(1);
  static constexpr std::size_t ExchangeLimit = 16;
  /// Time between two views while nothing urgent happens.
  static constexpr Duration ViewInterval = std::chrono::milliseconds(100);
  /// Upstreams in the state dump.
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

  /// Takes a sign to whoever assesses the upstream.
  auto routeObservation(UpstreamId id, const Observation &o) -> void;
  auto assess(UpstreamEntry &e, const Observation &o, TimePoint now) -> void;
  auto onStatusChanged(const UpstreamEntry &e, UpstreamFitness before) -> void;
  /// Tells some peers of \p id at once; the gossip goes on after it.
  auto sendUrgentUpdate(UpstreamId id) -> void;
  auto sendToPeers(const std::vector<HealthStatusEntry> &all,
                   std::size_t fanOut) -> void;
  auto enqueue(UpstreamEntry &e) -> void;
  /// A packet of a flow came back from the upstream at \p upstream: it is
  /// alive and serves.
  auto onFlowAnswer(const Endpoint &upstream) -> void;
  auto takeObservations(UpstreamEntry &e) -> std::vector<Observation>;
  auto isOwner(UpstreamId id) const -> bool;
  auto statusesOf(const std::vector<UpstreamId> &ids)
      -> std::vector<HealthStatusEntry>;
  auto sendStatuses(const Endpoint &to, std::uint16_t kind,
                    const std::vector<HealthStatusEntry> &all) -> void;
  /// True when one of them admits less than before.
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

/// The controller of \p ctx.
auto makeHealthController(const ControllerContext &ctx)
    -> std::unique_ptr<HealthController>;

} // namespace boragebridge

#endif
