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
      SightingsSent(ctx.Metrics.counter("health_sightings_sent_total",
                                        "Sightings sent to other instances")),
      SightingsDropped(
          ctx.Metrics.counter("health_sightings_dropped_total",
                              "Urgent sightings over the limit of one tick")),
      OpinionsChanged(ctx.Metrics.counter(
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
  followBoard(now);
  synchronize(now);
  probe(now);
  flushOwned(now);
  flushSummaries(now);
  sendUrgent();
  passOn(now);
  exchange(now);
  publish(now);
}

auto HealthController::followBoard(TimePoint now) -> void {
  const auto configuration = Context.Board.Configuration.version();
  const auto membership = Context.Board.Membership.version();
  if (HasRoles && configuration == SeenConfiguration &&
      membership == SeenMembership)
    return;
  if (configuration != SeenConfiguration) {
    const auto cfg = Context.Board.Configuration.read();
    for (auto id : Registry.update(*cfg, now))
      if (Registry.find(id)->State.opinion().Version > 0)
        Gossip.add(id, Roles.localPeers().size(), true);
  }
  SeenConfiguration = configuration;
  SeenMembership = membership;
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
    Context.Peers.send(request->Peer, OpinionRequestKind,
                       encodeOpinionRequest(request->After));
  IsChanged = IsChanged || wasDone != Sync.isDone();
}

auto HealthController::probe(TimePoint now) -> void {
  for (auto id : Probes.due(now))
    sendProbe(*Registry.find(id));
  for (auto id : Probes.takeSilent())
    take(id, {Sign::ProbeSilence});
  for (auto id : Roles.probed()) {
    auto &e = *Registry.find(id);
    if (e.State.opinion().Fitness != UpstreamFitness::Unfit || !isOwner(id) ||
        Probes.hasAnswered(id))
      continue;
    const auto before = e.State.opinion().Fitness;
    if (e.State.retryBlindly(now))
      noteChange(e, before);
  }
}

auto HealthController::sendProbe(const UpstreamEntry &e) -> void {
  Packet p;
  p.Kind = PacketKind::Probe;
  p.Flow.Caller = Context.Self.PeerAddress;
  p.Payload = encodeProbe(++ProbeSequence);
  Context.Packets.sendToUpstream(e.Source.Address, p);
  ProbesSent.add();
}

auto HealthController::onPacket(PacketOrigin from, const Endpoint &peer,
                                const Packet &p) -> bool {
  if (from != PacketOrigin::Upstream)
    return false;
  if (p.Kind == PacketKind::FlowData)
    noteFlowAnswer(peer);
  if (p.Kind != PacketKind::Report)
    return false;
  const auto report = decodeReport(p.Payload);
  const auto *e = Registry.findByAddress(peer);
  if (!report || e == nullptr) {
    ReportsBad.add();
    return true;
  }
  onReport(e->Source.Id, *report);
  return true;
}

auto HealthController::noteFlowAnswer(const Endpoint &upstream) -> void {
  auto *e = Registry.findByAddress(upstream);
  if (e == nullptr)
    return;
  e->Seen.HasFlowAnswer = true;
  e->Seen.Timeouts = 0;
  list(*e);
}

auto HealthController::onReport(UpstreamId id, const UpstreamReport &r)
    -> void {
  auto *e = Registry.find(id);
  if (e == nullptr)
    return;
  const auto fitness = e->State.opinion().Fitness;
  for (auto sign : Probes.onReport(id, r)) {
    const auto isNews =
        sign == Sign::NewIncarnation ||
        (sign == Sign::ProbeAnswered && fitness == UpstreamFitness::Unfit) ||
        (sign == Sign::ReportedCold && fitness == UpstreamFitness::Ready);
    if (isNews)
      take(id, {sign});
  }
}

auto HealthController::onWorkSent(UpstreamId id) -> void {
  if (Registry.find(id) != nullptr)
    WorkSent.add();
}

auto HealthController::list(UpstreamEntry &e) -> void {
  if (std::exchange(e.Seen.IsListed, true))
    return;
  (isOwner(e.Source.Id) ? OwnedSeen : OthersSeen).push_back(e.Source.Id);
}

auto HealthController::onAnswer(UpstreamId id, Duration latency) -> void {
  auto *e = Registry.find(id);
  if (e == nullptr)
    return;
  ++e->Seen.Answers;
  e->Seen.LatencySum += latency;
  e->Seen.Timeouts = 0;
  list(*e);
}

auto HealthController::onTimeout(UpstreamId id) -> void {
  auto *e = Registry.find(id);
  if (e == nullptr)
    return;
  ++e->Seen.Timeouts;
  list(*e);
}

auto HealthController::onRefusal(UpstreamId id, RefusalReason why) -> void {
  auto *e = Registry.find(id);
  if (e == nullptr || why == RefusalReason::Overloaded ||
      why == RefusalReason::WrongService)
    return;
  if (why == RefusalReason::Shedding) {
    ++e->Seen.Sheds;
    list(*e);
    return;
  }
  const auto now = Context.Time.now();
  if (!isOwner(id)) {
    if (e->isHeld(now))
      return;
    e->hold(now);
    IsChanged = true;
  }
  take(id,
       {why == RefusalReason::Cold ? Sign::ColdRefusals : Sign::Unavailable});
  sendUrgent();
  publish(now);
}

auto HealthController::take(UpstreamId id, const Sighting &s) -> void {
  auto *e = Registry.find(id);
  if (e == nullptr)
    return;
  if (isOwner(id)) {
    assess(*e, s, Context.Time.now());
    return;
  }
  if (Urgent.size() < UrgentLimit)
    Urgent.push_back({id, s});
  else
    SightingsDropped.add();
}

auto HealthController::assess(UpstreamEntry &e, const Sighting &s,
                              TimePoint now) -> void {
  const auto before = e.State.opinion().Fitness;
  if (e.State.apply(s, now))
    noteChange(e, before);
}

auto HealthController::noteChange(const UpstreamEntry &e,
                                  UpstreamFitness before) -> void {
  static constexpr std::array<const LogEvent *, 4> Events{
      &events::UpstreamCold, &events::UpstreamWarming, &events::UpstreamReady,
      &events::UpstreamUnfit};
  const auto after = e.State.opinion().Fitness;
  OpinionsChanged.add();
  IsChanged = true;
  Gossip.add(e.Source.Id, Roles.localPeers().size(), before != after);
  if (isWorse(after, before))
    spreadNow(e.Source.Id);
  if (before != after)
    Context.Log.write(*Events.at(static_cast<std::size_t>(after)),
                      {{"upstream", e.Source.Name}});
}

auto HealthController::takeEvidence(UpstreamEntry &e) -> std::vector<Sighting> {
  constexpr std::uint32_t MaxCount = 0xFFFF;
  const auto seen = std::exchange(e.Seen, {});
  auto count = [&](std::uint32_t n) {
    return static_cast<std::uint16_t>(std::min(n, MaxCount));
  };
  std::vector<Sighting> all;
  if (seen.Answers > 0) {
    const auto mean = seen.LatencySum / seen.Answers;
    all.push_back(
        {Sign::Answers, count(seen.Answers),
         std::chrono::duration_cast<std::chrono::microseconds>(mean)});
  } else if (seen.HasFlowAnswer)
    all.push_back({Sign::Answers, 1, {}});
  if (seen.Timeouts > 0)
    all.push_back({Sign::Timeouts, count(seen.Timeouts), {}});
  if (seen.Sheds > 0)
    all.push_back({Sign::Shed, count(seen.Sheds), {}});
  return all;
}

auto HealthController::flushOwned(TimePoint now) -> void {
  auto ids = std::exchange(OwnedSeen, {});
  for (auto id : ids) {
    auto *e = Registry.find(id);
    if (e == nullptr)
      continue;
    for (const auto &s : takeEvidence(*e)) {
      if (isOwner(id))
        assess(*e, s, now);
      else
        take(id, s);
    }
  }
}

auto HealthController::flushSummaries(TimePoint now) -> void {
  if (now < NextSummary)
    return;
  NextSummary = now + Context.Random.jitter(SummaryInterval);
  std::vector<NamedSighting> all;
  const auto n = std::min(SummaryLimit, OthersSeen.size());
  for (std::size_t i = 0; i < n; ++i) {
    const auto id = OthersSeen.front();
    OthersSeen.pop_front();
    auto *e = Registry.find(id);
    if (e == nullptr)
      continue;
    for (const auto &s : takeEvidence(*e)) {
      if (isOwner(id))
        assess(*e, s, now);
      else
        all.push_back({id, s});
    }
  }
  sendSightings(all);
}

auto HealthController::sendUrgent() -> void {
  sendSightings(std::exchange(Urgent, {}));
}

auto HealthController::sendSightings(const std::vector<NamedSighting> &all)
    -> void {
  std::map<Endpoint, std::vector<NamedSighting>> byOwner;
  for (const auto &it : all)
    if (const auto *role = Roles.find(it.Upstream))
      byOwner[role->OwnerAddress].push_back(it);
  for (const auto &[owner, some] : byOwner) {
    auto body = encodeSightings(some);
    GossipBytes.add(body.size());
    SightingsSent.add(some.size());
    Context.Peers.send(owner, SightingsKind, std::move(body));
  }
}

auto HealthController::publish(TimePoint now) -> void {
  if (!IsChanged && (!HasTransient || now < NextView))
    return;
  IsChanged = false;
  NextView = now + ViewInterval;
  auto built = buildHealthView(Registry, Roles, Sync.isDone(), now);
  HasTransient = built.IsTransient;
  ColdUpstreams.set(static_cast<double>(built.Cold));
  UnfitUpstreams.set(static_cast<double>(built.Unfit));
  reportFloor(built);
  if (built.View.Upstreams != Context.Board.Health.read()->Upstreams)
    Context.Board.Health.publish(std::move(built.View));
}

auto HealthController::reportFloor(const BuiltView &built) -> void {
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
