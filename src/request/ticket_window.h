/// \file
/// What became of each ticket of an incarnation, in two bits each.
///
/// A record of a request is large and is dropped in time; these bits outlive
/// it, so that a late retry is never run a second time and is told the truth.
#ifndef BORAGEBRIDGE_REQUEST_TICKET_WINDOW_H
#define BORAGEBRIDGE_REQUEST_TICKET_WINDOW_H

#include "boragebridge/types.h"

#include <deque>

namespace boragebridge {

/// What is known of a ticket.
enum class TicketState : std::uint8_t {
  Unused = 0,
  NotRun = 1,     ///< A refusal closed it; it can never run.
  MayHaveRun = 2, ///< Was sent to an upstream.
  HasRun = 3,     ///< An upstream answered.
};

/// States of the sequence numbers in [first(), end()). Not thread-safe.
class TicketWindow {
public:
  /// Tickets remembered; the oldest is forgotten first.
  static constexpr std::size_t MaxTickets = 4U << 20U;

  TicketWindow() = default;
  /// The window [\p first, \p first + 4 * packed.size()) of a hand-over, up to
  /// \p end. Precondition: \p first is a multiple of four.
  TicketWindow(std::uint64_t first, std::uint64_t end,
               const std::vector<std::uint8_t> &packed);

  /// Adds the next sequence number.
  auto issue() -> std::uint64_t;
  auto first() const -> std::uint64_t { return First; }
  auto end() const -> std::uint64_t { return End; }
  auto contains(std::uint64_t seq) const -> bool {
    return seq >= First && seq < End;
  }
  /// Precondition of both: contains(seq).
  auto state(std::uint64_t seq) const -> TicketState;
  auto set(std::uint64_t seq, TicketState s) -> void;
  /// Forgets everything below \p seq, rounded down to a multiple of four.
  auto forgetBelow(std::uint64_t seq) -> void;
  /// Four states a byte, from first() on.
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
