#include "flow/flow_home.h"

#include "flow/flow_events.h"

#include <algorithm>

namespace boragebridge {

/// How long an unknown flow may wait for its opening packet, and how long a
/// repeated opening packet stands for the same flow.
static constexpr auto ReorderLimit = std::chrono::seconds(1);
static constexpr auto ReopenLimit = std::chrono::seconds(10);
/// A cached record is used for this fraction of the idle limit.
static constexpr auto CacheShare = 8;

static auto slotKey(ServiceId service, std::uint32_t slot) -> std::uint64_t {
  return hashPair(raw(service), slot);
}

FlowHome::FlowHome(const ControllerContext &ctx, const FlowOptions &opt,
                   LiveMembers &members, PlacementAgreement &agreement,
                   ServiceDirectory &directory, PeerMessenger &messenger)
    : Context(ctx), Options(opt), Members(members), Agreement(agreement),
      Directory(directory), Messenger(messenger),
      Records(opt.RecordLimit, opt.IdleTimeout, opt.ClosingLimit),
      Trials(opt.TrialLimit), Stream(ctx, opt, messenger),
      PassStart(ctx.Time.now()),
      Tried(ctx.Metrics.counter(
          "flow_trials_total",
          "Flows whose upstream was not known and had to be tried")),
      Retried(ctx.Metrics.counter(
          "flow_trials_retried_total",
          "Packets sent again because an upstream did not know the flow")),
      NotRecorded(
          ctx.Metrics.counter("flow_records_refused_total",
                              "Flows not recorded because the table was full")),
      SettledSlots(ctx.Metrics.counter("flow_slots_settled_total",
                                       "Slots this instance found settled")) {}

auto FlowHome::recorded(const FlowPacket &p, TimePoint now) -> UpstreamId {
  if (auto *t = Trials.find(p.Flow);
      t != nullptr && p.Content.Kind != PacketKind::FlowOpen) {
    t->Held = p.Content;
    t->LastSent = now;
    return t->current();
  }
  auto *r = Records.find(p.Flow);
  if (r == nullptr || r->Service != p.Entry.Service)
    return {};
  if (p.Content.Kind != PacketKind::FlowOpen) {
    r->LastHeard = now;
    return r->Upstream;
  }
  // A second opening packet is a repetition shortly after the first, and else
  // a new flow that uses the same ports.
  if (r->Closing || now - r->Opened >= ReopenLimit)
    return {};
  return r->Upstream;
}

auto FlowHome::cached(const FlowPacket &p, TimePoint now) -> UpstreamId {
  if (p.Content.Kind == PacketKind::FlowOpen) {
    Records.erase(p.Flow);
    return {};
  }
  auto *r = Records.find(p.Flow);
  if (p.Content.Kind != PacketKind::FlowData || r == nullptr || r->Closing ||
      r->Service != p.Entry.Service)
    return {};
  r->LastHeard = now;
  if (now - r->LastRelayed >= Options.IdleTimeout / CacheShare) {
    r->LastRelayed = now;
    return {};
  }
  return r->Upstream;
}

auto FlowHome::noteRelayed(const FlowPacket &p, const Peer &from) -> void {
  constexpr std::uint8_t RelaysBeforeHint = 4;
  auto *r = Records.find(p.Flow);
  if (r == nullptr || ++r->Relays < RelaysBeforeHint || !Stream.hasRoom())
    return;
  r->Relays = 0;
  Stream.push(from, p.Entry.Service, p.Flow, r->Upstream);
}

auto FlowHome::peerToAsk(const FlowPacket &p, TimePoint now) -> Peer {
  const auto owners = Members.owners(p.Entry.Service, p.Slot);
  const auto self = Context.Self.Id;
  if (owners.Home.Id != self)
    return Members.canBeAsked(owners.Home.Id) ? owners.Home : Peer{};
  // Only what was unsettled before this instance became its home has records
  // elsewhere, and only as long as a flow may be silent.
  const auto since = Agreement.unsettledSince(p.Entry.Service);
  const auto isInherited = [&](TimePoint change) {
    return since && *since <= change && now - change < Options.IdleTimeout;
  };
  const auto former = Members.formerHome(p.Entry.Service, p.Slot);
  if (former.Id != InstanceId{} && isInherited(Members.changedAt()) &&
      Members.canBeAsked(former.Id))
    return former;
  const auto synced = Agreement.syncedAt();
  if (synced && isInherited(*synced) && owners.Mirror.Id != InstanceId{} &&
      Members.canBeAsked(owners.Mirror.Id))
    return owners.Mirror;
  return {};
}

auto FlowHome::isLearning(const ServicePlacement &p, TimePoint now) const
    -> bool {
  return now - p.activeSince() < Options.IdleTimeout;
}

auto FlowHome::decide(const FlowPacket &p, TimePoint now) -> UpstreamId {
  const auto &placement = *p.Entry.Placement;
  const auto choice = placement.palette()[placement.choice(p.Slot)];
  if (placement.isSettled(p.Slot))
    return choice;
  return p.Content.Kind == PacketKind::FlowOpen ? decideOpen(p, choice, now)
                                                : decideMidFlow(p, choice, now);
}

auto FlowHome::decideOpen(const FlowPacket &p, UpstreamId choice, TimePoint now)
    -> UpstreamId {
  // The resets of a trial that is over may still be on the way.
  const auto wasTried = Trials.find(p.Flow) != nullptr;
  Trials.erase(p.Flow);
  if (wasTried || isLearning(*p.Entry.Placement, now))
    record(p, choice, true, now);
  else
    Records.erase(p.Flow);
  return choice;
}

auto FlowHome::decideMidFlow(const FlowPacket &p, UpstreamId choice,
                             TimePoint now) -> UpstreamId {
  Trial t;
  t.Service = p.Entry.Service;
  for (auto id :
       p.Entry.Placement->candidates(p.Slot, now, Options.IdleTimeout))
    if (Directory.target(p.Entry.Service, id).Use != TargetUse::Gone)
      t.Candidates.push_back(id);
  if (t.Candidates.empty())
    return {};
  const auto first = t.Candidates.front();
  if (t.Candidates.size() == 1) {
    if (first != choice)
      record(p, first, false, now);
    return first;
  }
  t.Held = p.Content;
  t.Since = now;
  t.LastSent = now;
  if (Trials.add(p.Flow, std::move(t)) == nullptr)
    record(p, first, false, now);
  else
    Tried.add();
  return first;
}

auto FlowHome::record(const FlowPacket &p, UpstreamId u, bool opened,
                      TimePoint now) -> void {
  FlowRecord r;
  r.Service = p.Entry.Service;
  r.Upstream = u;
  r.LastHeard = now;
  if (opened)
    r.Opened = now;
  if (!Records.put(p.Flow, r)) {
    NotRecorded.add();
    return;
  }
  noteForeign(r.Service, p.Flow, u);
  if (p.Entry.Placement->isNewestActive())
    mirror(r.Service, p.Slot, p.Flow, u);
}

auto FlowHome::mirror(ServiceId service, std::uint32_t slot, FlowHash h,
                      UpstreamId u) -> void {
  const auto owners = Members.owners(service, slot);
  for (const auto &to : {owners.Home, owners.Mirror})
    if (to.Id != InstanceId{} && to.Id != Context.Self.Id)
      Stream.push(to, service, h, u);
}

auto FlowHome::noteForeign(ServiceId service, FlowHash h, UpstreamId u)
    -> void {
  const auto *p = Agreement.find(service);
  if (p == nullptr || !p->isActive())
    return;
  const auto slot = p->slotOf(raw(h));
  if (!p->isSettled(slot) && p->palette()[p->choice(slot)] != u)
    Foreign.insert(slotKey(service, slot));
}

auto FlowHome::onAnswer(FlowHash h, const Endpoint &from) -> void {
  auto *t = Trials.find(h);
  if (t == nullptr ||
      Directory.target(t->Service, t->current()).Address != from)
    return;
  auto *entry = Directory.find(t->Held.Flow.Service);
  if (entry != nullptr && entry->Placement != nullptr) {
    const auto slot = entry->Placement->slotOf(raw(h));
    const FlowPacket p{t->Held, h, *entry, slot, 0};
    record(p, t->current(), false, t->LastSent);
  }
  Trials.erase(h);
}

auto FlowHome::isHomeOf(ServiceId service, FlowHash h) -> bool {
  const auto *p = Agreement.find(service);
  return p != nullptr && p->isActive() &&
         Members.owners(service, p->slotOf(raw(h))).Home.Id == Context.Self.Id;
}

auto FlowHome::onReset(FlowHash h, const Endpoint &from, TimePoint now)
    -> ResetOutcome {
  auto *t = Trials.find(h);
  if (t == nullptr) {
    const auto *r = Records.find(h);
    if (r != nullptr &&
        Directory.target(r->Service, r->Upstream).Address != from)
      return {true, nullptr, {}};
    // A cached record may be of an earlier flow with the same ports: only the
    // home's word counts, at the caller's next packet.
    if (r != nullptr && !isHomeOf(r->Service, h)) {
      Records.erase(h);
      return {true, nullptr, {}};
    }
    onEnd(h, now);
    return {};
  }
  if (Directory.target(t->Service, t->current()).Address != from)
    return {true, nullptr, {}};
  if (t->Position + 1 < t->Candidates.size()) {
    ++t->Position;
    Retried.add();
    return {true, &t->Held, Directory.target(t->Service, t->current()).Address};
  }
  // Its opening packet may still be on the way behind it.
  const auto tooEarly = now - t->Since < ReorderLimit;
  if (!tooEarly)
    Trials.erase(h);
  else
    t->Position = 0;
  return {tooEarly, nullptr, {}};
}

auto FlowHome::onEnd(FlowHash h, TimePoint now) -> void {
  if (auto *r = Records.find(h); r != nullptr) {
    r->Closing = true;
    r->LastHeard = now;
  }
}

auto FlowHome::onRecords(const PeerFrame &f) -> bool {
  RecordsMessage m;
  if (!decode(f.Body, m))
    return false;
  const auto now = Context.Time.now();
  if (m.Complete)
    Members.noteHandedOver(f.Sender);
  for (const auto &it : m.Entries) {
    // What this instance has decided itself is at least as new.
    if (Records.find(it.Flow) != nullptr)
      continue;
    FlowRecord r;
    r.Service = m.Service;
    r.Upstream = it.Upstream;
    r.LastHeard = now;
    r.LastRelayed = now;
    if (!Records.put(it.Flow, r))
      NotRecorded.add();
    else
      noteForeign(r.Service, it.Flow, r.Upstream);
  }
  return true;
}

auto FlowHome::tick(TimePoint now) -> void {
  constexpr std::size_t BucketsPerTick = 4096;
  Trials.expire(now, Options.ClosingLimit);
  Stream.tick(now);
  const auto ended = Records.sweep(BucketsPerTick, now,
                                   [this](FlowHash h, const FlowRecord &r) {
                                     noteForeign(r.Service, h, r.Upstream);
                                   });
  if (ended) {
    LastForeign = std::move(Foreign);
    Foreign.clear();
    settleSlots(now);
    PassStart = now;
  }
  if (HandOverBegun && !HandOverDone)
    tickHandOver(now);
}

auto FlowHome::canSettle(const ServicePlacement &p) const -> bool {
  return p.isActive() && p.isNewestActive() &&
         p.activeSince() + Options.IdleTimeout <= PassStart;
}

auto FlowHome::isOwnSlotReady(ServiceId service, std::uint32_t slot,
                              TimePoint now) -> bool {
  const auto key = slotKey(service, slot);
  if (Members.owners(service, slot).Home.Id != Context.Self.Id) {
    HomeSince.erase(key);
    return false;
  }
  // A new home has heard of all flows only after the idle limit.
  const auto since = HomeSince.try_emplace(key, now).first->second;
  return now - since >= Options.IdleTimeout && !LastForeign.contains(key);
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
      if (isOwnSlotReady(service, slot, now) && canSettle(p))
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

auto FlowHome::beginHandOver() -> void {
  HandOverBegun = true;
  Stream.hurry();
  Records.forEach([this](FlowHash h, const FlowRecord &r) {
    const auto *p = Agreement.find(r.Service);
    if (p == nullptr || !p->isActive())
      return;
    const auto to = Members.owners(r.Service, p->slotOf(raw(h))).Home;
    if (to.Id != Context.Self.Id)
      Stream.push(to, r.Service, h, r.Upstream);
  });
}

auto FlowHome::tickHandOver(TimePoint now) -> void {
  static_cast<void>(now);
  if (!Stream.isEmpty())
    return;
  HandOverDone = true;
  RecordsMessage m;
  m.Complete = true;
  Messenger.sendAll(Members.participants(), FlowMessage::Records, m);
  Context.Log.write(events::RecordsHandedOver,
                    {{"records", std::to_string(Records.size())}});
}

} // namespace boragebridge
