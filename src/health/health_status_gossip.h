/// \file
/// Selects the health statuses that are sent by gossip and when: only changes,
/// each for a few rounds, within a byte budget.
#ifndef BORAGEBRIDGE_HEALTH_HEALTH_STATUS_GOSSIP_H
#define BORAGEBRIDGE_HEALTH_HEALTH_STATUS_GOSSIP_H

#include "boragebridge/types.h"

#include <deque>
#include <unordered_map>

namespace boragebridge {

/// The changes that wait to be sent. Not thread-safe.
class HealthStatusGossip {
public:
  /// Time between two rounds; an urgent change starts one at once.
  static constexpr Duration RoundInterval = std::chrono::milliseconds(100);
  /// Number of peers in the local data centre that each round is sent to.
  static constexpr std::size_t FanOut = 3;
  /// Number of peers in the local data centre that an urgent change is sent to
  /// at once.
  static constexpr std::size_t UrgentFanOut = 8;
  /// Number of statuses in one message.
  static constexpr std::size_t BatchLimit = 32;
  /// The byte budget: average bytes per second, and the largest burst.
  static constexpr double BytesPerSecond = 1500;
  static constexpr double BurstBytes = 6000;
  /// Number of changes that can wait. A further change replaces the oldest one,
  /// which then reaches the peers by the periodic exchange.
  static constexpr std::size_t WaitingLimit = 4096;

  /// Queues \p id for as many rounds as are needed to reach \p peers instances.
  auto add(UpstreamId id, std::size_t peers, bool urgent) -> void;
  auto remove(UpstreamId id) -> void;
  /// Returns the upstreams whose statuses are in the next round; empty if no
  /// round is due.
  auto takeRound(TimePoint now) -> std::vector<UpstreamId>;
  /// Returns true if the budget allows sending at \p now.
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
