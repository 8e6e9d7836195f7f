#include "request/pools.h"

#include <algorithm>
#include <cmath>

namespace boragebridge {

namespace {

/// Most slots that one instance asks a pool for at once.
constexpr std::uint32_t MaxWanted = 64;
/// The same, of another data centre.
constexpr std::uint32_t MaxWantedRemotely = 4;
/// A changed need is told at most this often.
constexpr Duration DemandGap = std::chrono::milliseconds(20);
constexpr int HandOverRepeats = 12;

/// Slots of \p u that may be used, by its fitness.
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

auto toWireLoans(const std::vector<SlotLease> &loans)
    -> std::vector<rw::SlotLoan> {
  std::vector<rw::SlotLoan> all;
  all.reserve(loans.size());
  for (const auto &l : loans)
    all.emplace_back(raw(l.Slot.Upstream), l.Grant, l.Slot.Index);
  return all;
}

} // namespace

Pools::Pools(const ControllerContext &ctx) : Ctx(ctx) {}

auto Pools::selfId() const -> InstanceIncarnation {
  return {Ctx.Self.Id, Ctx.Self.Number};
}

auto Pools::isLocal(const PoolId &id) const -> bool {
  return id.DataCentre == Ctx.Self.DataCentre;
}

/// After a pause nothing that this instance believed as a keeper holds.
auto Pools::noteActivity(TimePoint now) -> void {
  if (LastActive != TimePoint{} &&
      now - LastActive > SlotLeaseTerms::PauseGap) {
    for (auto &[id, keeper] : Keepers) {
      keeper = newKeeper(now);
      keeper.setLimits(Tables[id].Limits);
    }
    HandOvers.clear();
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
    follow(id, now);
}

/// The first live instance of the pool's data centre in rendezvous order.
auto Pools::electKeeper(const PoolId &id) const -> const Member * {
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

auto Pools::follow(const PoolId &id, TimePoint now) -> void {
  const auto view = Ctx.Board.Membership.read();
  const auto *elected = electKeeper(id);
  const auto isSelf = elected != nullptr && elected->Id == Ctx.Self.Id &&
                      elected->Number == Ctx.Self.Number;
  const auto yields = YieldUntil.contains(id) && now < YieldUntil.at(id);
  if (isSelf && !yields)
    keep(id, now);
  else if (Keepers.contains(id) && !isSelf)
    stopKeeping(id, elected, now);
  auto it = Holders.find(id);
  if (it == Holders.end())
    return;
  if (elected == nullptr) {
    it->second.Holder.setKeeper(std::nullopt);
    return;
  }
  it->second.Holder.setKeeper(
      InstanceIncarnation{elected->Id, elected->Number});
  it->second.KeeperAddress = elected->PeerAddress;
}

auto Pools::keep(const PoolId &id, TimePoint now) -> void {
  auto it = Keepers.find(id);
  if (it == Keepers.end())
    it = Keepers.emplace(id, newKeeper(now)).first;
  it->second.setLimits(Tables[id].Limits);
}

/// Holders tell new loans from old ones by the number of the grant, over all
/// the times that this instance was keeper.
auto Pools::newKeeper(TimePoint now) -> SlotLeaseServer {
  constexpr std::uint64_t GrantsPerTenure = 1ULL << 32U;
  GrantBase += GrantsPerTenure;
  return SlotLeaseServer(now, GrantBase);
}

auto Pools::stopKeeping(const PoolId &id, const Member *next, TimePoint now)
    -> void {
  if (next != nullptr) {
    PendingHandOver h{next->PeerAddress, {}, HandOverRepeats, now};
    h.Message.service = raw(id.Service);
    h.Message.data_centre = raw(id.DataCentre);
    h.Message.tenure = ++Tenure;
    for (const auto &s : Keepers.at(id).freeSlots(now))
      h.Message.free.emplace_back(raw(s.Upstream), s.Index);
    HandOvers.push_back(std::move(h));
  }
  Keepers.erase(id);
}

auto Pools::sendHandOvers(TimePoint now) -> void {
  for (auto &h : HandOvers) {
    if (h.Next > now)
      continue;
    Ctx.Peers.send(h.To, requestKind(RequestMessage::PoolHandOver),
                   encode(h.Message));
    h.Next = now + SlotLeaseTerms::RenewEvery;
    --h.Left;
  }
  std::erase_if(HandOvers,
                [](const PendingHandOver &h) { return h.Left <= 0; });
}

/// Tells instances that may still think that they come first as keeper.
auto Pools::sendClaims(TimePoint now) -> void {
  if (now < NextClaims)
    return;
  NextClaims = now + SlotLeaseTerms::RenewEvery;
  for (const auto &[id, keeper] : Keepers)
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
  noteActivity(now);
  refresh(now);
  for (auto it = YieldUntil.begin(); it != YieldUntil.end();) {
    const auto at = it++;
    if (now < at->second)
      continue;
    const auto id = at->first;
    YieldUntil.erase(at);
    if (Tables.contains(id))
      follow(id, now);
  }
  sendClaims(now);
  sendHandOvers(now);
  for (auto &[id, h] : Holders) {
    const auto wanted = wantedFrom(id);
    if (!isLocal(id) && Needs[id.Service].Queued == 0)
      h.Holder.returnIdle();
    const auto mustTell = h.Holder.tick(now);
    const auto takesPart =
        h.Holder.loanCount() > 0 || wanted > 0 || h.AskedFor > 0;
    if (mustTell ||
        (takesPart && now - h.LastDemand >= SlotLeaseTerms::RenewEvery))
      demand(id, h, now);
  }
  for (auto &[id, keeper] : Keepers)
    lend(id, now);
}

/// How many slots more the queue of the service could use from pool \p id.
/// Other data centres are asked when this one's pool is short.
auto Pools::wantedFrom(const PoolId &id) const -> std::uint32_t {
  auto need = Needs.find(id.Service);
  if (need == Needs.end() || !Tables.contains(id) ||
      Tables.at(id).Limits.empty())
    return 0;
  const auto queued = need->second.Queued;
  if (isLocal(id))
    return std::min(queued, MaxWanted);
  auto local = Holders.find({id.Service, Ctx.Self.DataCentre});
  const auto localSuffices = local != Holders.end() &&
                             PoolsOf.contains(id.Service) &&
                             isLocal(PoolsOf.at(id.Service).front()) &&
                             local->second.Holder.isServed(Ctx.Time.now()) &&
                             local->second.Holder.unmet() == 0;
  return localSuffices ? 0 : std::min(queued, MaxWantedRemotely);
}

auto Pools::setNeed(ServiceId s, const ServiceNeed &need, TimePoint now)
    -> void {
  noteActivity(now);
  Needs[s] = need;
  auto pools = PoolsOf.find(s);
  if (need.Queued == 0 || pools == PoolsOf.end())
    return;
  for (const auto &id : pools->second) {
    auto [it, isNew] = Holders.try_emplace(id);
    if (isNew)
      follow(id, now);
    auto &h = it->second;
    const auto wanted = wantedFrom(id);
    const auto mustTell = h.Holder.tick(now);
    if (!mustTell && (wanted == 0 || (h.AskedFor >= wanted && h.AskedFor > 0)))
      continue;
    if (mustTell || h.AskedFor == 0 || now - h.LastDemand >= DemandGap)
      demand(id, h, now);
  }
}

auto Pools::demand(const PoolId &id, HolderState &h, TimePoint now) -> void {
  const auto keeper = h.Holder.keeper();
  if (!keeper)
    return;
  const auto &need = Needs[id.Service];
  h.AskedFor = wantedFrom(id);
  h.LastDemand = now;
  const auto d =
      h.Holder.makeDemand(now, h.AskedFor, need.Queued + need.Running);
  if (*keeper == selfId()) {
    takeDemand(id, selfId(), Ctx.Self.DataCentre, d, now);
    return;
  }
  rw::DemandT m;
  m.service = raw(id.Service);
  m.data_centre = raw(id.DataCentre);
  m.keeper = raw(keeper->Number);
  m.sequence = d.Sequence;
  m.seen = d.Seen;
  m.wanted = d.Wanted;
  m.queued = d.Load;
  m.held = toWireLoans(d.Held);
  Ctx.Peers.send(h.KeeperAddress, requestKind(RequestMessage::Demand),
                 encode(m));
}

auto Pools::takeDemand(const PoolId &id, const InstanceIncarnation &from,
                       DataCentreId dc, const LeaseRequest &d, TimePoint now)
    -> void {
  auto it = Keepers.find(id);
  if (it == Keepers.end())
    return;
  if (it->second.onDemand(from, dc == id.DataCentre, d, now))
    lend(id, now);
}

auto Pools::lend(const PoolId &id, TimePoint now) -> void {
  for (const auto &to : Keepers.at(id).lend(now))
    tell(id, to, now);
}

auto Pools::tell(const PoolId &id, const InstanceIncarnation &to, TimePoint now)
    -> void {
  const auto state = Keepers.at(id).stateFor(to);
  if (!state)
    return;
  if (to == selfId()) {
    Holders[id].Holder.onLend(selfId(), *state, now);
    return;
  }
  const auto view = Ctx.Board.Membership.read();
  const auto *m = view->find(to.Id);
  if (m == nullptr || m->Number != to.Number)
    return;
  rw::LendT lend;
  lend.service = raw(id.Service);
  lend.data_centre = raw(id.DataCentre);
  lend.keeper = raw(Ctx.Self.Number);
  lend.sequence = state->Sequence;
  lend.keep = state->Keep;
  lend.unmet = state->Unmet;
  lend.loans = toWireLoans(state->Loans);
  Ctx.Peers.send(m->PeerAddress, requestKind(RequestMessage::Lend),
                 encode(lend));
}

auto Pools::acquire(ServiceId s, TimePoint now) -> std::optional<LeasedSlot> {
  noteActivity(now);
  auto pools = PoolsOf.find(s);
  if (pools == PoolsOf.end())
    return std::nullopt;
  for (const auto &id : pools->second) {
    auto it = Holders.find(id);
    if (it == Holders.end())
      continue;
    const auto slot = it->second.Holder.acquire(now);
    if (!slot)
      continue;
    const auto address = Addresses.find(slot->Upstream);
    if (address != Addresses.end())
      return LeasedSlot{id, *slot, address->second};
    it->second.Holder.release(*slot, TimePoint::max());
  }
  return std::nullopt;
}

auto Pools::release(const LeasedSlot &p, TimePoint restUntil) -> void {
  auto it = Holders.find(p.Pool);
  if (it != Holders.end())
    it->second.Holder.release(p.Slot, restUntil);
}

auto Pools::beginStop(TimePoint now) -> void {
  Stopping = true;
  for (const auto &[id, table] : Tables)
    follow(id, now);
}

auto Pools::isServable(ServiceId s) const -> bool {
  auto it = PoolsOf.find(s);
  return it != PoolsOf.end() && !it->second.empty();
}

auto Pools::loanCount(ServiceId s) const -> std::size_t {
  std::size_t n = 0;
  for (const auto &[id, h] : Holders)
    n += id.Service == s ? h.Holder.loanCount() : 0;
  return n;
}

auto Pools::lentSlots() const -> std::size_t {
  std::size_t n = 0;
  for (const auto &[id, keeper] : Keepers)
    n += keeper.lentCount();
  return n;
}

} // namespace boragebridge
