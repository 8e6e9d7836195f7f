/// \file
/// A decorator of PlatformClient that counts calls by kind, limits their rate,
/// applies a deadline to each, and makes background loops back off after
/// failures.
#ifndef BORAGEBRIDGE_STORE_BUDGETED_PLATFORM_H
#define BORAGEBRIDGE_STORE_BUDGETED_PLATFORM_H

#include "boragebridge/controller.h"

#include <array>
#include <deque>
#include <map>

namespace boragebridge {

/// Limits of one instance's calls to the store.
struct PlatformBudget {
  /// Rate and size of the token bucket that admits calls.
  double CallsPerSecond = 10;
  double Burst = 60;
  Duration CallTimeout = std::chrono::seconds(2);
  /// How much longer than its wait a watch may take before it has failed.
  Duration WatchGrace = std::chrono::milliseconds(500);
  /// Backoff of background loops after a failure; it doubles with each further
  /// failure, up to MaxBackoff.
  Duration InitialBackoff = std::chrono::milliseconds(200);
  Duration MaxBackoff = std::chrono::seconds(8);
};

/// The decorator. Its calls fail with the errors of the inner client, and also
/// with DeadlineExceeded when the inner client does not answer in time and with
/// ResourceExhausted when this instance's budget is used up. Not thread-safe.
class BudgetedPlatform final : public PlatformClient {
public:
  /// \p ctx outlives the object. Its Platform is the inner client.
  explicit BudgetedPlatform(const ControllerContext &ctx,
                            PlatformBudget budget = {});
  ~BudgetedPlatform() override;

  auto get(std::string key, Callback<StoredObject> done) -> void override;
  auto list(std::string prefix, Callback<ObjectList> done) -> void override;
  auto put(std::string key, std::string value, ObjectVersion expected,
           Callback<ObjectVersion> done) -> void override;
  auto remove(std::string key, ObjectVersion expected,
              Callback<ObjectVersion> done) -> void override;
  auto watch(std::string prefix, ObjectVersion after, Duration wait,
             Callback<ObjectList> done) -> void override;

  /// Fails overdue calls and reports refused ones to their callers.
  auto tick(TimePoint now) -> void;
  /// Whether background loops may call the store; false during the backoff
  /// after failures. Calls on an operator's behalf need not check this.
  auto mayCallInBackground() const -> bool;
  /// Whether the store answered the last call that ended.
  auto isReachable() const -> bool { return Reachable; }

private:
  enum class Kind : std::uint8_t { Get, List, Put, Remove, Watch };
  struct Call {
    TimePoint Until;
    std::function<void(const absl::Status &)> Fail;
  };

  /// Admits a call of \p kind. Returns the callback for the inner client, or
  /// null when the budget is used up; tick() then fails \p done.
  template <typename T>
  auto admit(Kind kind, Duration timeout, Callback<T> done) -> Callback<T>;
  auto takeToken() -> bool;
  auto recordOutcome(const absl::Status &s) -> void;

  const ControllerContext &Ctx;
  PlatformBudget Budget;
  std::array<Counter *, 5> CallCounters{};
  Counter &Refused;
  Counter &TimedOut;
  std::map<std::uint64_t, Call> OpenCalls;
  std::deque<std::function<void()>> RefusedCalls;
  std::uint64_t LastCall = 0;
  double Tokens;
  TimePoint RefilledAt;
  unsigned Failures = 0;
  TimePoint BackoffUntil;
  bool Reachable = false;
  /// Expires with the object, so that late answers are ignored.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
