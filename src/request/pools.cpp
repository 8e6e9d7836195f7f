#include "request/pools.h"

#include <algorithm>
#include <cmath>

namespace boragebridge {

namespace {

/// Most slots that one instance requests from a pool at a time.
constexpr std::uint32_t MaxWanted = 64;
/// Most slots that one instance requests from a pool of another data centre at
/// a time.
constexpr std::uint32_t MaxWantedRemotely = 4;
/// Shortest interval between requests because of a changed load.
constexpr Duration MinRequestInterval = std::chrono::milliseconds(20);
/// Number of times that a handover is sent, one RenewInterval apart. It is not
/// acknowledged, and the receiver ignores duplicates.
constexpr int HandoverRepeats = 12;

/// Returns the number of slots of \p u that may be used, according to its
/// fitness.
auto allowedSlots(const Upstream &u, const HealthView &health)
    -> std::uint32_t {
  if (u.Mode != UpstreamMode::Active)
    return 0;
  auto it = health.Upstreams.find(u.Id);
  const auto fit = it == health.Upstreams.end() ? UpstreamHealth{} : it->second;
  switch (fit.Fitness) {
  case UpstreamFitness::Unfit:
    return 0;
  case UpstreamFitness::Cold:
    return std::min(1U, u.Slots);
  case UpstreamFitness::Warming: {
    const auto ramped = std::floor(fit.Ramp * u.Slots);
    return std::clamp(static_cast<std::uint32_t>(std::max(0.0, ramped)), 1U,
                      std::max(1U, u.Slots));
  }
  case UpstreamFitness::Ready:
    break;
  }
  return u.Slots;
}

auto speedOf(const Upstream &u, const HealthView &health) -> double {
  auto it = health.Upstreams.find(u.Id);
  return it == health.Upstreams.end() ? u.SpeedPercent
                                      : it->second.SpeedPercent;
}

auto rankOf(const PoolId &pool, InstanceId id) -> std::uint64_t {
  return hashPair(hashPair(raw(pool.Service), raw(pool.DataCentre)), raw(id));
}

auto toWireLeases(const std::vector<SlotLease> &leases)
    -> std::vector<rw::SlotLoan> {
  std::vector<rw::SlotLoan> all;
  all.reserve(leases.size());
  for (const auto &l : leases)
    all.emplace_back(raw(l.Slot.Upstream), l.GrantNumber, l.Slot.Index);
  return all;
}

} // namespace

Pools::Pools(const ControllerContext &ctx) : Ctx(ctx) {}

auto Pools::selfId() const -> InstanceIncarnation {
  return {Ctx.Self.Id, Ctx.Self.IncarnationNumber};
}

auto Pools::isLocal(const PoolId &id) const -> bool {
  return id.DataCentre == Ctx.Self.DataCentre;
}

/// After a pause of this process the records of its lease servers are out of
/// date, so the servers start anew and withhold every slot.
auto Pools::checkForPause(TimePoint now) -> void {
  if (LastActive != TimePoint{} &&
      now - LastActive > SlotLeaseTerms::PauseThreshold) {
    for (auto &[id, server] : Servers) {
      server = makeLeaseServer(now);
      server.setLimits(Tables[id].Limits);
    }
    Handovers.clear();
  }
  LastActive = now;
}

auto Pools::buildTables() -> void {
  const auto cfg = Ctx.Board.Configuration.read();
  const auto health = Ctx.Board.Health.read();
  Tables.clear();
  PoolsOf.clear();
  Addresses.clear();
  for (const auto &u : cfg->Upstreams) {
    Addresses[u.Id] = u.Address;
    const PoolId id{u.Service, u.DataCentre};
    auto &table = Tables[id];
    if (cfg->isWithdrawn(u.DataCentre))
      continue;
    table.Limits.push_back(
        {u.Id, allowedSlots(u, *health), speedOf(u, *health)});
    auto &pools = PoolsOf[u.Service];
    if (std::find(pools.begin(), pools.end(), id) == pools.end())
      pools.push_back(id);
  }
  for (auto &[service, pools] : PoolsOf)
    std::sort(pools.begin(), pools.end(),
              [this](const PoolId &a, const PoolId &b) {
                return std::pair(!isLocal(a), rankOf(a, Ctx.Self.Id)) <
                       std::pair(!isLocal(b), rankOf(b, Ctx.Self.Id));
              });
}

auto Pools::refresh(TimePoint now) -> void {
  const auto cfg = Ctx.Board.Configuration.version();
  const auto members = Ctx.Board.Membership.version();
  const auto health = Ctx.Board.Health.version();
  if (cfg == ConfigurationVersion && members == MembershipVersion &&
      health == HealthVersion)
    return;
  ConfigurationVersion = cfg;
  MembershipVersion = members;
  HealthVersion = health;
  buildTables();
  for (const auto &[id, table] : Tables)
    updateRole(id, now);
}

/// Returns the first live instance of the pool's data centre in rendezvous
/// order, or null.
auto Pools::electLeaseServer(const PoolId &id) const -> const Member * {
  const Member *best = nullptr;
  for (const auto &m : Ctx.Board.Membership.read()->Members) {
    if (m.DataCentre != id.DataCentre || m.State != MemberState::Alive ||
        (m.Id == Ctx.Self.Id && Stopping))
      continue;
    if (best == nullptr || rankOf(id, m.Id) > rankOf(id, best->Id))
      best = &m;
  }
  return best;
}

/// Starts or stops serving pool \p id, and sets the server of its client.
auto Pools::updateRole(const PoolId &id, TimePoint now) -> void {
  const auto view = Ctx.Board.Membership.read();
  const auto *elected = electLeaseServer(id);
  const auto isSelf = elected != nullptr && elected->Id == Ctx.Self.Id &&
                      elected->IncarnationNumber == Ctx.Self.IncarnationNumber;
  const auto yields = YieldUntil.contains(id) && now < YieldUntil.at(id);
  if (isSelf && !yields)
    startServing(id, now);
  else if (Servers.contains(id) && !isSelf)
    stopServing(id, elected, now);
  auto it = Clients.find(id);
  if (it == Clients.end())
    return;
  if (elected == nullptr) {
    it->second.Client.setServer(std::nullopt);
    return;
  }
  it->second.Client.setServer(
      InstanceIncarnation{elected->Id, elected->IncarnationNumber});
  it->second.ServerAddress = elected->PeerAddress;
}

auto Pools::startServing(const PoolId &id, TimePoint now) -> void {
  auto it = Servers.find(id);
  if (it == Servers.end())
    it = Servers.emplace(id, makeLeaseServer(now)).first;
  it->second.setLimits(Tables[id].Limits);
}

/// Clients distinguish new leases from old ones by the grant number, so the
/// grant numbers rise over all tenures of this instance.
auto Pools::makeLeaseServer(TimePoint now) -> SlotLeaseServer {
  constexpr std::uint64_t GrantsPerTenure = 1ULL << 32U;
  GrantBase += GrantsPerTenure;
  return SlotLeaseServer(now, GrantBase);
}

auto Pools::stopServing(const PoolId &id, const Member *next, TimePoint now)
    -> void {
  if (next != nullptr) {
    PendingHandover h{next->PeerAddress, {}, HandoverRepeats, now};
    h.Message.service = raw(id.Service);
    h.Message.data_centre = raw(id.DataCentre);
    h.Message.tenure = ++Tenure;
    for (const auto &s : Servers.at(id).freeSlots(now))
      h.Message.free.emplace_back(raw(s.Upstream), s.Index);
    Handovers.push_back(std::move(h));
  }
  Servers.erase(id);
}

auto Pools::sendHandovers(TimePoint now) -> void {
  for (auto &h : Handovers) {
    if (h.Next > now)
      continue;
    Ctx.Peers.send(h.To, requestKind(RequestMessage::PoolHandOver),
                   encode(h.Message));
    h.Next = now + SlotLeaseTerms::RenewInterval;
    --h.RepeatsLeft;
  }
  std::erase_if(Handovers,
                [](const PendingHandover &h) { return h.RepeatsLeft <= 0; });
}

/// Sends claims to instances that may still consider themselves the lease
/// server of a pool that this instance serves.
auto Pools::sendClaims(TimePoint now) -> void {
  if (now < NextClaims)
    return;
  NextClaims = now + SlotLeaseTerms::RenewInterval;
  for (const auto &[id, server] : Servers)
    for (const auto &m : Ctx.Board.Membership.read()->Members) {
      if (m.DataCentre != id.DataCentre || m.State == MemberState::Alive ||
          rankOf(id, m.Id) < rankOf(id, Ctx.Self.Id))
        continue;
      rw::PoolClaimT claim;
      claim.service = raw(id.Service);
      claim.data_centre = raw(id.DataCentre);
      Ctx.Peers.send(m.PeerAddress, requestKind(RequestMessage::PoolClaim),
                     encode(claim));
    }
}

auto Pools::tick(TimePoint now) -> void {
  checkForPause(now);
  refresh(now);
  for (auto it = YieldUntil.begin(); it != YieldUntil.end();) {
    const auto at = it++;
    if (now < at->second)
      continue;
    const auto id = at->first;
    YieldUntil.erase(at);
    if (Tables.contains(id))
      updateRole(id, now);
  }
  sendClaims(now);
  sendHandovers(now);
  for (auto &[id, c] : Clients) {
    const auto wanted = wantedFrom(id);
    if (!isLocal(id) && Loads[id.Service].Queued == 0)
      c.Client.returnIdle();
    const auto notifyServer = c.Client.tick(now);
    const auto takesPart =
        c.Client.leaseCount() > 0 || wanted > 0 || c.RequestedSlots > 0;
    if (notifyServer ||
        (takesPart && now - c.LastRequest >= SlotLeaseTerms::RenewInterval))
      requestLeases(id, c, now);
  }
  for (auto &[id, server] : Servers)
    grantLeases(id, now);
}

/// Returns how many more slots the queue of the service could use from pool
/// \p id. Pools of other data centres are asked only while the local pool is
/// short.
auto Pools::wantedFrom(const PoolId &id) const -> std::uint32_t {
  auto load = Loads.find(id.Service);
  if (load == Loads.end() || !Tables.contains(id) ||
      Tables.at(id).Limits.empty())
    return 0;
  const auto queued = load->second.Queued;
  if (isLocal(id))
    return std::min(queued, MaxWanted);
  auto local = Clients.find({id.Service, Ctx.Self.DataCentre});
  const auto localSuffices =
      local != Clients.end() && PoolsOf.contains(id.Service) &&
      isLocal(PoolsOf.at(id.Service).front()) &&
      local->second.Client.isServerResponding(Ctx.Time.now()) &&
      local->second.Client.unmet() == 0;
  return localSuffices ? 0 : std::min(queued, MaxWantedRemotely);
}

auto Pools::setLoad(ServiceId s, const ServiceLoad &load, TimePoint now)
    -> void {
  checkForPause(now);
  Loads[s] = load;
  auto pools = PoolsOf.find(s);
  if (load.Queued == 0 || pools == PoolsOf.end())
    return;
  for (const auto &id : pools->second) {
    auto [it, isNew] = Clients.try_emplace(id);
    if (isNew)
      updateRole(id, now);
    auto &c = it->second;
    const auto wanted = wantedFrom(id);
    const auto notifyServer = c.Client.tick(now);
    if (!notifyServer &&
        (wanted == 0 || (c.RequestedSlots >= wanted && c.RequestedSlots > 0)))
      continue;
    if (notifyServer || c.RequestedSlots == 0 ||
        now - c.LastRequest >= MinRequestInterval)
      requestLeases(id, c, now);
  }
}

auto Pools::requestLeases(const PoolId &id, ClientState &c, TimePoint now)
    -> void {
  const auto server = c.Client.server();
  if (!server)
    return;
  const auto &load = Loads[id.Service];
  c.RequestedSlots = wantedFrom(id);
  c.LastRequest = now;
  const auto r =
      c.Client.makeRequest(now, c.RequestedSlots, load.Queued + load.Running);
  if (*server == selfId()) {
    handleLeaseRequest(id, selfId(), Ctx.Self.DataCentre, r, now);
    return;
  }
  rw::DemandT m;
  m.service = raw(id.Service);
  m.data_centre = raw(id.DataCentre);
  m.keeper = raw(server->IncarnationNumber);
  m.sequence = r.Sequence;
  m.seen = r.HighestGrantSeen;
  m.wanted = r.Wanted;
  m.queued = r.Load;
  m.held = toWireLeases(r.Held);
  Ctx.Peers.send(c.ServerAddress, requestKind(RequestMessage::Demand),
                 encode(m));
}

auto Pools::handleLeaseRequest(const PoolId &id,
                               const InstanceIncarnation &from, DataCentreId dc,
                               const LeaseRequest &r, TimePoint now) -> void {
  auto it = Servers.find(id);
  if (it == Servers.end())
    return;
  if (it->second.onRequest(from, dc == id.DataCentre, r, now))
    grantLeases(id, now);
}

auto Pools::grantLeases(const PoolId &id, TimePoint now) -> void {
  for (const auto &to : Servers.at(id).grantLeases(now))
    sendGrant(id, to, now);
}

auto Pools::sendGrant(const PoolId &id, const InstanceIncarnation &to,
                      TimePoint now) -> void {
  const auto grant = Servers.at(id).grantFor(to);
  if (!grant)
    return;
  if (to == selfId()) {
    Clients[id].Client.onGrant(selfId(), *grant, now);
    return;
  }
  const auto view = Ctx.Board.Membership.read();
  const auto *m = view->find(to.Id);
  if (m == nullptr || m->IncarnationNumber != to.IncarnationNumber)
    return;
  rw::LendT message;
  message.service = raw(id.Service);
  message.data_centre = raw(id.DataCentre);
  message.keeper = raw(Ctx.Self.IncarnationNumber);
  message.sequence = grant->Sequence;
  message.keep = grant->RetainLimit;
  message.unmet = grant->Unmet;
  message.loans = toWireLeases(grant->Leases);
  Ctx.Peers.send(m->PeerAddress, requestKind(RequestMessage::Lend),
                 encode(message));
}

auto Pools::acquire(ServiceId s, TimePoint now) -> std::optional<LeasedSlot> {
  checkForPause(now);
  auto pools = PoolsOf.find(s);
  if (pools == PoolsOf.end())
    return std::nullopt;
  for (const auto &id : pools->second) {
    auto it = Clients.find(id);
    if (it == Clients.end())
      continue;
    const auto slot = it->second.Client.acquire(now);
    if (!slot)
      continue;
    const auto address = Addresses.find(slot->Upstream);
    if (address != Addresses.end())
      return LeasedSlot{id, *slot, address->second};
    it->second.Client.release(*slot, TimePoint::max());
  }
  return std::nullopt;
}

auto Pools::release(const LeasedSlot &slot, TimePoint backoffUntil) -> void {
  auto it = Clients.find(slot.Pool);
  if (it != Clients.end())
    it->second.Client.release(slot.Slot, backoffUntil);
}

auto Pools::beginStop(TimePoint now) -> void {
  Stopping = true;
  for (const auto &[id, table] : Tables)
    updateRole(id, now);
}

auto Pools::isServable(ServiceId s) const -> bool {
  auto it = PoolsOf.find(s);
  return it != PoolsOf.end() && !it->second.empty();
}

auto Pools::leaseCount(ServiceId s) const -> std::size_t {
  std::size_t n = 0;
  for (const auto &[id, c] : Clients)
    n += id.Service == s ? c.Client.leaseCount() : 0;
  return n;
}

auto Pools::leasedSlotCount() const -> std::size_t {
  std::size_t n = 0;
  for (const auto &[id, server] : Servers)
    n += server.leasedCount();
  return n;
}

} // namespace boragebridge
