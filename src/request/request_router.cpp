#include "request/request_router.h"

namespace boragebridge {

namespace {

/// The route to \p holder. Nothing of it is left when the same instance runs
/// as another incarnation; one that is merely not heard of may come back.
auto routeTo(const InstanceIncarnation &holder, const MembershipView &view)
    -> Route {
  const auto *m = view.find(holder.Id);
  if (m == nullptr)
    return {RouteKind::Away, {}};
  if (m->Number != holder.Number)
    return {RouteKind::Gone, {}};
  if (m->State == MemberState::Dead)
    return {RouteKind::Away, {}};
  return {RouteKind::Relay, m->PeerAddress};
}

} // namespace

auto RequestRouter::learnSuccessor(Incarnation inc,
                                   const InstanceIncarnation &holder) -> void {
  if (Successors.insert_or_assign(inc, holder).second)
    Order.push_back(inc);
  if (Order.size() <= MaxSuccessors)
    return;
  Successors.erase(Order.front());
  Order.pop_front();
}

auto RequestRouter::find(const TicketFields &f,
                         const MembershipView &view) const -> Route {
  auto it = Successors.find(f.Number);
  return it == Successors.end() ? routeTo({f.Owner, f.Number}, view)
                                : routeTo(it->second, view);
}

} // namespace boragebridge
