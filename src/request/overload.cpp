#include "request/overload.h"

#include <algorithm>

namespace boragebridge {

namespace {

constexpr Duration MinRetryAfter = std::chrono::milliseconds(200);
constexpr Duration MaxRetryAfter = std::chrono::seconds(2);

} // namespace

auto RetryBudget::onFirstAttempt() -> void {
  Tokens = std::min(Tokens + TokensPerFirstAttempt, MaxTokens);
}

auto RetryBudget::take() -> bool {
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

auto retryAfter(Duration expectedWait, RandomSource &random) -> Duration {
  return random.jitter(std::clamp(expectedWait, MinRetryAfter, MaxRetryAfter));
}

auto RefusedRequestSet::add(CallerId caller, std::uint64_t number,
                            TimePoint now) -> bool {
  if (Requests.size() >= MaxRequests && !contains(caller, number))
    return false;
  Requests[{caller, number}] = now;
  return true;
}

auto RefusedRequestSet::contains(CallerId caller, std::uint64_t number) const
    -> bool {
  return Requests.contains({caller, number});
}

auto RefusedRequestSet::tick(TimePoint now) -> void {
  std::erase_if(Requests, [now](const auto &v) {
    return v.second + RetentionTime <= now;
  });
}

} // namespace boragebridge
