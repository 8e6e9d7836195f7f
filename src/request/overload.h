/// \file
/// Small policies against overload: how long callers are told to wait, how
/// many attempts of its own the system may add, and keys refused for good.
#ifndef BORAGEBRIDGE_REQUEST_OVERLOAD_H
#define BORAGEBRIDGE_REQUEST_OVERLOAD_H

#include "boragebridge/random.h"

#include <map>

namespace boragebridge {

/// Limits the attempts that the system adds of its own to a fraction of the
/// first attempts. Not thread-safe.
class RetryBudget {
public:
  /// Own attempts for each first attempt.
  static constexpr double Fraction = 0.08;
  /// Most that can be saved up.
  static constexpr double MaxTokens = 20;

  auto onFirstAttempt() -> void;
  /// Takes one own attempt out; false when there is none.
  [[nodiscard]] auto take() -> bool;

private:
  double Tokens = 0;
};

/// Wait to tell a caller when \p expectedWait is the wait in the queue now;
/// spread by jitter, so that the refused do not return in one wave.
auto retryAfter(Duration expectedWait, RandomSource &random) -> Duration;

/// Requests that were refused without a place in the ledger, because their
/// ticket was forged. None of them may run later with a genuine one. Not
/// thread-safe.
class RefusedRequestSet {
public:
  static constexpr std::size_t MaxRequests = 16384;
  /// Longer than any ticket may start a request.
  static constexpr Duration RetentionTime = std::chrono::minutes(15);

  /// Remembers \p number of \p caller; false when there is no room.
  [[nodiscard]] auto add(CallerId caller, std::uint64_t number, TimePoint now)
      -> bool;
  auto contains(CallerId caller, std::uint64_t number) const -> bool;
  auto tick(TimePoint now) -> void;

private:
  std::map<std::pair<CallerId, std::uint64_t>, TimePoint> Requests;
};

} // namespace boragebridge

#endif
