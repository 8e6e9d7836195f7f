#include "request/request_router.h"

namespace boragebridge {

namespace {

/// Returns the route to \p holder. The ledger is lost when the same instance
/// runs as another incarnation. An instance that is unknown or declared dead
/// may return.
auto routeTo(const InstanceIncarnation &holder, const MembershipView &view)
    -> Route {
  const auto *m = view.find(holder.Id);
  if (m == nullptr)
    return {RouteKind::HolderUnreachable, {}};
  if (m->IncarnationNumber != holder.IncarnationNumber)
    return {RouteKind::LedgerLost, {}};
  if (m->State == MemberState::Dead)
    return {RouteKind::HolderUnreachable, {}};
  return {RouteKind::Relay, m->PeerAddress};
}

} // namespace

auto RequestRouter::learnSuccessor(Incarnation inc,
                                   const InstanceIncarnation &holder) -> void {
  if (Successors.insert_or_assign(inc, holder).second)
    InsertionOrder.push_back(inc);
  if (InsertionOrder.size() <= MaxSuccessors)
    return;
  Successors.erase(InsertionOrder.front());
  InsertionOrder.pop_front();
}

auto RequestRouter::find(const TicketFields &f,
                         const MembershipView &view) const -> Route {
  auto it = Successors.find(f.OwnerIncarnation);
  return it == Successors.end() ? routeTo({f.Owner, f.OwnerIncarnation}, view)
                                : routeTo(it->second, view);
}

} // namespace boragebridge
