/// \file
/// Routes a request by its ticket: to the incarnation that issued the ticket,
/// or to the instance that has held the ledger of that incarnation since it
/// stopped.
#ifndef BORAGEBRIDGE_REQUEST_REQUEST_ROUTER_H
#define BORAGEBRIDGE_REQUEST_REQUEST_ROUTER_H

#include "boragebridge/blackboard.h"
#include "request/slot_lease_server.h"
#include "request/ticket.h"

namespace boragebridge {

/// How a request is routed.
enum class RouteKind : std::uint8_t {
  Relay,             ///< Relay it to Route::To.
  HolderUnreachable, ///< No live holder is known now; a retry may find it.
  LedgerLost,        ///< Its ledger was lost with its incarnation.
};

struct Route {
  RouteKind Kind = RouteKind::HolderUnreachable;
  Endpoint To;
};

/// Routes requests by the ledgers that were handed over. Not thread-safe.
class RequestRouter {
public:
  /// Limit on the recorded successors; the one recorded first is dropped first.
  static constexpr std::size_t MaxSuccessors = 65536;

  /// Records that \p holder now holds the ledger of \p inc.
  auto learnSuccessor(Incarnation inc, const InstanceIncarnation &holder)
      -> void;
  /// Returns the route of a request with ticket fields \p f, according to the
  /// members in \p view. Precondition: the ledger is not held here.
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
