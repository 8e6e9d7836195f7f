#include "request/ticket_window.h"

#include <algorithm>

namespace boragebridge {

namespace {

constexpr std::uint64_t StatesPerCell = 4;
constexpr unsigned BitsPerState = 2;
constexpr unsigned StateMask = 3;

auto shiftOf(std::uint64_t seq) -> unsigned {
  return static_cast<unsigned>(seq % StatesPerCell) * BitsPerState;
}

} // namespace

TicketWindow::TicketWindow(std::uint64_t first, std::uint64_t end,
                           const std::vector<std::uint8_t> &packed)
    : First(first),
      End(std::clamp(end, first, first + StatesPerCell * packed.size())),
      Cells(packed.begin(), packed.end()) {}

auto TicketWindow::issue() -> std::uint64_t {
  if (End == First + StatesPerCell * Cells.size())
    Cells.push_back(0);
  if (Cells.size() * StatesPerCell > MaxTickets)
    forgetBelow(First + StatesPerCell);
  return End++;
}

auto TicketWindow::state(std::uint64_t seq) const -> TicketState {
  const unsigned cell = Cells[(seq - First) / StatesPerCell];
  return static_cast<TicketState>((cell >> shiftOf(seq)) & StateMask);
}

auto TicketWindow::set(std::uint64_t seq, TicketState s) -> void {
  auto &cell = Cells[(seq - First) / StatesPerCell];
  const auto cleared = cell & ~(StateMask << shiftOf(seq));
  cell = static_cast<std::uint8_t>(cleared |
                                   (static_cast<unsigned>(s) << shiftOf(seq)));
}

auto TicketWindow::forgetBelow(std::uint64_t seq) -> void {
  while (!Cells.empty() && First + StatesPerCell <= seq) {
    Cells.pop_front();
    First += StatesPerCell;
  }
}

} // namespace boragebridge
