#include "store/watch_monitor.h"

#include "store/platform_events.h"

#include <utility>

namespace boragebridge {

WatchMonitor::WatchMonitor(const Clock &time, EventLog &log, Poll poll,
                           std::vector<ObjectWatcher *> watchers,
                           WatchMonitorOptions opt)
    : Time(time), Log(log), Ask(std::move(poll)), Watchers(std::move(watchers)),
      Options(opt) {}

auto WatchMonitor::nextReachable() -> ObjectWatcher * {
  for (std::size_t i = 0; i < Watchers.size(); ++i)
    if (auto *it = Watchers[Turn++ % Watchers.size()]; it->isReachable())
      return it;
  return nullptr;
}

auto WatchMonitor::tick(TimePoint now) -> void {
  if (!Ask || Polling || now < NextPoll)
    return;
  NextPoll = now + Options.Interval;
  endLostWatch(now);
  auto *watcher = nextReachable();
  if (watcher == nullptr)
    return;
  Polling = true;
  Ask(watcher->prefix(), watcher->version(),
      [this, now, watcher, alive = std::weak_ptr<bool>(Alive)](const auto &r) {
        if (!alive.expired())
          onPoll(*watcher, now, r);
      });
}

auto WatchMonitor::onPoll(ObjectWatcher &watcher, TimePoint asked,
                          const absl::StatusOr<ObjectList> &r) -> void {
  Polling = false;
  if (r.ok()) {
    if (r->Events.empty() || Behind != nullptr)
      return;
    constexpr int RoundTrips = 3;
    const auto now = Time.now();
    Behind = &watcher;
    BehindAt = watcher.version();
    BehindUntil = now + Options.LostAfter + RoundTrips * (now - asked);
    return;
  }
  // History that is gone is an answer as well.
  if (absl::IsOutOfRange(r.status()))
    return;
  for (auto *it : Watchers)
    if (it->isReachable() && it->confirmedAt() <= asked)
      abandon(*it, r.status());
}

auto WatchMonitor::endLostWatch(TimePoint now) -> void {
  if (Behind == nullptr)
    return;
  const auto hasTold = Behind->version() != BehindAt;
  if (!hasTold && now < BehindUntil)
    return;
  auto &watcher = *std::exchange(Behind, nullptr);
  if (!hasTold)
    abandon(watcher, absl::DataLossError("a watch did not tell of changes"));
}

auto WatchMonitor::abandon(ObjectWatcher &watcher, const absl::Status &why)
    -> void {
  const auto silent = std::chrono::duration_cast<std::chrono::milliseconds>(
      Time.now() - watcher.confirmedAt());
  Log.write(events::StoreSilent,
            {{"prefix", watcher.prefix()},
             {"version", std::to_string(watcher.version())},
             {"silent_ms", std::to_string(silent.count())},
             {"why", std::string(why.message())}});
  watcher.abandon(why);
}

} // namespace boragebridge
