#include "request/overload.h"

#include <algorithm>

namespace boragebridge {

namespace {

constexpr Duration MinRetryAfter = std::chrono::milliseconds(200);
constexpr Duration MaxRetryAfter = std::chrono::seconds(2);

} // namespace

auto RetryBudget::noteFirstAttempt() -> void {
  Saved = std::min(Saved + Fraction, MaxSaved);
}

auto RetryBudget::take() -> bool {
  if (Saved < 1)
    return false;
  Saved -= 1;
  return true;
}

auto retryAfter(Duration expectedWait, RandomSource &random) -> Duration {
  return random.jitter(std::clamp(expectedWait, MinRetryAfter, MaxRetryAfter));
}

auto RefusedKeys::add(CallerId caller, std::uint64_t number, TimePoint now)
    -> bool {
  if (Keys.size() >= MaxKeys && !contains(caller, number))
    return false;
  Keys[{caller, number}] = now;
  return true;
}

auto RefusedKeys::contains(CallerId caller, std::uint64_t number) const
    -> bool {
  return Keys.contains({caller, number});
}

auto RefusedKeys::tick(TimePoint now) -> void {
  std::erase_if(Keys, [now](const auto &v) { return v.second + Kept <= now; });
}

} // namespace boragebridge
