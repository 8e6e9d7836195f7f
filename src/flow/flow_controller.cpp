#include "flow/flow_controller.h"

#include "flow/flow_events.h"

#include <boost/json.hpp>

namespace boragebridge {

/// A packet with this many hops is not relayed any more: its receiver decides
/// or drops it.
static constexpr std::uint8_t LastHop = 3;

FlowController::FlowController(const ControllerContext &ctx, FlowOptions opt)
    : Context(ctx), Options(opt), Members(Context.Self), Messenger(Context),
      Agreement(Context, Options, Members, Messenger),
      Directory(Context, Options, Agreement),
      Home(Context, Options, Members, Agreement, Directory, Messenger),
      StalledFlows(Options),
      SettledPackets(ctx.Metrics.counter("flow_packets_settled_total",
                                         "Packets forwarded by the tables")),
      DecidedPackets(ctx.Metrics.counter(
          "flow_packets_decided_total",
          "Packets of unsettled slots decided by this instance")),
      CachedPackets(ctx.Metrics.counter(
          "flow_packets_cached_total",
          "Packets of unsettled slots forwarded by a cached decision")),
      RelayedPackets(
          ctx.Metrics.counter("flow_packets_relayed_total",
                              "Packets relayed to the instance that decides")),
      DroppedPackets(ctx.Metrics.counter(
          "flow_packets_dropped_total",
          "Packets with no service, no upstream or too many hops")),
      UpstreamGoneResets(ctx.Metrics.counter(
          "flow_given_up_total",
          "Mid-flow packets answered with a reset because their upstream is "
          "removed or withdrawn")),
      StalledResets(ctx.Metrics.counter(
          "flow_silent_resets_total",
          "Flows reset because their upstream answers others only")),
      UnsettledGauge(ctx.Metrics.gauge("flow_unsettled_slots",
                                       "Slots that are not settled")),
      RecordGauge(ctx.Metrics.gauge("flow_records", "Flows recorded here")),
      RecordBytesGauge(
          ctx.Metrics.gauge("flow_record_bytes", "Memory of the records")) {}

auto FlowController::updateMembers() -> void {
  if (SeenMembership == Context.Board.Membership.version())
    return;
  SeenMembership = Context.Board.Membership.version();
  Members.update(*Context.Board.Membership.read(), Stopping,
                 Context.Time.now());
}

auto FlowController::tick(TimePoint now) -> void {
  updateMembers();
  if (SeenMembership == 0)
    return;
  Agreement.tick(now);
  Directory.tick(now);
  Home.tick(now);
  std::size_t unsettled = 0;
  for (const auto &[service, p] : Agreement.placements())
    unsettled += p.unsettledSlots().size();
  UnsettledGauge.set(static_cast<double>(unsettled));
  RecordGauge.set(static_cast<double>(Home.records().size()));
  RecordBytesGauge.set(static_cast<double>(Home.records().bytes()));
}

auto FlowController::settledTargetOf(const ServiceEntry &e, std::uint64_t h)
    -> const Target * {
  if (e.Placement == nullptr || !e.Placement->isActive())
    return nullptr;
  const auto slot = e.Placement->slotOf(h);
  if (!e.Placement->isSettled(slot))
    return nullptr;
  return &e.Targets[e.Placement->choice(slot)];
}

auto FlowController::settledTarget(const FlowKey &k) -> const Target * {
  const auto *e = Directory.find(k.Service);
  if (e == nullptr || e->IsQuarantined || !Agreement.isCurrent())
    return nullptr;
  return settledTargetOf(*e, hashFlow(k));
}

auto FlowController::onPacket(PacketOrigin from, const Endpoint &peer,
                              const Packet &p) -> bool {
  if (p.Kind < PacketKind::FlowOpen || p.Kind > PacketKind::FlowReset)
    return false;
  const auto now = Context.Time.now();
  Agreement.checkForPause(now);
  if (from == PacketOrigin::Upstream)
    onUpstreamPacket(peer, p, now);
  else
    onFabricPacket(p, now);
  return true;
}

auto FlowController::onFabricPacket(const Packet &p, TimePoint now) -> void {
  updateMembers();
  Directory.refresh(now);
  auto *e = Directory.find(p.Flow.Service);
  if (e == nullptr || e->IsQuarantined) {
    DroppedPackets.add();
    return;
  }
  const auto h = hashFlow(p.Flow);
  const auto *t = Agreement.isCurrent() ? settledTargetOf(*e, h) : nullptr;
  if (t != nullptr && t->Use != TargetUse::Unknown) {
    SettledPackets.add();
    forward(*t, p, FlowHash{h}, now);
    return;
  }
  const auto usable = e->Placement != nullptr && e->Placement->isActive();
  ResolvedPacket fp{p, FlowHash{h}, *e, 0, 0};
  if (!usable || !Agreement.isCurrent()) {
    relayUndecided(fp);
    return;
  }
  fp.Slot = e->Placement->slotOf(h);
  const auto owners = Members.owners(e->Service, fp.Slot);
  if (owners.Home.Id == Context.Self.Id)
    decideLocally(fp, now);
  else
    forwardCachedOrRelay(fp, owners.Home, now);
}

auto FlowController::forwardCachedOrRelay(const ResolvedPacket &p,
                                          const Peer &home, TimePoint now)
    -> void {
  const auto upstream = Home.cachedUpstream(p, now);
  const auto t = Directory.target(p.Entry.Service, upstream);
  if (upstream == UpstreamId{} || t.Use == TargetUse::Unknown) {
    relay(home, p, 1);
    return;
  }
  CachedPackets.add();
  forward(t, p.Content, p.Flow, now);
}

auto FlowController::relayUndecided(const ResolvedPacket &p) -> void {
  // Every table has at least MinSlots slots, a power of two. The low bits of
  // the hash thus name the same slot whether or not this instance has the
  // table.
  constexpr std::uint32_t MinSlots = 1024;
  auto slot = static_cast<std::uint32_t>(raw(p.Flow) % MinSlots);
  if (p.Entry.Placement != nullptr && p.Entry.Placement->slots() != 0)
    slot = p.Entry.Placement->slotOf(raw(p.Flow));
  const auto owners = Members.owners(p.Entry.Service, slot);
  const auto &to =
      owners.Home.Id == Context.Self.Id ? owners.Backup : owners.Home;
  if (to.Id == InstanceId{} || p.Hops + 1 >= LastHop) {
    DroppedPackets.add();
    return;
  }
  relay(to, p, static_cast<std::uint8_t>(p.Hops + 1));
}

auto FlowController::relay(const Peer &to, const ResolvedPacket &p,
                           std::uint8_t hops) -> void {
  RelayedPackets.add();
  Messenger.send(to, FlowMessage::Relay,
                 RelayMessage{hops, p.Entry.Service, p.Content});
}

auto FlowController::onPeerFrame(const PeerFrame &f) -> bool {
  updateMembers();
  const auto kind = static_cast<FlowMessage>(f.Kind & 0xFFU);
  if (kind == FlowMessage::Relay)
    return onRelay(f);
  if (kind == FlowMessage::Records)
    return Home.onRecords(f);
  return Agreement.onFrame(kind, f);
}

auto FlowController::onRelay(const PeerFrame &f) -> bool {
  RelayMessage m;
  if (!decode(f.Body, m))
    return false;
  const auto now = Context.Time.now();
  Agreement.checkForPause(now);
  Directory.refresh(now);
  auto *e = Directory.find(m.Content.Flow.Service);
  // The two instances may have different configurations, in which the address
  // belongs to different services.
  if (e == nullptr || e->IsQuarantined || e->Service != m.Service) {
    DroppedPackets.add();
    return true;
  }
  const auto h = hashFlow(m.Content.Flow);
  ResolvedPacket fp{m.Content, FlowHash{h}, *e, 0, m.Hops};
  if (!Agreement.isCurrent() || e->Placement == nullptr ||
      !e->Placement->isActive()) {
    relayUndecided(fp);
    return true;
  }
  fp.Slot = e->Placement->slotOf(h);
  if (m.Hops == 1 && m.Content.Kind == PacketKind::FlowData)
    Home.onRelayedPacket(fp, {f.Sender, f.SenderAddress});
  decideLocally(fp, now);
  return true;
}

auto FlowController::decideLocally(const ResolvedPacket &p, TimePoint now)
    -> void {
  auto upstream = Home.recordedUpstream(p, now);
  if (upstream == UpstreamId{} && p.Hops < LastHop &&
      !p.Entry.Placement->isSettled(p.Slot)) {
    const auto ask = Home.peerWithRecord(p, now);
    if (ask.Id != InstanceId{}) {
      relay(ask, p, LastHop);
      return;
    }
  }
  if (upstream == UpstreamId{})
    upstream = Home.decide(p, now);
  const auto t = Directory.target(p.Entry.Service, upstream);
  if (t.Use == TargetUse::Unknown) {
    relayToOtherOwner(p);
    return;
  }
  DecidedPackets.add();
  if (p.Content.Kind == PacketKind::FlowClose ||
      p.Content.Kind == PacketKind::FlowReset)
    Home.onEnd(p.Flow, now);
  forward(t, p.Content, p.Flow, now);
}

auto FlowController::relayToOtherOwner(const ResolvedPacket &p) -> void {
  const auto owners = Members.owners(p.Entry.Service, p.Slot);
  const auto &to =
      owners.Home.Id == Context.Self.Id ? owners.Backup : owners.Home;
  if (to.Id == InstanceId{} || p.Hops >= LastHop)
    DroppedPackets.add();
  else
    relay(to, p, LastHop);
}

auto FlowController::forward(const Target &t, const Packet &p, FlowHash h,
                             TimePoint now) -> void {
  const auto isOpen = p.Kind == PacketKind::FlowOpen;
  if (t.Use == TargetUse::Nothing || (isOpen && t.Use != TargetUse::AllFlows)) {
    // The caller retransmits an opening packet until a generation offers a
    // usable upstream.
    if (isOpen)
      DroppedPackets.add();
    else
      resetCaller(p);
    return;
  }
  Context.Packets.sendToUpstream(t.Address, p);
  if (p.Kind != PacketKind::FlowData || !StalledFlows.onSent(h, t.Address, now))
    return;
  StalledResets.add();
  Context.Log.write(
      events::StalledFlowReset,
      {{"caller", toString(p.Flow.Caller)}, {"upstream", toString(t.Address)}});
  Context.Packets.sendToCaller({PacketKind::FlowReset, p.Flow, {}});
}

auto FlowController::resetCaller(const Packet &p) -> void {
  UpstreamGoneResets.add();
  if (p.Kind == PacketKind::FlowData)
    Context.Packets.sendToCaller({PacketKind::FlowReset, p.Flow, {}});
}

auto FlowController::onUpstreamPacket(const Endpoint &peer, const Packet &p,
                                      TimePoint now) -> void {
  const FlowHash h{hashFlow(p.Flow)};
  if (p.Kind == PacketKind::FlowReset) {
    const auto outcome = Home.onReset(h, peer, now);
    if (outcome.Resend != nullptr)
      Context.Packets.sendToUpstream(outcome.To, *outcome.Resend);
    if (outcome.Consumed)
      return;
  } else {
    StalledFlows.onAnswer(h, peer, now);
    Home.onAnswer(h, peer);
    if (p.Kind == PacketKind::FlowClose)
      Home.onEnd(h, now);
  }
  Context.Packets.sendToCaller(p);
}

auto FlowController::beginStop() -> void {
  if (Stopping)
    return;
  Stopping = true;
  StopSince = Context.Time.now();
  Members.update(*Context.Board.Membership.read(), true, StopSince);
  Home.beginHandover();
}

auto FlowController::isStopped() const -> bool {
  // Packets may still be in transit to and from this instance when it stops.
  constexpr auto Linger = std::chrono::milliseconds(500);
  return Stopping && Home.isHandoverDone() &&
         Context.Time.now() - StopSince >= Linger;
}

auto FlowController::dump() const -> boost::json::object {
  boost::json::object root;
  root["current"] = Agreement.isCurrent();
  root["records"] = Home.records().size();
  root["trials"] = Home.searches().size();
  boost::json::array services;
  constexpr std::size_t MaxServices = 256;
  for (const auto &[service, p] : Agreement.placements()) {
    if (services.size() >= MaxServices)
      break;
    services.push_back(
        boost::json::object{{"service", raw(service)},
                            {"revision", raw(p.activeId().Config)},
                            {"generation", p.activeId().Counter},
                            {"newest_active", p.isNewestActive()},
                            {"unsettled_slots", p.unsettledSlots().size()}});
  }
  root["services"] = std::move(services);
  return root;
}

auto makeFlowController(const ControllerContext &ctx)
    -> std::unique_ptr<Controller> {
  return std::make_unique<FlowController>(ctx);
}

} // namespace boragebridge
