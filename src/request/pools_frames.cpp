// Handlers for the pool messages of other instances.
#include "request/pools.h"

namespace boragebridge {

/// An instance does not serve a pool for this long after another one has
/// claimed it.
static constexpr Duration YieldTime = std::chrono::seconds(1);
/// Limit on the handovers that are recorded to detect duplicates.
static constexpr std::size_t MaxReceivedHandovers = 4096;

static auto fromWireLeases(const std::vector<rw::SlotLoan> &leases)
    -> std::vector<SlotLease> {
  std::vector<SlotLease> all;
  all.reserve(leases.size());
  for (const auto &l : leases)
    all.push_back({{UpstreamId{l.upstream()}, l.index()}, l.grant()});
  return all;
}

template <typename T> static auto poolOf(const T &m) -> PoolId {
  return {ServiceId{m.service}, DataCentreId{m.data_centre}};
}

auto Pools::onFrame(RequestMessage kind, const PeerFrame &f, TimePoint now)
    -> bool {
  checkForPause(now);
  switch (kind) {
  case RequestMessage::Demand:
    return onDemandFrame(f, now);
  case RequestMessage::Lend:
    return onLendFrame(f, now);
  case RequestMessage::PoolHandOver:
    return onHandoverFrame(f, now);
  case RequestMessage::PoolClaim:
    return onClaimFrame(f, now);
  default:
    return false;
  }
}

auto Pools::onDemandFrame(const PeerFrame &f, TimePoint now) -> bool {
  rw::DemandT m;
  if (!decode(f.Body, m))
    return false;
  if (m.keeper != raw(Ctx.Self.IncarnationNumber))
    return true;
  const auto view = Ctx.Board.Membership.read();
  const auto *sender = view->find(f.Sender);
  if (sender == nullptr)
    return true;
  handleLeaseRequest(
      poolOf(m), {f.Sender, f.SenderIncarnation}, sender->DataCentre,
      {m.sequence, m.seen, m.wanted, m.queued, fromWireLeases(m.held)}, now);
  return true;
}

auto Pools::onLendFrame(const PeerFrame &f, TimePoint now) -> bool {
  rw::LendT m;
  if (!decode(f.Body, m))
    return false;
  auto it = Clients.find(poolOf(m));
  if (it != Clients.end())
    it->second.Client.onGrant(
        {f.Sender, f.SenderIncarnation},
        {m.sequence, m.keep, m.unmet, fromWireLeases(m.loans)}, now);
  return true;
}

auto Pools::onHandoverFrame(const PeerFrame &f, TimePoint now) -> bool {
  rw::PoolHandOverT m;
  if (!decode(f.Body, m))
    return false;
  auto it = Servers.find(poolOf(m));
  if (it == Servers.end())
    return true;
  if (ReceivedHandovers.size() >= MaxReceivedHandovers)
    ReceivedHandovers.erase(ReceivedHandovers.begin());
  auto &taken = ReceivedHandovers[{f.SenderIncarnation, it->first}];
  if (m.tenure <= taken)
    return true;
  taken = m.tenure;
  std::vector<SlotId> free;
  for (const auto &s : m.free)
    free.push_back({UpstreamId{s.upstream()}, s.index()});
  it->second.addFree(free, now);
  return true;
}

auto Pools::onClaimFrame(const PeerFrame &f, TimePoint now) -> bool {
  rw::PoolClaimT m;
  if (!decode(f.Body, m))
    return false;
  const auto id = poolOf(m);
  if (!Servers.contains(id) && !YieldUntil.contains(id))
    return true;
  YieldUntil[id] = now + YieldTime;
  const auto view = Ctx.Board.Membership.read();
  if (Servers.contains(id))
    stopServing(id, view->find(f.Sender), now);
  return true;
}

} // namespace boragebridge
