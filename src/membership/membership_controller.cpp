#include "membership/membership_controller.h"

#include "membership/membership_events.h"

#include <boost/json.hpp>

#include <algorithm>
#include <bit>
#include <unordered_set>

namespace boragebridge {

namespace {

/// Maximum number of pending updates; the oldest is dropped beyond it.
constexpr std::size_t PendingUpdateLimit = 256;
constexpr std::size_t UpdatesPerMessage = 8;
/// Number of seeds that are asked at once.
constexpr std::size_t JoinFanOut = 8;
/// Number of messages in a row with a different digest before the buckets are
/// compared.
constexpr unsigned MismatchLimit = 3;
constexpr Duration EvictionPeriod = std::chrono::seconds(10);

auto isLive(MemberState s) -> bool { return s != MemberState::Dead; }

} // namespace

MembershipController::MembershipController(
    const ControllerContext &ctx, std::shared_ptr<BudgetedPlatform> platform,
    MembershipSettings settings)
    : Ctx(ctx), Platform(std::move(platform)), Settings(settings),
      Suspicions(ctx.Metrics.counter("membership_suspicions_total",
                                     "Members that this instance suspected")),
      Deaths(ctx.Metrics.counter("membership_deaths_total",
                                 "Members that this instance declared dead")),
      Refutations(
          ctx.Metrics.counter("membership_refutations_total",
                              "News about this instance that it refuted")),
      Dropped(ctx.Metrics.counter("membership_dropped_total",
                                  "News dropped because a table was full")) {}

MembershipController::~MembershipController() = default;

auto MembershipController::selfUpdate() const -> MemberUpdate {
  return Table.find(Ctx.Self.Id)->Update;
}

auto MembershipController::start() -> void {
  const auto now = Ctx.Time.now();
  LastTick = now;
  NextProbe = now + Ctx.Random.jitter(Settings.ProbePeriod);
  NextJoin = now;
  NextListRead = now;
  NextReconnect = now + Ctx.Random.jitter(Settings.ReconnectPeriod);
  NextSync = now;
  NextEviction = now + EvictionPeriod;
  setSelfState(MemberState::Alive, 0);
}

auto MembershipController::tick(TimePoint now) -> void {
  Platform->tick(now);
  handlePause(now);
  readList(now);
  registerSelf();
  join(now);
  runProbe(now);
  expireSuspects(now);
  reconnect(now);
  if (now >= NextEviction) {
    Table.evictDead(now - Settings.DeadRetention);
    Changed = true;
    NextEviction = now + EvictionPeriod;
  }
  sendNewUpdates();
  publishIfChanged(now);
}

/// Shifts the times of all entries after a pause of this process. Answers that
/// were missed during the pause do not count against other members.
auto MembershipController::handlePause(TimePoint now) -> void {
  const auto gap = now - LastTick;
  LastTick = now;
  if (gap < Settings.PauseThreshold)
    return;
  Table.shiftTimes(gap);
  CurrentProbe = {};
  NextProbe = now;
}

auto MembershipController::join(TimePoint now) -> void {
  if (Joined || now < NextJoin)
    return;
  NextJoin = now + Ctx.Random.jitter(Settings.JoinRetryInterval);
  auto seeds = Ctx.Self.Seeds;
  seeds.insert(seeds.end(), ListedPeers.begin(), ListedPeers.end());
  std::erase(seeds, Ctx.Self.PeerAddress);
  for (std::size_t n = 0; n < JoinFanOut && !seeds.empty(); ++n) {
    const auto it = seeds.begin() +
                    static_cast<std::ptrdiff_t>(Ctx.Random.below(seeds.size()));
    send(*it, MembershipKind::Join, makeMessage());
    seeds.erase(it);
  }
}

auto MembershipController::runProbe(TimePoint now) -> void {
  if (now >= NextProbe) {
    endProbe(now);
    beginProbe(now);
    NextProbe = now + Settings.ProbePeriod;
    return;
  }
  if (CurrentProbe.Nonce == 0 || CurrentProbe.Answered ||
      CurrentProbe.SentIndirect ||
      now < CurrentProbe.StartedAt + Settings.DirectTimeout)
    return;
  CurrentProbe.SentIndirect = true;
  const auto *target = Table.find(CurrentProbe.Target);
  if (target == nullptr)
    return;
  auto m = makeMessage(CurrentProbe.Nonce);
  m.Target = target->Update.Subject.PeerAddress;
  for (const auto &it : randomLivePeers(Settings.IndirectProbeCount))
    if (it != m.Target)
      send(it, MembershipKind::ProbeRequest, m);
}

auto MembershipController::beginProbe(TimePoint now) -> void {
  CurrentProbe = {};
  while (!ProbeOrder.empty()) {
    const auto id = ProbeOrder.back();
    ProbeOrder.pop_back();
    const auto *it = Table.find(id);
    if (it == nullptr || !isLive(it->Update.Subject.State))
      continue;
    CurrentProbe = {id, ++LastNonce, now, false, false};
    send(it->Update.Subject.PeerAddress, MembershipKind::Ping,
         makeMessage(CurrentProbe.Nonce));
    return;
  }
  for (const auto &[id, it] : Table.entries())
    if (id != Ctx.Self.Id && isLive(it.Update.Subject.State))
      ProbeOrder.push_back(id);
  for (auto n = ProbeOrder.size(); n > 1; --n)
    std::swap(ProbeOrder[n - 1], ProbeOrder[Ctx.Random.below(n)]);
}

auto MembershipController::endProbe(TimePoint) -> void {
  if (CurrentProbe.Nonce == 0 || CurrentProbe.Answered)
    return;
  const auto *it = Table.find(CurrentProbe.Target);
  if (it == nullptr)
    return;
  if (it->Update.Subject.State == MemberState::Leaving) {
    declare(CurrentProbe.Target, MemberState::Dead);
    return;
  }
  if (it->Update.Subject.State != MemberState::Alive)
    return;
  Suspicions.add();
  declare(CurrentProbe.Target, MemberState::Suspect);
  // Notify the suspected member directly, so that it can refute the suspicion.
  send(it->Update.Subject.PeerAddress, MembershipKind::Gossip, makeMessage());
}

auto MembershipController::declare(InstanceId id, MemberState state) -> void {
  auto update = Table.find(id)->Update;
  update.Subject.State = state;
  applyUpdate(update);
}

auto MembershipController::expireSuspects(TimePoint now) -> void {
  std::vector<InstanceId> expired;
  std::erase_if(Suspects, [&](auto id) {
    const auto *it = Table.find(id);
    if (it == nullptr || it->Update.Subject.State != MemberState::Suspect)
      return true;
    if (now < it->Since + Settings.SuspicionTime)
      return false;
    expired.push_back(id);
    return true;
  });
  for (auto id : expired) {
    Deaths.add();
    declare(id, MemberState::Dead);
  }
}

auto MembershipController::reconnect(TimePoint now) -> void {
  if (now < NextReconnect)
    return;
  NextReconnect = now + Ctx.Random.jitter(Settings.ReconnectPeriod);
  std::vector<Endpoint> candidates;
  std::unordered_set<Endpoint> live;
  for (const auto &[id, it] : Table.entries())
    if (isLive(it.Update.Subject.State))
      live.insert(it.Update.Subject.PeerAddress);
    else
      candidates.push_back(it.Update.Subject.PeerAddress);
  for (const auto &it : Ctx.Self.Seeds)
    if (!live.contains(it))
      candidates.push_back(it);
  if (candidates.empty())
    return;
  send(candidates[Ctx.Random.below(candidates.size())], MembershipKind::Ping,
       makeMessage());
}

auto MembershipController::applyUpdate(const MemberUpdate &u) -> void {
  if (u.Subject.Id == Ctx.Self.Id) {
    applyUpdateAboutSelf(u);
    return;
  }
  switch (Table.merge(u, Ctx.Time.now())) {
  case MemberTable::MergeResult::Accepted:
    recordChange(u);
    return;
  case MemberTable::MergeResult::Full:
    Dropped.add();
    Ctx.Log.write(events::PeerTableFull, {});
    return;
  default:
    return;
  }
}

/// An update about this instance that differs from its own state is answered
/// with a higher version. The same applies after a restart: the new incarnation
/// supersedes the old one.
auto MembershipController::applyUpdateAboutSelf(const MemberUpdate &u) -> void {
  const auto self = selfUpdate();
  const auto isSame =
      u.Subject.IncarnationNumber == self.Subject.IncarnationNumber &&
      u.Subject.State == self.Subject.State;
  if (u.Version < self.Version || (isSame && u.Version == self.Version))
    return;
  if (u.Subject.IncarnationNumber == self.Subject.IncarnationNumber) {
    Refutations.add();
    Ctx.Log.write(events::SuspicionRefuted,
                  {{"counter", std::to_string(u.Version + 1)}});
  }
  setSelfState(self.Subject.State, u.Version + 1);
}

auto MembershipController::setSelfState(MemberState state,
                                        std::uint32_t version) -> void {
  const auto &self = Ctx.Self;
  const MemberUpdate u{{self.Id, self.IncarnationNumber, self.DataCentre,
                        self.PeerAddress, state},
                       version};
  Table.merge(u, Ctx.Time.now());
  recordChange(u);
}

static auto eventOf(MemberState s) -> const LogEvent & {
  switch (s) {
  case MemberState::Alive:
    return events::PeerAlive;
  case MemberState::Suspect:
    return events::PeerSuspected;
  case MemberState::Leaving:
    return events::PeerLeaving;
  default:
    return events::PeerDead;
  }
}

auto MembershipController::recordChange(const MemberUpdate &u) -> void {
  Changed = true;
  if (u.Subject.State == MemberState::Suspect)
    Suspects.push_back(u.Subject.Id);
  NewUpdates.push_back(u);
  std::erase_if(PendingUpdates, [&](const PendingUpdate &it) {
    return it.Update.Subject.Id == u.Subject.Id;
  });
  PendingUpdates.push_back({u, 0});
  if (PendingUpdates.size() > PendingUpdateLimit) {
    PendingUpdates.pop_front();
    Dropped.add();
  }
  Ctx.Log.write(
      eventOf(u.Subject.State),
      {{"peer", toString(u.Subject.PeerAddress)},
       {"incarnation", std::to_string(raw(u.Subject.IncarnationNumber))}});
}

/// Sends the updates that were applied since the last tick, once.
auto MembershipController::sendNewUpdates() -> void {
  if (NewUpdates.empty())
    return;
  auto updates = std::move(NewUpdates);
  NewUpdates.clear();
  if (updates.size() > PendingUpdateLimit)
    updates.resize(PendingUpdateLimit);
  MembershipMessage m;
  m.Updates = std::move(updates);
  for (const auto &it : randomLivePeers(Settings.GossipFanOut))
    send(it, MembershipKind::Gossip, m);
}

auto MembershipController::randomLivePeers(std::size_t n)
    -> std::vector<Endpoint> {
  std::vector<Endpoint> live;
  for (const auto &[id, it] : Table.entries())
    if (id != Ctx.Self.Id && isLive(it.Update.Subject.State))
      live.push_back(it.Update.Subject.PeerAddress);
  n = std::min(n, live.size());
  for (std::size_t k = 0; k < n; ++k)
    std::swap(live[k], live[k + Ctx.Random.below(live.size() - k)]);
  live.resize(n);
  return live;
}

auto MembershipController::makeMessage(std::uint32_t nonce)
    -> MembershipMessage {
  MembershipMessage m;
  m.Nonce = nonce;
  m.Digest = Table.digest();
  m.Updates.push_back(selfUpdate());
  attachUpdates(m);
  return m;
}

/// Attaches the pending updates that were sent least often, so that new updates
/// do not wait behind old ones. Each update is sent a number of times that
/// grows with the logarithm of the fleet size; members that missed an update
/// are found by the digests.
auto MembershipController::attachUpdates(MembershipMessage &m) -> void {
  const auto limit =
      static_cast<unsigned>(std::bit_width(Table.entries().size()));
  const auto n = std::min(UpdatesPerMessage, PendingUpdates.size());
  const auto end = PendingUpdates.begin() + static_cast<std::ptrdiff_t>(n);
  std::partial_sort(
      PendingUpdates.begin(), end, PendingUpdates.end(),
      [](const auto &a, const auto &b) { return a.Sends < b.Sends; });
  for (auto it = PendingUpdates.begin(); it != end; ++it) {
    m.Updates.push_back(it->Update);
    ++it->Sends;
  }
  std::erase_if(PendingUpdates,
                [limit](const auto &r) { return r.Sends >= limit; });
}

auto MembershipController::send(const Endpoint &to, MembershipKind kind,
                                const MembershipMessage &m) -> void {
  const auto n = static_cast<std::uint8_t>(kind);
  Ctx.Peers.send(to, messageKind(MessageFamily::Membership, n),
                 encodeMembership(m));
}

auto MembershipController::sendView(
    const Endpoint &to, MembershipKind kind,
    const std::vector<std::uint64_t> &peerDigests) -> void {
  MembershipMessage m;
  m.Updates.push_back(selfUpdate());
  const auto &ownDigests = Table.bucketDigests();
  for (const auto &[id, it] : Table.entries()) {
    const auto bucket = MemberTable::bucketOf(id);
    if (peerDigests.empty() || peerDigests[bucket] != ownDigests[bucket])
      m.Updates.push_back(it.Update);
  }
  if (kind == MembershipKind::SyncAnswer)
    m.Buckets.assign(ownDigests.begin(), ownDigests.end());
  send(to, kind, m);
}

auto MembershipController::compareDigest(std::uint64_t digest,
                                         const Endpoint &from) -> void {
  if (digest == Table.digest()) {
    DigestMismatches = 0;
    return;
  }
  const auto now = Ctx.Time.now();
  if (++DigestMismatches < MismatchLimit || now < NextSync)
    return;
  DigestMismatches = 0;
  NextSync = now + Ctx.Random.jitter(Settings.SyncPeriod);
  MembershipMessage m;
  m.Buckets.assign(Table.bucketDigests().begin(), Table.bucketDigests().end());
  send(from, MembershipKind::Sync, m);
}

auto MembershipController::publishIfChanged(TimePoint now) -> void {
  if (!Changed)
    return;
  Changed = false;
  MembershipView view;
  LiveCount = 0;
  for (const auto &[id, it] : Table.entries()) {
    const auto live = isLive(it.Update.Subject.State);
    if (live || it.Since + Settings.DeadVisibleTime > now)
      view.Members.push_back(it.Update.Subject);
    if (live)
      ++LiveCount;
  }
  Ctx.Metrics
      .gauge("membership_live", "Members that count as live, this one included")
      .set(static_cast<double>(LiveCount));
  if (view.Members != Ctx.Board.Membership.read()->Members)
    Ctx.Board.Membership.publish(std::move(view));
}

auto MembershipController::beginStop() -> void {
  if (StopAt != TimePoint::max())
    return;
  StopAt = Ctx.Time.now() + Settings.LeaveNoticeTime;
  setSelfState(MemberState::Leaving, selfUpdate().Version + 1);
  sendNewUpdates();
  unregisterSelf();
}

auto MembershipController::isStopped() const -> bool {
  return Ctx.Time.now() >= StopAt;
}

auto MembershipController::dump() const -> boost::json::object {
  boost::json::array members;
  for (const auto &[id, it] : Table.entries())
    members.push_back(
        {{"address", toString(it.Update.Subject.PeerAddress)},
         {"incarnation", raw(it.Update.Subject.IncarnationNumber)},
         {"counter", it.Update.Version},
         {"state", static_cast<unsigned>(it.Update.Subject.State)}});
  return {{"joined", Joined},
          {"registered", Registered},
          {"live", LiveCount},
          {"members", std::move(members)}};
}

auto makeMembershipController(const ControllerContext &ctx,
                              std::shared_ptr<BudgetedPlatform> platform)
    -> std::unique_ptr<Controller> {
  return std::make_unique<MembershipController>(ctx, std::move(platform));
}

} // namespace boragebridge
