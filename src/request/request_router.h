/// \file
/// Where a request goes by its ticket: to the incarnation that issued it, or
/// to the instance that holds the ledger of that incarnation since it stopped.
#ifndef BORAGEBRIDGE_REQUEST_REQUEST_ROUTER_H
#define BORAGEBRIDGE_REQUEST_REQUEST_ROUTER_H

#include "boragebridge/blackboard.h"
#include "request/slot_lease_server.h"
#include "request/ticket.h"

namespace boragebridge {

/// What to do with a request.
enum class RouteKind : std::uint8_t {
  Local,             ///< Its ledger is held by this instance.
  Relay,             ///< Send it to Route::To.
  HolderUnreachable, ///< The holder cannot be named now; a retry may find it.
  LedgerLost,        ///< Its ledger has ended with its incarnation.
};

struct Route {
  RouteKind Kind = RouteKind::HolderUnreachable;
  Endpoint To;
};

/// Knows the ledgers that were handed over. Not thread-safe.
class RequestRouter {
public:
  /// Successors remembered; the one that was learnt first is forgotten first.
  static constexpr std::size_t MaxSuccessors = 65536;

  /// The ledger of \p inc is now held by \p holder.
  auto learnSuccessor(Incarnation inc, const InstanceIncarnation &holder)
      -> void;
  /// The route for a ticket with \p f, as \p view shows the members.
  /// Precondition: the ledger is not held here.
  auto find(const TicketFields &f, const MembershipView &view) const -> Route;
  auto hasSuccessor(Incarnation inc) const -> bool {
    return Successors.contains(inc);
  }
  auto successorCount() const -> std::size_t { return Successors.size(); }

private:
  std::map<Incarnation, InstanceIncarnation> Successors;
  std::deque<Incarnation> InsertionOrder;
};

} // namespace boragebridge

#endif
