#include "flow/placement_agreement.h"

#include "flow/flow_events.h"

#include <algorithm>

namespace boragebridge {

PlacementAgreement::PlacementAgreement(const ControllerContext &ctx,
                                       const FlowOptions &opt,
                                       LiveMembers &members,
                                       PeerMessenger &messenger)
    : Context(ctx), Options(opt), Members(members), Messenger(messenger),
      Buckets(SyncRequestMessage::BucketCount),
      LastClockReading(ctx.Time.now()), LastPeerMessage(LastClockReading),
      OutdatedSince(LastClockReading), Quarantine(opt.QuarantineTime),
      Announced(ctx.Metrics.counter("flow_generations_announced_total",
                                    "Generations announced by this instance")),
      Unacknowledged(ctx.Metrics.counter(
          "flow_generations_unacknowledged_total",
          "Generations activated without the word of some participant")),
      Outdated(ctx.Metrics.counter(
          "flow_outdated_total",
          "Times this instance stopped trusting its own tables")),
      SyncRequests(ctx.Metrics.counter("flow_sync_requests_total",
                                       "Requests for the peers' tables")) {}

auto PlacementAgreement::find(ServiceId service) -> ServicePlacement * {
  auto it = Placements.find(service);
  return it == Placements.end() ? nullptr : &it->second;
}

auto PlacementAgreement::unsettledSince(ServiceId service) const
    -> std::optional<TimePoint> {
  auto it = UnsettledSince.find(service);
  if (it == UnsettledSince.end())
    return std::nullopt;
  return it->second;
}

auto PlacementAgreement::onPlacementChanged(const ServicePlacement &p) -> void {
  auto &hash = Hashes[p.service()];
  auto &bucket = Buckets[raw(p.service()) % Buckets.size()];
  bucket ^= hash;
  hash = p.stateHash();
  bucket ^= hash;
  ++Version;
  if (p.unsettledSlots().empty())
    UnsettledSince.erase(p.service());
  else
    UnsettledSince.try_emplace(p.service(), Context.Time.now());
  if (const auto *g = p.newest(); g != nullptr)
    HighestCounter = std::max(HighestCounter, g->Id.Counter);
}

auto PlacementAgreement::markOutdated(std::string_view why, TimePoint now)
    -> void {
  if (!Current)
    return;
  Current = false;
  OutdatedSince = now;
  LastRequest = {};
  RequestNumber = 0;
  InFlight.reset();
  QueriedPeers.clear();
  OutdatedPeers.clear();
  Outdated.add();
  Context.Log.write(events::PlacementOutdated, {{"why", std::string(why)}});
}

auto PlacementAgreement::markCurrent(bool fromPeer, TimePoint now) -> void {
  Current = true;
  LastPeerMessage = now;
  if (fromPeer)
    SyncedAt = now;
  Context.Log.write(events::PlacementCurrent,
                    {{"from_peer", fromPeer ? "yes" : "no"}});
}

auto PlacementAgreement::tick(TimePoint now) -> void {
  checkForPause(now);
  const auto alone = Members.participants().size() < 2;
  if (alone)
    LastPeerMessage = now;
  if (now - LastPeerMessage > Options.PeerTimeout)
    markOutdated("no message from peers", now);
  tickDigest(now);
  if (!Current) {
    tickOutdated(now);
    return;
  }
  tickRound(now);
  tickProposer(now);
  tickQuarantine(now);
}

auto PlacementAgreement::tickOutdated(TimePoint now) -> void {
  const auto &all = Members.participants();
  if (all.size() < 2) {
    if (now - OutdatedSince >= Options.StandaloneStartDelay)
      markCurrent(false, now);
    return;
  }
  if (now - LastRequest < Options.SyncRetry)
    return;
  const auto allOutdated =
      !QueriedPeers.empty() &&
      std::includes(OutdatedPeers.begin(), OutdatedPeers.end(),
                    QueriedPeers.begin(), QueriedPeers.end());
  if (allOutdated && Members.isProposer(ServiceId{}) &&
      now - OutdatedSince >= Options.SyncRetry) {
    markCurrent(false, now);
    return;
  }
  constexpr std::size_t PeersPerQuery = 8;
  LastRequest = now;
  RequestNumber = Context.Random.next();
  QueriedPeers.clear();
  OutdatedPeers.clear();
  const auto start = Context.Random.below(all.size());
  for (std::size_t i = 0; i < all.size() && QueriedPeers.size() < PeersPerQuery;
       ++i) {
    const auto &p = all[(start + i) % all.size()];
    if (p.Id == Context.Self.Id)
      continue;
    QueriedPeers.insert(p.Id);
    sendSyncRequest(p);
  }
}

auto PlacementAgreement::randomPeer() -> const Peer * {
  const auto &all = Members.participants();
  if (all.size() < 2)
    return nullptr;
  const auto &p = all[Context.Random.below(all.size())];
  return p.Id == Context.Self.Id ? Members.successor() : &p;
}

auto PlacementAgreement::tickDigest(TimePoint now) -> void {
  if (now - LastDigest < Options.DigestInterval)
    return;
  LastDigest = now;
  DigestMessage m{0, Current};
  for (auto b : Buckets)
    m.Hash = hashPair(m.Hash, b);
  const auto *next = Members.successor();
  if (next == nullptr)
    return;
  Messenger.send(*next, FlowMessage::Digest, m);
  if (const auto *other = randomPeer(); other != next)
    Messenger.send(*other, FlowMessage::Digest, m);
}

auto PlacementAgreement::sendSyncRequest(const Peer &to) -> void {
  SyncRequests.add();
  Messenger.send(to, FlowMessage::SyncRequest,
                 SyncRequestMessage{RequestNumber, Buckets});
}

auto PlacementAgreement::announceSettled(ServiceId service,
                                         std::vector<std::uint16_t> slots)
    -> void {
  auto *p = find(service);
  if (p == nullptr || slots.empty())
    return;
  const SettledMessage m{service, p->activeId(), std::move(slots)};
  p->settle(m.Slots, m.Id);
  onPlacementChanged(*p);
  Messenger.sendAll(Members.participants(), FlowMessage::Settled, m);
}

auto PlacementAgreement::activateAll(const GenerationId &id, TimePoint now)
    -> void {
  for (auto &[service, p] : Placements)
    if (p.activate(id, now))
      onPlacementChanged(p);
}

auto PlacementAgreement::onFrame(FlowMessage kind, const PeerFrame &f) -> bool {
  using Handler = auto(PlacementAgreement::*)(const PeerFrame &)->bool;
  static constexpr std::array<Handler, 7> Handlers{
      nullptr,
      &PlacementAgreement::onState,
      &PlacementAgreement::onAck,
      &PlacementAgreement::onActivate,
      &PlacementAgreement::onSettled,
      &PlacementAgreement::onDigest,
      &PlacementAgreement::onSyncRequest};
  const auto i = static_cast<std::size_t>(kind);
  if (i == 0 || i >= Handlers.size())
    return false;
  // Frames that were queued while this instance was paused do not show that
  // peers can reach it now, so the pause is detected first.
  checkForPause(Context.Time.now());
  if (Members.isParticipant(f.Sender))
    LastPeerMessage = LastClockReading;
  return (this->*Handlers[i])(f);
}

auto PlacementAgreement::onState(const PeerFrame &f) -> bool {
  StateMessage m;
  if (!decode(f.Body, m))
    return false;
  const auto now = Context.Time.now();
  for (const auto &s : m.Services) {
    auto &p = Placements.try_emplace(s.Service, s.Service).first->second;
    if (p.merge(s, now))
      onPlacementChanged(p);
  }
  if (!m.Announced.isNone()) {
    const AckMessage ack{m.Announced,
                         Context.Board.Configuration.read()->RevisionNumber};
    Messenger.send({f.Sender, f.SenderAddress}, FlowMessage::Ack, ack);
    return true;
  }
  if (Current)
    return true;
  // An answer to a request from before a pause may itself be outdated.
  if (m.Answer == 0 || m.Answer != RequestNumber)
    return true;
  if (m.Synced)
    markCurrent(true, now);
  else
    OutdatedPeers.insert(f.Sender);
  return true;
}

auto PlacementAgreement::onAck(const PeerFrame &f) -> bool {
  AckMessage m;
  if (!decode(f.Body, m))
    return false;
  KnownRevisions[f.Sender] = m.ConfigRevision;
  if (InFlight && InFlight->Id == m.Id)
    InFlight->Acknowledged.insert(f.Sender);
  return true;
}

auto PlacementAgreement::onActivate(const PeerFrame &f) -> bool {
  ActivateMessage m;
  if (!decode(f.Body, m))
    return false;
  activateAll(m.Id, Context.Time.now());
  return true;
}

auto PlacementAgreement::onSettled(const PeerFrame &f) -> bool {
  SettledMessage m;
  if (!decode(f.Body, m))
    return false;
  if (auto *p = find(m.Service); p != nullptr) {
    p->settle(m.Slots, m.Id);
    onPlacementChanged(*p);
  }
  return true;
}

auto PlacementAgreement::onDigest(const PeerFrame &f) -> bool {
  DigestMessage m;
  if (!decode(f.Body, m))
    return false;
  std::uint64_t own = 0;
  for (auto b : Buckets)
    own = hashPair(own, b);
  const auto now = Context.Time.now();
  if (!m.Synced || m.Hash == own || !Current ||
      now - LastRequest < Options.SyncRetry)
    return true;
  LastRequest = now;
  sendSyncRequest({f.Sender, f.SenderAddress});
  return true;
}

auto PlacementAgreement::onSyncRequest(const PeerFrame &f) -> bool {
  SyncRequestMessage m;
  if (!decode(f.Body, m))
    return false;
  sendState({f.Sender, f.SenderAddress}, m);
  return true;
}

auto PlacementAgreement::sendState(const Peer &to,
                                   const SyncRequestMessage &request) -> void {
  constexpr std::size_t ServicesPerFrame = 128;
  StateMessage m;
  for (const auto &[service, p] : Placements) {
    const auto i = raw(service) % Buckets.size();
    if (Buckets[i] == request.Buckets[i])
      continue;
    m.Services.push_back(p.state());
    if (m.Services.size() < ServicesPerFrame)
      continue;
    // Only the last frame may mark the answer as complete.
    Messenger.send(to, FlowMessage::State,
                   StateMessage{std::move(m.Services), {}, false, 0});
    m.Services.clear();
  }
  m.Synced = Current;
  m.Answer = request.Number;
  Messenger.send(to, FlowMessage::State, m);
}

} // namespace boragebridge
