/// \file
/// Which opinions to pass on, and when: only changes, a few rounds each, within
/// a budget of bytes.
#ifndef BORAGEBRIDGE_HEALTH_HEALTH_STATUS_GOSSIP_H
#define BORAGEBRIDGE_HEALTH_HEALTH_STATUS_GOSSIP_H

#include "boragebridge/types.h"

#include <deque>
#include <unordered_map>

namespace boragebridge {

/// The changes that wait to be passed on. Not thread-safe.
class HealthStatusGossip {
public:
  /// Time between two rounds; an urgent change starts one at once.
  static constexpr Duration RoundInterval = std::chrono::milliseconds(100);
  /// Peers of the own data centre in a round.
  static constexpr std::size_t FanOut = 3;
  /// Peers of the own data centre that hear of an urgent change at once.
  static constexpr std::size_t UrgentFanOut = 8;
  /// Opinions in one message.
  static constexpr std::size_t BatchLimit = 32;
  /// Bytes a second on average, and at once.
  static constexpr double BytesPerSecond = 1500;
  static constexpr double BurstBytes = 6000;
  /// Changes that wait; a further one replaces the oldest, which the periodic
  /// exchange repairs.
  static constexpr std::size_t WaitingLimit = 4096;

  /// Queues \p id for as many rounds as \p peers instances need.
  auto add(UpstreamId id, std::size_t peers, bool urgent) -> void;
  auto remove(UpstreamId id) -> void;
  /// The opinions of the next round; empty when none is due.
  auto takeRound(TimePoint now) -> std::vector<UpstreamId>;
  /// True when something more may be sent at \p now.
  auto hasBudget(TimePoint now) -> bool;
  /// Takes \p bytes from the budget.
  auto charge(std::size_t bytes) -> void {
    Budget -= static_cast<double>(bytes);
  }
  auto waiting() const -> std::size_t { return Waiting.size(); }
  auto dropped() const -> std::uint64_t { return Dropped; }

private:
  auto refill(TimePoint now) -> void;

  std::unordered_map<UpstreamId, std::uint32_t> Waiting;
  std::deque<UpstreamId> Order;
  double Budget = BurstBytes;
  TimePoint LastRefill;
  TimePoint NextRound;
  bool Urgent = false;
  std::uint64_t Dropped = 0;
};

} // namespace boragebridge

#endif
