#include "health/health_controller.h"

#include "health/health_events.h"

#include <boost/json.hpp>

#include <algorithm>
#include <map>

namespace boragebridge {

HealthController::HealthController(const ControllerContext &ctx)
    : Context(ctx), Roles(ctx.Self.Id, ctx.Self.DataCentre), Probes(ctx.Random),
      ProbesSent(ctx.Metrics.counter("health_probes_sent_total",
                                     "Probes sent to upstreams")),
      WorkSent(ctx.Metrics.counter("health_work_sent_total",
                                   "Requests and new flows sent to upstreams")),
      ObservationsSent(ctx.Metrics.counter(
          "health_sightings_sent_total", "Sightings sent to other instances")),
      ObservationsDropped(
          ctx.Metrics.counter("health_sightings_dropped_total",
                              "Urgent sightings over the limit of one tick")),
      StatusesChanged(ctx.Metrics.counter(
          "health_opinions_changed_total",
          "Changes of opinions that this instance decided")),
      GossipBytes(ctx.Metrics.counter("health_gossip_bytes_total",
                                      "Bytes of health messages to peers")),
      ReportsBad(ctx.Metrics.counter(
          "health_reports_bad_total",
          "Reports that were malformed or from no known upstream")),
      ColdUpstreams(ctx.Metrics.gauge("health_cold_upstreams",
                                      "Upstreams taken for cold")),
      UnfitUpstreams(ctx.Metrics.gauge("health_unfit_upstreams",
                                       "Upstreams taken for unfit")),
      ServicesAtFloor(ctx.Metrics.gauge(
          "health_services_at_floor",
          "Services that use unfit upstreams for want of others")) {}

auto HealthController::tick(TimePoint now) -> void {
  applyBoardChanges(now);
  synchronize(now);
  probe(now);
  flushOwned(now);
  flushSummaries(now);
  sendUrgent();
  sendGossipRound(now);
  exchangeWithPeer(now);
  publish(now);
}

auto HealthController::applyBoardChanges(TimePoint now) -> void {
  const auto configuration = Context.Board.Configuration.version();
  const auto membership = Context.Board.Membership.version();
  if (HasRoles && configuration == AppliedConfiguration &&
      membership == AppliedMembership)
    return;
  if (configuration != AppliedConfiguration) {
    const auto cfg = Context.Board.Configuration.read();
    for (auto id : Registry.update(*cfg, now))
      if (Registry.find(id)->Assessor.status().Version > 0)
        Gossip.add(id, Roles.localPeers().size(), true);
  }
  AppliedConfiguration = configuration;
  AppliedMembership = membership;
  HasRoles = true;
  updateRoles(now);
  IsChanged = true;
}

auto HealthController::updateRoles(TimePoint now) -> void {
  Roles.update(*Context.Board.Configuration.read(),
               *Context.Board.Membership.read());
  for (auto id : Registry.ids()) {
    auto &e = *Registry.find(id);
    if (!isOwner(id))
      e.OwnerSince.reset();
    else if (!e.OwnerSince)
      e.OwnerSince = now;
  }
  std::vector<UpstreamId> targets;
  for (auto id : Roles.probed())
    if (!Registry.find(id)->IsWithdrawn)
      targets.push_back(id);
  Probes.setTargets(targets, now);
}

auto HealthController::isOwner(UpstreamId id) const -> bool {
  const auto *role = Roles.find(id);
  return role != nullptr && role->IsOwner;
}

auto HealthController::synchronize(TimePoint now) -> void {
  const auto wasDone = Sync.isDone();
  auto request = Sync.next(now, Roles.localPeers(), Context.Random);
  if (request)
    Context.Peers.send(request->Peer, HealthStatusRequestKind,
                       encodeHealthStatusRequest(request->After));
  IsChanged = IsChanged || wasDone != Sync.isDone();
}

auto HealthController::probe(TimePoint now) -> void {
  for (auto id : Probes.due(now))
    sendProbe(*Registry.find(id));
  for (auto id : Probes.takeUnresponsive())
    routeObservation(id, {ObservationKind::ProbesUnanswered});
  for (auto id : Roles.probed()) {
    auto &e = *Registry.find(id);
    if (e.Assessor.status().Fitness != UpstreamFitness::Unfit || !isOwner(id) ||
        Probes.hasAnswered(id))
      continue;
    const auto before = e.Assessor.status().Fitness;
    if (e.Assessor.retryUnprobed(now))
      onStatusChanged(e, before);
  }
}

auto HealthController::sendProbe(const UpstreamEntry &e) -> void {
  Packet p;
  p.Kind = PacketKind::Probe;
  p.Flow.Caller = Context.Self.PeerAddress;
  p.Payload = encodeProbe(++ProbeSequence);
  Context.Packets.sendToUpstream(e.Config.Address, p);
  ProbesSent.add();
}

auto HealthController::onPacket(PacketOrigin from, const Endpoint &peer,
                                const Packet &p) -> bool {
  if (from != PacketOrigin::Upstream)
    return false;
  if (p.Kind == PacketKind::FlowData)
    onFlowAnswer(peer);
  if (p.Kind != PacketKind::Report)
    return false;
  const auto report = decodeReport(p.Payload);
  const auto *e = Registry.findByAddress(peer);
  if (!report || e == nullptr) {
    ReportsBad.add();
    return true;
  }
  onReport(e->Config.Id, *report);
  return true;
}

auto HealthController::onFlowAnswer(const Endpoint &upstream) -> void {
  auto *e = Registry.findByAddress(upstream);
  if (e == nullptr)
    return;
  e->Pending.HasFlowAnswer = true;
  e->Pending.Timeouts = 0;
  enqueue(*e);
}

auto HealthController::onReport(UpstreamId id, const UpstreamReport &r)
    -> void {
  auto *e = Registry.find(id);
  if (e == nullptr)
    return;
  const auto fitness = e->Assessor.status().Fitness;
  for (auto kind : Probes.onReport(id, r)) {
    const auto isRelevant = kind == ObservationKind::NewIncarnation ||
                            (kind == ObservationKind::ProbeAnswered &&
                             fitness == UpstreamFitness::Unfit) ||
                            (kind == ObservationKind::ReportedCold &&
                             fitness == UpstreamFitness::Ready);
    if (isRelevant)
      routeObservation(id, {kind});
  }
}

auto HealthController::onWorkSent(UpstreamId id) -> void {
  if (Registry.find(id) != nullptr)
    WorkSent.add();
}

auto HealthController::enqueue(UpstreamEntry &e) -> void {
  if (std::exchange(e.Pending.IsQueued, true))
    return;
  (isOwner(e.Config.Id) ? OwnedPending : OthersPending).push_back(e.Config.Id);
}

auto HealthController::onAnswer(UpstreamId id, Duration latency) -> void {
  auto *e = Registry.find(id);
  if (e == nullptr)
    return;
  ++e->Pending.Answers;
  e->Pending.LatencySum += latency;
  e->Pending.Timeouts = 0;
  enqueue(*e);
}

auto HealthController::onTimeout(UpstreamId id) -> void {
  auto *e = Registry.find(id);
  if (e == nullptr)
    return;
  ++e->Pending.Timeouts;
  enqueue(*e);
}

auto HealthController::onRefusal(UpstreamId id, RefusalReason why) -> void {
  auto *e = Registry.find(id);
  if (e == nullptr || why == RefusalReason::Overloaded ||
      why == RefusalReason::WrongService)
    return;
  if (why == RefusalReason::Shedding) {
    ++e->Pending.ShedRefusals;
    enqueue(*e);
    return;
  }
  const auto now = Context.Time.now();
  if (!isOwner(id)) {
    if (e->isTreatedAsCold(now))
      return;
    e->treatAsCold(now);
    IsChanged = true;
  }
  routeObservation(id,
                   {why == RefusalReason::Cold ? ObservationKind::ColdRefusals
                                               : ObservationKind::Unavailable});
  sendUrgent();
  publish(now);
}

auto HealthController::routeObservation(UpstreamId id, const Observation &o)
    -> void {
  auto *e = Registry.find(id);
  if (e == nullptr)
    return;
  if (isOwner(id)) {
    assess(*e, o, Context.Time.now());
    return;
  }
  if (Urgent.size() < UrgentLimit)
    Urgent.push_back({id, o});
  else
    ObservationsDropped.add();
}

auto HealthController::assess(UpstreamEntry &e, const Observation &o,
                              TimePoint now) -> void {
  const auto before = e.Assessor.status().Fitness;
  if (e.Assessor.apply(o, now))
    onStatusChanged(e, before);
}

auto HealthController::onStatusChanged(const UpstreamEntry &e,
                                       UpstreamFitness before) -> void {
  static constexpr std::array<const LogEvent *, 4> Events{
      &events::UpstreamCold, &events::UpstreamWarming, &events::UpstreamReady,
      &events::UpstreamUnfit};
  const auto after = e.Assessor.status().Fitness;
  StatusesChanged.add();
  IsChanged = true;
  Gossip.add(e.Config.Id, Roles.localPeers().size(), before != after);
  if (isWorse(after, before))
    sendUrgentUpdate(e.Config.Id);
  if (before != after)
    Context.Log.write(*Events.at(static_cast<std::size_t>(after)),
                      {{"upstream", e.Config.Name}});
}

auto HealthController::takeObservations(UpstreamEntry &e)
    -> std::vector<Observation> {
  constexpr std::uint32_t MaxCount = 0xFFFF;
  const auto pending = std::exchange(e.Pending, {});
  auto count = [&](std::uint32_t n) {
    return static_cast<std::uint16_t>(std::min(n, MaxCount));
  };
  std::vector<Observation> all;
  if (pending.Answers > 0) {
    const auto mean = pending.LatencySum / pending.Answers;
    all.push_back(
        {ObservationKind::Answers, count(pending.Answers),
         std::chrono::duration_cast<std::chrono::microseconds>(mean)});
  } else if (pending.HasFlowAnswer)
    all.push_back({ObservationKind::Answers, 1, {}});
  if (pending.Timeouts > 0)
    all.push_back({ObservationKind::Timeouts, count(pending.Timeouts), {}});
  if (pending.ShedRefusals > 0)
    all.push_back({ObservationKind::Shed, count(pending.ShedRefusals), {}});
  return all;
}

auto HealthController::flushOwned(TimePoint now) -> void {
  auto ids = std::exchange(OwnedPending, {});
  for (auto id : ids) {
    auto *e = Registry.find(id);
    if (e == nullptr)
      continue;
    for (const auto &o : takeObservations(*e)) {
      if (isOwner(id))
        assess(*e, o, now);
      else
        routeObservation(id, o);
    }
  }
}

auto HealthController::flushSummaries(TimePoint now) -> void {
  if (now < NextSummary)
    return;
  NextSummary = now + Context.Random.jitter(SummaryInterval);
  std::vector<ObservationEntry> all;
  const auto n = std::min(SummaryLimit, OthersPending.size());
  for (std::size_t i = 0; i < n; ++i) {
    const auto id = OthersPending.front();
    OthersPending.pop_front();
    auto *e = Registry.find(id);
    if (e == nullptr)
      continue;
    for (const auto &o : takeObservations(*e)) {
      if (isOwner(id))
        assess(*e, o, now);
      else
        all.push_back({id, o});
    }
  }
  sendObservations(all);
}

auto HealthController::sendUrgent() -> void {
  sendObservations(std::exchange(Urgent, {}));
}

auto HealthController::sendObservations(
    const std::vector<ObservationEntry> &all) -> void {
  std::map<Endpoint, std::vector<ObservationEntry>> byOwner;
  for (const auto &it : all)
    if (const auto *role = Roles.find(it.Upstream))
      byOwner[role->OwnerAddress].push_back(it);
  for (const auto &[owner, some] : byOwner) {
    auto body = encodeObservations(some);
    GossipBytes.add(body.size());
    ObservationsSent.add(some.size());
    Context.Peers.send(owner, ObservationsKind, std::move(body));
  }
}

auto HealthController::publish(TimePoint now) -> void {
  if (!IsChanged && (!ViewChangesWithTime || now < NextView))
    return;
  IsChanged = false;
  NextView = now + ViewInterval;
  auto built = buildHealthView(Registry, Roles, Sync.isDone(), now);
  ViewChangesWithTime = built.ChangesWithTime;
  ColdUpstreams.set(static_cast<double>(built.Cold));
  UnfitUpstreams.set(static_cast<double>(built.Unfit));
  reportServicesAtFloor(built);
  if (built.View.Upstreams != Context.Board.Health.read()->Upstreams)
    Context.Board.Health.publish(std::move(built.View));
}

auto HealthController::reportServicesAtFloor(const BuiltView &built) -> void {
  ServicesAtFloor.set(static_cast<double>(built.AtFloor.size()));
  if (built.AtFloor == AtFloor)
    return;
  auto write = [&](const LogEvent &event, ServiceId id) {
    const auto cfg = Context.Board.Configuration.read();
    const auto *service = cfg->findService(id);
    Context.Log.write(event,
                      {{"service", service != nullptr ? service->Name : ""}});
  };
  for (auto id : built.AtFloor)
    if (!std::binary_search(AtFloor.begin(), AtFloor.end(), id))
      write(events::HealthFloorReached, id);
  for (auto id : AtFloor)
    if (!std::binary_search(built.AtFloor.begin(), built.AtFloor.end(), id))
      write(events::HealthFloorLeft, id);
  AtFloor = built.AtFloor;
}

auto makeHealthController(const ControllerContext &ctx)
    -> std::unique_ptr<HealthController> {
  return std::make_unique<HealthController>(ctx);
}

} // namespace boragebridge
