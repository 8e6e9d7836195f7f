// The frames of other instances that Pools takes.
#include "request/pools.h"

namespace boragebridge {

/// A keeper stays silent this long after another's claim.
static constexpr Duration YieldTime = std::chrono::seconds(1);
static constexpr std::size_t MaxTakenHandOvers = 4096;

static auto fromWireLoans(const std::vector<rw::SlotLoan> &loans)
    -> std::vector<SlotLease> {
  std::vector<SlotLease> all;
  all.reserve(loans.size());
  for (const auto &l : loans)
    all.push_back({{UpstreamId{l.upstream()}, l.index()}, l.grant()});
  return all;
}

template <typename T> static auto poolOf(const T &m) -> PoolId {
  return {ServiceId{m.service}, DataCentreId{m.data_centre}};
}

auto Pools::onFrame(RequestMessage kind, const PeerFrame &f, TimePoint now)
    -> bool {
  noteActivity(now);
  switch (kind) {
  case RequestMessage::Demand:
    return onDemandFrame(f, now);
  case RequestMessage::Lend:
    return onLendFrame(f, now);
  case RequestMessage::PoolHandOver:
    return onHandOverFrame(f, now);
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
  if (m.keeper != raw(Ctx.Self.Number))
    return true;
  const auto view = Ctx.Board.Membership.read();
  const auto *sender = view->find(f.Sender);
  if (sender == nullptr)
    return true;
  takeDemand(poolOf(m), {f.Sender, f.SenderIncarnation}, sender->DataCentre,
             {m.sequence, m.seen, m.wanted, m.queued, fromWireLoans(m.held)},
             now);
  return true;
}

auto Pools::onLendFrame(const PeerFrame &f, TimePoint now) -> bool {
  rw::LendT m;
  if (!decode(f.Body, m))
    return false;
  auto it = Holders.find(poolOf(m));
  if (it != Holders.end())
    it->second.Holder.onLend(
        {f.Sender, f.SenderIncarnation},
        {m.sequence, m.keep, m.unmet, fromWireLoans(m.loans)}, now);
  return true;
}

auto Pools::onHandOverFrame(const PeerFrame &f, TimePoint now) -> bool {
  rw::PoolHandOverT m;
  if (!decode(f.Body, m))
    return false;
  auto it = Keepers.find(poolOf(m));
  if (it == Keepers.end())
    return true;
  if (TakenHandOvers.size() >= MaxTakenHandOvers)
    TakenHandOvers.erase(TakenHandOvers.begin());
  auto &taken = TakenHandOvers[{f.SenderIncarnation, it->first}];
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
  if (!Keepers.contains(id) && !YieldUntil.contains(id))
    return true;
  YieldUntil[id] = now + YieldTime;
  const auto view = Ctx.Board.Membership.read();
  if (Keepers.contains(id))
    stopKeeping(id, view->find(f.Sender), now);
  return true;
}

} // namespace boragebridge
