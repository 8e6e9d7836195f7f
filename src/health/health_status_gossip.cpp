#include "health/health_status_gossip.h"

#include <algorithm>
#include <bit>

namespace boragebridge {

auto HealthStatusGossip::add(UpstreamId id, std::size_t peers, bool urgent)
    -> void {
  constexpr std::uint32_t SpareRounds = 2;
  const auto rounds =
      static_cast<std::uint32_t>(std::bit_width(peers)) + SpareRounds;
  Urgent = Urgent || urgent;
  if (auto it = Waiting.find(id); it != Waiting.end()) {
    it->second = rounds;
    return;
  }
  while (Waiting.size() >= WaitingLimit) {
    Waiting.erase(Order.front());
    Order.pop_front();
    ++Dropped;
  }
  Waiting.emplace(id, rounds);
  Order.push_back(id);
}

auto HealthStatusGossip::remove(UpstreamId id) -> void {
  if (Waiting.erase(id) > 0)
    std::erase(Order, id);
}

auto HealthStatusGossip::refill(TimePoint now) -> void {
  const std::chrono::duration<double> elapsed = now - LastRefill;
  Budget = std::min(BurstBytes, Budget + (elapsed.count() * BytesPerSecond));
  LastRefill = now;
}

auto HealthStatusGossip::hasBudget(TimePoint now) -> bool {
  refill(now);
  return Budget > 0;
}

auto HealthStatusGossip::takeRound(TimePoint now) -> std::vector<UpstreamId> {
  if (!hasBudget(now) || Waiting.empty() || (!Urgent && now < NextRound))
    return {};
  Urgent = false;
  NextRound = now + RoundInterval;
  std::vector<UpstreamId> batch;
  const auto n = std::min(BatchLimit, Order.size());
  for (std::size_t i = 0; i < n; ++i) {
    const auto id = Order.front();
    Order.pop_front();
    auto it = Waiting.find(id);
    if (it == Waiting.end())
      continue;
    batch.push_back(id);
    if (--it->second == 0)
      Waiting.erase(it);
    else
      Order.push_back(id);
  }
  return batch;
}

} // namespace boragebridge
