#include "store/watch_monitor.h"

#include "store/platform_events.h"

#include <utility>

namespace boragebridge {

WatchMonitor::WatchMonitor(const Clock &time, EventLog &log, Poll poll,
                           std::vector<ObjectWatcher *> watchers,
                           WatchMonitorOptions opt)
    : Time(time), Log(log), SendPoll(std::move(poll)),
      Watchers(std::move(watchers)), Options(opt) {}

auto WatchMonitor::nextReachable() -> ObjectWatcher * {
  for (std::size_t i = 0; i < Watchers.size(); ++i)
    if (auto *it = Watchers[NextWatcher++ % Watchers.size()]; it->isReachable())
      return it;
  return nullptr;
}

auto WatchMonitor::tick(TimePoint now) -> void {
  if (!SendPoll || PollOpen || now < NextPoll)
    return;
  NextPoll = now + Options.Interval;
  checkLaggingWatch(now);
  auto *watcher = nextReachable();
  if (watcher == nullptr)
    return;
  PollOpen = true;
  SendPoll(
      watcher->prefix(), watcher->version(),
      [this, now, watcher, alive = std::weak_ptr<bool>(Alive)](const auto &r) {
        if (!alive.expired())
          onPoll(*watcher, now, r);
      });
}

auto WatchMonitor::onPoll(ObjectWatcher &watcher, TimePoint sentAt,
                          const absl::StatusOr<ObjectList> &r) -> void {
  PollOpen = false;
  if (r.ok() && eraOf(r->CurrentVersion) > eraOf(watcher.version())) {
    for (auto *it : Watchers)
      it->onStoreRestored(eraOf(r->CurrentVersion));
    return;
  }
  if (r.ok() || absl::IsDataLoss(r.status())) {
    const auto hasChanges = !r.ok() || !r->Events.empty();
    if (!hasChanges || Lagging != nullptr)
      return;
    constexpr int RoundTrips = 3;
    const auto now = Time.now();
    Lagging = &watcher;
    LaggingVersion = watcher.version();
    LaggingDeadline = now + Options.LostAfter + RoundTrips * (now - sentAt);
    return;
  }
  // That the history is gone is an answer as well: the store responds.
  if (absl::IsOutOfRange(r.status()))
    return;
  for (auto *it : Watchers)
    if (it->isReachable() && it->confirmedAt() <= sentAt)
      failWatch(*it, r.status());
}

auto WatchMonitor::checkLaggingWatch(TimePoint now) -> void {
  if (Lagging == nullptr)
    return;
  const auto hasCaughtUp = Lagging->version() != LaggingVersion;
  if (!hasCaughtUp && now < LaggingDeadline)
    return;
  auto &watcher = *std::exchange(Lagging, nullptr);
  if (!hasCaughtUp)
    failWatch(watcher, absl::DataLossError("a watch did not tell of changes"));
}

auto WatchMonitor::failWatch(ObjectWatcher &watcher, const absl::Status &why)
    -> void {
  const auto unconfirmedFor =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Time.now() - watcher.confirmedAt());
  Log.write(events::StoreSilent,
            {{"prefix", watcher.prefix()},
             {"version", toText(watcher.version())},
             {"silent_ms", std::to_string(unconfirmedFor.count())},
             {"why", std::string(why.message())}});
  watcher.failOpenCall(why);
}

} // namespace boragebridge
