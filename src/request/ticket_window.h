/// \file
/// The outcome of each ticket of an incarnation, in two bits each.
///
/// The record of a request is large and expires. These bits outlive it, so that
/// a late retry is never run a second time and gets the true outcome.
#ifndef BORAGEBRIDGE_REQUEST_TICKET_WINDOW_H
#define BORAGEBRIDGE_REQUEST_TICKET_WINDOW_H

#include "boragebridge/types.h"

#include <deque>

namespace boragebridge {

/// State of a ticket.
enum class TicketState : std::uint8_t {
  Unused = 0,
  NotRun = 1,     ///< Closed by a refusal; its request can never run.
  MayHaveRun = 2, ///< Its request was sent to an upstream.
  HasRun = 3,     ///< An upstream answered its request.
};

/// States of the sequence numbers in [first(), end()). Not thread-safe.
class TicketWindow {
public:
  /// Limit on the tickets in the window; the oldest is dropped first.
  static constexpr std::size_t MaxTickets = 4U << 20U;

  TicketWindow() = default;
  /// Restores a window that was handed over: [\p first, \p first + 4 *
  /// packed.size()), up to \p end. Precondition: \p first is a multiple of
  /// four.
  TicketWindow(std::uint64_t first, std::uint64_t end,
               const std::vector<std::uint8_t> &packed);

  /// Adds the next sequence number and returns it.
  auto issue() -> std::uint64_t;
  auto first() const -> std::uint64_t { return First; }
  auto end() const -> std::uint64_t { return End; }
  auto contains(std::uint64_t seq) const -> bool {
    return seq >= First && seq < End;
  }
  /// Precondition of state() and set(): contains(seq).
  auto state(std::uint64_t seq) const -> TicketState;
  auto set(std::uint64_t seq, TicketState s) -> void;
  /// Drops the states below \p seq, rounded down to a multiple of four.
  auto forgetBelow(std::uint64_t seq) -> void;
  /// Returns the states from first() on, four per byte.
  auto packed() const -> std::vector<std::uint8_t> {
    return {Cells.begin(), Cells.end()};
  }

private:
  std::uint64_t First = 0;
  std::uint64_t End = 0;
  std::deque<std::uint8_t> Cells;
};

} // namespace boragebridge

#endif
