#include "flow/flow_home.h"

#include "flow/flow_events.h"

#include <algorithm>

namespace boragebridge {

/// How long the opening packet of an unknown flow may arrive after its other
/// packets.
static constexpr auto ReorderWindow = std::chrono::seconds(1);
/// How long a further opening packet of a flow counts as a retransmission.
static constexpr auto RetransmissionWindow = std::chrono::seconds(10);
/// A cached record is used for this fraction of the idle time-out before a
/// packet goes to the home again.
static constexpr auto CacheTimeDivisor = 8;

static auto slotKey(ServiceId service, std::uint32_t slot) -> std::uint64_t {
  return hashPair(raw(service), slot);
}

FlowHome::FlowHome(const ControllerContext &ctx, const FlowOptions &opt,
                   LiveMembers &members, PlacementAgreement &agreement,
                   ServiceDirectory &directory, PeerMessenger &messenger)
    : Context(ctx), Options(opt), Members(members), Agreement(agreement),
      Directory(directory), Messenger(messenger),
      Records(opt.RecordLimit, opt.IdleTimeout, opt.ClosingRetention),
      Searches(opt.CandidateSearchLimit), Stream(ctx, opt, messenger),
      SweepStart(ctx.Time.now()),
      SearchesStarted(ctx.Metrics.counter(
          "flow_trials_total",
          "Flows whose upstream was not known and had to be tried")),
      SearchRetries(ctx.Metrics.counter(
          "flow_trials_retried_total",
          "Packets sent again because an upstream did not know the flow")),
      RecordsRefused(
          ctx.Metrics.counter("flow_records_refused_total",
                              "Flows not recorded because the table was full")),
      SettledSlots(ctx.Metrics.counter("flow_slots_settled_total",
                                       "Slots this instance found settled")) {}

auto FlowHome::recordedUpstream(const ResolvedPacket &p, TimePoint now)
    -> UpstreamId {
  if (auto *search = Searches.find(p.Flow);
      search != nullptr && p.Content.Kind != PacketKind::FlowOpen) {
    search->LastPacket = p.Content;
    search->LastSent = now;
    return search->current();
  }
  auto *r = Records.find(p.Flow);
  if (r == nullptr || r->Service != p.Entry.Service)
    return {};
  if (p.Content.Kind != PacketKind::FlowOpen) {
    r->LastActive = now;
    return r->Upstream;
  }
  // An opening packet soon after the first one is a retransmission. A later one
  // opens a new flow with the same ports.
  if (r->Closing || now - r->Opened >= RetransmissionWindow)
    return {};
  return r->Upstream;
}

auto FlowHome::cachedUpstream(const ResolvedPacket &p, TimePoint now)
    -> UpstreamId {
  if (p.Content.Kind == PacketKind::FlowOpen) {
    Records.erase(p.Flow);
    return {};
  }
  auto *r = Records.find(p.Flow);
  if (p.Content.Kind != PacketKind::FlowData || r == nullptr || r->Closing ||
      r->Service != p.Entry.Service)
    return {};
  r->LastActive = now;
  if (now - r->LastRelayed >= Options.IdleTimeout / CacheTimeDivisor) {
    r->LastRelayed = now;
    return {};
  }
  return r->Upstream;
}

auto FlowHome::onRelayedPacket(const ResolvedPacket &p, const Peer &from)
    -> void {
  constexpr std::uint8_t RelaysBeforeHint = 4;
  auto *r = Records.find(p.Flow);
  if (r == nullptr || ++r->RelaysSinceHint < RelaysBeforeHint ||
      !Stream.hasRoomForHint())
    return;
  r->RelaysSinceHint = 0;
  Stream.push(from, p.Entry.Service, p.Flow, r->Upstream);
}

auto FlowHome::peerWithRecord(const ResolvedPacket &p, TimePoint now) -> Peer {
  const auto owners = Members.owners(p.Entry.Service, p.Slot);
  const auto self = Context.Self.Id;
  if (owners.Home.Id != self)
    return Members.mayHoldRecords(owners.Home.Id) ? owners.Home : Peer{};
  // Another instance can have a record only when the service had unsettled
  // slots before this instance became home of the slot, and only until the flow
  // would have reached the idle time-out.
  const auto since = Agreement.unsettledSince(p.Entry.Service);
  const auto isInherited = [&](TimePoint change) {
    return since && *since <= change && now - change < Options.IdleTimeout;
  };
  const auto former = Members.formerHome(p.Entry.Service, p.Slot);
  if (former.Id != InstanceId{} && isInherited(Members.changedAt()) &&
      Members.mayHoldRecords(former.Id))
    return former;
  const auto synced = Agreement.syncedAt();
  if (synced && isInherited(*synced) && owners.Backup.Id != InstanceId{} &&
      Members.mayHoldRecords(owners.Backup.Id))
    return owners.Backup;
  return {};
}

auto FlowHome::mustRecordNewFlows(const ServicePlacement &p,
                                  TimePoint now) const -> bool {
  return now - p.activeSince() < Options.IdleTimeout;
}

auto FlowHome::decide(const ResolvedPacket &p, TimePoint now) -> UpstreamId {
  const auto &placement = *p.Entry.Placement;
  const auto choice = placement.activeUpstreams()[placement.choice(p.Slot)];
  if (placement.isSettled(p.Slot))
    return choice;
  return p.Content.Kind == PacketKind::FlowOpen ? decideOpen(p, choice, now)
                                                : decideMidFlow(p, choice, now);
}

auto FlowHome::decideOpen(const ResolvedPacket &p, UpstreamId choice,
                          TimePoint now) -> UpstreamId {
  // Resets caused by a candidate search that has ended may still be in transit,
  // so the new flow gets a record.
  const auto hadSearch = Searches.find(p.Flow) != nullptr;
  Searches.erase(p.Flow);
  if (hadSearch || mustRecordNewFlows(*p.Entry.Placement, now))
    addRecord(p, choice, true, now);
  else
    Records.erase(p.Flow);
  return choice;
}

auto FlowHome::decideMidFlow(const ResolvedPacket &p, UpstreamId choice,
                             TimePoint now) -> UpstreamId {
  CandidateSearch search;
  search.Service = p.Entry.Service;
  for (auto id :
       p.Entry.Placement->candidates(p.Slot, now, Options.IdleTimeout))
    if (Directory.target(p.Entry.Service, id).Use != TargetUse::Nothing)
      search.Candidates.push_back(id);
  if (search.Candidates.empty())
    return {};
  const auto first = search.Candidates.front();
  if (search.Candidates.size() == 1) {
    if (first != choice)
      addRecord(p, first, false, now);
    return first;
  }
  search.LastPacket = p.Content;
  search.Since = now;
  search.LastSent = now;
  if (Searches.add(p.Flow, std::move(search)) == nullptr)
    addRecord(p, first, false, now);
  else
    SearchesStarted.add();
  return first;
}

auto FlowHome::addRecord(const ResolvedPacket &p, UpstreamId u, bool opened,
                         TimePoint now) -> void {
  FlowRecord r;
  r.Service = p.Entry.Service;
  r.Upstream = u;
  r.LastActive = now;
  if (opened)
    r.Opened = now;
  if (!Records.put(p.Flow, r)) {
    RecordsRefused.add();
    return;
  }
  addMovedFlow(r.Service, p.Flow, u);
  if (p.Entry.Placement->isNewestActive())
    replicateRecord(r.Service, p.Slot, p.Flow, u);
}

auto FlowHome::replicateRecord(ServiceId service, std::uint32_t slot,
                               FlowHash h, UpstreamId u) -> void {
  const auto owners = Members.owners(service, slot);
  for (const auto &to : {owners.Home, owners.Backup})
    if (to.Id != InstanceId{} && to.Id != Context.Self.Id)
      Stream.push(to, service, h, u);
}

auto FlowHome::addMovedFlow(ServiceId service, FlowHash h, UpstreamId u)
    -> void {
  const auto *p = Agreement.find(service);
  if (p == nullptr || !p->isActive())
    return;
  const auto slot = p->slotOf(raw(h));
  if (!p->isSettled(slot) && p->activeUpstreams()[p->choice(slot)] != u)
    MovedFlowSlots.insert(slotKey(service, slot));
}

auto FlowHome::onAnswer(FlowHash h, const Endpoint &from) -> void {
  auto *search = Searches.find(h);
  if (search == nullptr ||
      Directory.target(search->Service, search->current()).Address != from)
    return;
  auto *entry = Directory.find(search->LastPacket.Flow.Service);
  if (entry != nullptr && entry->Placement != nullptr) {
    const auto slot = entry->Placement->slotOf(raw(h));
    const ResolvedPacket p{search->LastPacket, h, *entry, slot, 0};
    addRecord(p, search->current(), false, search->LastSent);
  }
  Searches.erase(h);
}

auto FlowHome::isHomeOf(ServiceId service, FlowHash h) -> bool {
  const auto *p = Agreement.find(service);
  return p != nullptr && p->isActive() &&
         Members.owners(service, p->slotOf(raw(h))).Home.Id == Context.Self.Id;
}

auto FlowHome::onReset(FlowHash h, const Endpoint &from, TimePoint now)
    -> ResetOutcome {
  auto *search = Searches.find(h);
  if (search == nullptr) {
    const auto *r = Records.find(h);
    if (r != nullptr &&
        Directory.target(r->Service, r->Upstream).Address != from)
      return {true, nullptr, {}};
    // A cached record may be of an earlier flow with the same ports. It is
    // removed, and the home decides at the caller's next packet.
    if (r != nullptr && !isHomeOf(r->Service, h)) {
      Records.erase(h);
      return {true, nullptr, {}};
    }
    onEnd(h, now);
    return {};
  }
  if (Directory.target(search->Service, search->current()).Address != from)
    return {true, nullptr, {}};
  if (search->Position + 1 < search->Candidates.size()) {
    ++search->Position;
    SearchRetries.add();
    return {true, &search->LastPacket,
            Directory.target(search->Service, search->current()).Address};
  }
  // Every candidate has reset the flow. The opening packet of the flow may
  // still arrive after the packet that was reset, so within the reorder window
  // the search starts again and the reset is not forwarded to the caller.
  const auto tooEarly = now - search->Since < ReorderWindow;
  if (!tooEarly)
    Searches.erase(h);
  else
    search->Position = 0;
  return {tooEarly, nullptr, {}};
}

auto FlowHome::onEnd(FlowHash h, TimePoint now) -> void {
  if (auto *r = Records.find(h); r != nullptr) {
    r->Closing = true;
    r->LastActive = now;
  }
}

auto FlowHome::onRecords(const PeerFrame &f) -> bool {
  RecordsMessage m;
  if (!decode(f.Body, m))
    return false;
  const auto now = Context.Time.now();
  if (m.Complete)
    Members.markHandedOver(f.Sender);
  for (const auto &it : m.Entries) {
    // A record made here is at least as new as the received one.
    if (Records.find(it.Flow) != nullptr)
      continue;
    FlowRecord r;
    r.Service = m.Service;
    r.Upstream = it.Upstream;
    r.LastActive = now;
    r.LastRelayed = now;
    if (!Records.put(it.Flow, r))
      RecordsRefused.add();
    else
      addMovedFlow(r.Service, it.Flow, r.Upstream);
  }
  return true;
}

auto FlowHome::tick(TimePoint now) -> void {
  constexpr std::size_t BucketsPerTick = 4096;
  Searches.expire(now, Options.ClosingRetention);
  Stream.tick(now);
  const auto ended = Records.sweep(BucketsPerTick, now,
                                   [this](FlowHash h, const FlowRecord &r) {
                                     addMovedFlow(r.Service, h, r.Upstream);
                                   });
  if (ended) {
    PreviousMovedFlowSlots = std::move(MovedFlowSlots);
    MovedFlowSlots.clear();
    settleSlots(now);
    SweepStart = now;
  }
  if (HandoverBegun && !HandoverDone)
    tickHandover(now);
}

auto FlowHome::canSettle(const ServicePlacement &p) const -> bool {
  return p.isActive() && p.isNewestActive() &&
         p.activeSince() + Options.IdleTimeout <= SweepStart;
}

auto FlowHome::isReadyToSettle(ServiceId service, std::uint32_t slot,
                               TimePoint now) -> bool {
  const auto key = slotKey(service, slot);
  if (Members.owners(service, slot).Home.Id != Context.Self.Id) {
    HomeSince.erase(key);
    return false;
  }
  // A new home has received a packet of every open flow only after the idle
  // time-out.
  const auto since = HomeSince.try_emplace(key, now).first->second;
  return now - since >= Options.IdleTimeout &&
         !PreviousMovedFlowSlots.contains(key);
}

auto FlowHome::settleSlots(TimePoint now) -> void {
  constexpr auto SettleInterval = std::chrono::seconds(1);
  if (!Agreement.isCurrent() || now - LastSettle < SettleInterval)
    return;
  LastSettle = now;
  if (SeenSync != Agreement.syncedAt())
    HomeSince.clear();
  SeenSync = Agreement.syncedAt();
  std::vector<SettledMessage> settled;
  for (const auto &[service, p] : Agreement.placements()) {
    SettledMessage m{service, {}, {}};
    for (auto slot : p.unsettledSlots())
      if (isReadyToSettle(service, slot, now) && canSettle(p))
        m.Slots.push_back(slot);
    if (!m.Slots.empty())
      settled.push_back(std::move(m));
  }
  for (auto &m : settled) {
    for (auto slot : m.Slots)
      HomeSince.erase(slotKey(m.Service, slot));
    SettledSlots.add(m.Slots.size());
    Agreement.announceSettled(m.Service, std::move(m.Slots));
  }
}

auto FlowHome::beginHandover() -> void {
  HandoverBegun = true;
  Stream.useHandoverRate();
  Records.forEach([this](FlowHash h, const FlowRecord &r) {
    const auto *p = Agreement.find(r.Service);
    if (p == nullptr || !p->isActive())
      return;
    const auto to = Members.owners(r.Service, p->slotOf(raw(h))).Home;
    if (to.Id != Context.Self.Id)
      Stream.push(to, r.Service, h, r.Upstream);
  });
}

auto FlowHome::tickHandover(TimePoint now) -> void {
  static_cast<void>(now);
  if (!Stream.isEmpty())
    return;
  HandoverDone = true;
  RecordsMessage m;
  m.Complete = true;
  Messenger.sendAll(Members.participants(), FlowMessage::Records, m);
  Context.Log.write(events::RecordsHandedOver,
                    {{"records", std::to_string(Records.size())}});
}

} // namespace boragebridge
