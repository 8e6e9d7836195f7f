#include "store/watch_monitor.h"

#include "store/platform_events.h"

#include <algorithm>
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
  if (PollOpen && !IsRepeated && now - OpenPoll.SentAt >= Options.RepeatAfter) {
    IsRepeated = true;
    send(OpenPoll, true);
  }
  if (!SendPoll || PollOpen || now < NextPoll)
    return;
  NextPoll = now + Options.Interval;
  checkLaggingWatch(now);
  auto *watcher = nextReachable();
  if (watcher == nullptr)
    return;
  PollOpen = true;
  IsRepeated = false;
  OpenPoll = {watcher, watcher->version(), now};
  send(OpenPoll, false);
}

auto WatchMonitor::send(const PollCall &call, bool isRepeat) -> void {
  SendPoll(call.Watcher->prefix(), call.Version,
           [this, call, isRepeat,
            alive = std::weak_ptr<bool>(Alive)](const auto &r) {
             if (alive.expired() || !PollOpen || call.SentAt != OpenPoll.SentAt)
               return;
             // Whether the store is silent is decided when the first poll
             // fails.
             if (isRepeat && !isAnswer(r.status()))
               return;
             onPoll(call, r);
           });
}

auto WatchMonitor::isAnswer(const absl::Status &s) -> bool {
  // That the history is gone is an answer as well: the store responds.
  return s.ok() || absl::IsDataLoss(s) || absl::IsOutOfRange(s);
}

auto WatchMonitor::hasNews(const PollCall &call,
                           const absl::StatusOr<ObjectList> &r) -> bool {
  const auto version = call.Watcher->version();
  if (version == call.Version)
    return !r.ok() || !r->Events.empty();
  // While the poll was under way, the watch has delivered something. What the
  // poll saw beside it shows in the next one.
  return r.ok() &&
         std::any_of(r->Events.begin(), r->Events.end(), [&](const auto &it) {
           return it.Object.Version > version;
         });
}

auto WatchMonitor::onPoll(const PollCall &call,
                          const absl::StatusOr<ObjectList> &r) -> void {
  PollOpen = false;
  if (r.ok() && eraOf(r->CurrentVersion) > eraOf(call.Watcher->version())) {
    for (auto *it : Watchers)
      it->onStoreRestored(eraOf(r->CurrentVersion));
    return;
  }
  if (r.ok() || absl::IsDataLoss(r.status())) {
    if (!hasNews(call, r) || Lagging != nullptr)
      return;
    constexpr int RoundTrips = 3;
    const auto now = Time.now();
    Lagging = call.Watcher;
    LaggingVersion = call.Watcher->version();
    LaggingDeadline =
        now + Options.LostAfter + RoundTrips * (now - call.SentAt);
    return;
  }
  if (isAnswer(r.status()))
    return;
  for (auto *it : Watchers)
    if (it->isReachable() && it->confirmedAt() <= call.SentAt)
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
