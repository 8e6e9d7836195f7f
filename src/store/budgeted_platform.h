/// \file
/// Decorates any PlatformClient: counts the calls by kind, keeps them within a
/// budget, ends each by a deadline of its own, and tells background loops when
/// to try again after failures.
#ifndef BORAGEBRIDGE_STORE_BUDGETED_PLATFORM_H
#define BORAGEBRIDGE_STORE_BUDGETED_PLATFORM_H

#include "boragebridge/controller.h"

#include <array>
#include <deque>
#include <map>

namespace boragebridge {

/// Limits of one instance's use of the store.
struct PlatformBudget {
  double CallsPerSecond = 10;
  double Burst = 60;
  Duration CallTimeout = std::chrono::seconds(2);
  /// How much longer than its wait a watch may take before it counts as lost.
  Duration WatchGrace = std::chrono::milliseconds(500);
  Duration FirstBackoff = std::chrono::milliseconds(200);
  Duration MaxBackoff = std::chrono::seconds(8);
};

/// The decorator. Adds to the errors of the inner client: DeadlineExceeded
/// when it did not answer in time, ResourceExhausted when this instance's
/// budget is spent. Not thread-safe.
class BudgetedPlatform final : public PlatformClient {
public:
  /// \p ctx outlives the object; its Platform is the inner client.
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

  /// Ends overdue calls and reports refused ones.
  auto tick(TimePoint now) -> void;
  /// False while background loops have to wait after failures. Calls on an
  /// operator's behalf need not ask.
  auto mayCallInBackground() const -> bool;
  /// Whether the last call that ended was answered by the store.
  auto isReachable() const -> bool { return Reachable; }

private:
  enum class Kind : std::uint8_t { Get, List, Put, Remove, Watch };
  struct Call {
    TimePoint Until;
    std::function<void(const absl::Status &)> Fail;
  };

  /// Admits a call of \p kind. Returns the callback to pass on, or null when
  /// the budget is spent and \p done will be told so.
  template <typename T>
  auto admit(Kind kind, Duration timeout, Callback<T> done) -> Callback<T>;
  auto takeToken() -> bool;
  auto recordOutcome(const absl::Status &s) -> void;

  const ControllerContext &Ctx;
  PlatformBudget Budget;
  std::array<Counter *, 5> CallCounters{};
  Counter &Refused;
  Counter &TimedOut;
  std::map<std::uint64_t, Call> Open;
  std::deque<std::function<void()>> RefusedCalls;
  std::uint64_t LastCall = 0;
  double Tokens;
  TimePoint RefilledAt;
  unsigned Failures = 0;
  TimePoint BackoffUntil;
  bool Reachable = false;
  /// Expires with the object, so that a late answer finds nobody.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
