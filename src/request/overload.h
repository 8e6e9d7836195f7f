/// \file
/// Policies against overload: the delay after which refused callers may retry,
/// the limit on retries that the system adds itself, and requests that are
/// refused permanently.
#ifndef BORAGEBRIDGE_REQUEST_OVERLOAD_H
#define BORAGEBRIDGE_REQUEST_OVERLOAD_H

#include "boragebridge/random.h"

#include <map>

namespace boragebridge {

/// Token bucket that limits the retries that the system adds itself to a
/// fraction of the first attempts. Not thread-safe.
class RetryBudget {
public:
  /// Tokens that each first attempt adds. A retry takes one token, so that
  /// retries stay under a tenth of the first attempts.
  static constexpr double TokensPerFirstAttempt = 0.08;
  /// Limit on the tokens; the largest number of retries in one burst.
  static constexpr double MaxTokens = 20;

  /// Adds the tokens of one first attempt.
  auto onFirstAttempt() -> void;
  /// Takes the token for one retry; false when there is none.
  [[nodiscard]] auto take() -> bool;

private:
  double Tokens = 0;
};

/// Returns the delay after which a refused caller may retry, when
/// \p expectedWait is the current wait in the queue. The delay is jittered, so
/// that refused callers do not retry all at the same time.
auto retryAfter(Duration expectedWait, RandomSource &random) -> Duration;

/// Requests that were refused because their ticket was forged, and that
/// therefore have no entry in the ledger. None of them may run later with a
/// genuine ticket. Not thread-safe.
class RefusedRequestSet {
public:
  static constexpr std::size_t MaxRequests = 16384;
  /// Retention time of an entry; longer than any ticket may start a request.
  static constexpr Duration RetentionTime = std::chrono::minutes(15);

  /// Adds \p number of \p caller; false when the set is full.
  [[nodiscard]] auto add(CallerId caller, std::uint64_t number, TimePoint now)
      -> bool;
  auto contains(CallerId caller, std::uint64_t number) const -> bool;
  auto tick(TimePoint now) -> void;

private:
  std::map<std::pair<CallerId, std::uint64_t>, TimePoint> Requests;
};

} // namespace boragebridge

#endif
