#include "store/budgeted_platform.h"

#include "store/platform_events.h"

#include <algorithm>

namespace boragebridge {

static constexpr std::array KindNames{"get", "list", "put", "remove", "watch"};

BudgetedPlatform::BudgetedPlatform(const ControllerContext &ctx,
                                   PlatformBudget budget)
    : Ctx(ctx), Budget(budget),
      Refused(ctx.Metrics.counter("platform_calls_refused_total",
                                  "Calls refused by the instance's budget")),
      TimedOut(ctx.Metrics.counter("platform_calls_timed_out_total",
                                   "Calls that got no answer in time")),
      Tokens(budget.Burst), RefilledAt(ctx.Time.now()),
      BackoffUntil(ctx.Time.now()) {
  for (std::size_t n = 0; n < KindNames.size(); ++n)
    CallCounters[n] = &ctx.Metrics.counter(
        std::string("platform_calls_") + KindNames[n] + "_total",
        "Calls to the platform's store of this kind");
}

BudgetedPlatform::~BudgetedPlatform() = default;

auto BudgetedPlatform::takeToken() -> bool {
  const auto now = Ctx.Time.now();
  const std::chrono::duration<double> passed = now - RefilledAt;
  RefilledAt = now;
  Tokens =
      std::min(Budget.Burst, Tokens + Budget.CallsPerSecond * passed.count());
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

/// Whether \p s is an answer of the store, as opposed to a failure to reach it.
static auto isAnswer(const absl::Status &s) -> bool {
  return !absl::IsUnavailable(s) && !absl::IsDeadlineExceeded(s) &&
         !absl::IsResourceExhausted(s);
}

auto BudgetedPlatform::recordOutcome(const absl::Status &s) -> void {
  if (isAnswer(s)) {
    if (!Reachable)
      Ctx.Log.write(events::PlatformBack, {});
    Reachable = true;
    Failures = 0;
    return;
  }
  constexpr unsigned MaxDoublings = 16;
  if (Reachable)
    Ctx.Log.write(events::PlatformLost, {{"status", std::string(s.message())}});
  Reachable = false;
  const auto delay =
      std::min(Budget.MaxBackoff, Budget.InitialBackoff *
                                      (1U << std::min(Failures, MaxDoublings)));
  ++Failures;
  BackoffUntil = Ctx.Time.now() + Ctx.Random.jitter(delay);
}

auto BudgetedPlatform::mayCallInBackground() const -> bool {
  return Ctx.Time.now() >= BackoffUntil;
}

template <typename T>
auto BudgetedPlatform::admit(Kind kind, Duration timeout, Callback<T> done)
    -> Callback<T> {
  if (!takeToken()) {
    Refused.add();
    RefusedCalls.emplace_back([done = std::move(done)] {
      done(absl::ResourceExhaustedError(
          "this instance's call budget is exhausted"));
    });
    return nullptr;
  }
  CallCounters[static_cast<std::size_t>(kind)]->add();
  const auto id = ++LastCall;
  OpenCalls[id] = {Ctx.Time.now() + timeout,
                   [done](const auto &s) { done(s); }};
  return [this, id, done = std::move(done),
          alive = std::weak_ptr<bool>(Alive)](absl::StatusOr<T> r) {
    if (alive.expired() || OpenCalls.erase(id) == 0)
      return;
    recordOutcome(r.status());
    done(std::move(r));
  };
}

auto BudgetedPlatform::get(std::string key, Callback<StoredObject> done)
    -> void {
  if (auto f = admit(Kind::Get, Budget.CallTimeout, std::move(done)))
    Ctx.Platform.get(std::move(key), std::move(f));
}

auto BudgetedPlatform::list(std::string prefix, Callback<ObjectList> done)
    -> void {
  if (auto f = admit(Kind::List, Budget.CallTimeout, std::move(done)))
    Ctx.Platform.list(std::move(prefix), std::move(f));
}

auto BudgetedPlatform::put(std::string key, std::string value,
                           ObjectVersion expected, Callback<ObjectVersion> done)
    -> void {
  if (auto f = admit(Kind::Put, Budget.CallTimeout, std::move(done)))
    Ctx.Platform.put(std::move(key), std::move(value), expected, std::move(f));
}

auto BudgetedPlatform::remove(std::string key, ObjectVersion expected,
                              Callback<ObjectVersion> done) -> void {
  if (auto f = admit(Kind::Remove, Budget.CallTimeout, std::move(done)))
    Ctx.Platform.remove(std::move(key), expected, std::move(f));
}

auto BudgetedPlatform::watch(std::string prefix, ObjectVersion after,
                             Duration wait, Callback<ObjectList> done) -> void {
  auto f = admit(Kind::Watch, wait + Budget.WatchGrace, std::move(done));
  if (!f)
    return;
  Ctx.Platform.watch(std::move(prefix), after, wait,
                     [f = std::move(f)](absl::StatusOr<ObjectList> r) {
                       // The background loops repeat a watch that was cut off
                       // after a backoff, as after any call that was not
                       // answered.
                       if (absl::IsAborted(r.status()))
                         r = absl::DeadlineExceededError(r.status().message());
                       f(std::move(r));
                     });
}

auto BudgetedPlatform::tick(TimePoint now) -> void {
  auto refused = std::move(RefusedCalls);
  RefusedCalls.clear();
  for (const auto &it : refused)
    it();
  std::vector<Call> overdue;
  std::erase_if(OpenCalls, [&](auto &it) {
    if (it.second.Until > now)
      return false;
    overdue.push_back(std::move(it.second));
    return true;
  });
  const auto status =
      absl::DeadlineExceededError("the store did not answer in time");
  for (const auto &it : overdue) {
    TimedOut.add();
    recordOutcome(status);
    it.Fail(status);
  }
}

} // namespace boragebridge
