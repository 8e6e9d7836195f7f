/// \file
/// Checks that open watches are alive. A watch that waits looks the same
/// whether nothing changes, the store went silent or the watch was lost; a
/// cheap call at short intervals, for one watcher after the other, tells them
/// apart. A watch that is found dead is given up, and its watcher goes on.
///
/// Worst case, with n watchers: a silent store is found after Interval and the
/// poll's own limit, a lost watch after n times Interval and LostAfter.
///
/// Example:
/// \code
///   WatchMonitor guard(time, log, poll, {&upstreams, &routes});
///   guard.tick(now);  // every few tens of milliseconds
/// \endcode
///
/// Free of I/O; not thread-safe.
#ifndef BORAGEBRIDGE_STORE_WATCH_MONITOR_H
#define BORAGEBRIDGE_STORE_WATCH_MONITOR_H

#include "store/object_watcher.h"

namespace boragebridge {

struct WatchMonitorOptions {
  /// Between two polls.
  Duration Interval = std::chrono::milliseconds(500);
  /// A watch that did not tell for so long what a poll told is lost. Longer by
  /// a few of the poll's own round trips: a slow store answers watches late as
  /// well. Above the pause that a watcher makes after events.
  Duration LostAfter = std::chrono::milliseconds(1000);
};

class WatchMonitor {
public:
  /// Asks the store for the changes below a prefix after a version. Answers at
  /// once or not at all; what it tells may be old. Each call ends with one
  /// callback, well within a second.
  using Poll = std::function<void(const std::string &, ObjectVersion,
                                  PlatformClient::Callback<ObjectList>)>;

  /// The references and \p watchers outlive the guard. An empty \p poll: the
  /// guard does nothing.
  WatchMonitor(const Clock &time, EventLog &log, Poll poll,
               std::vector<ObjectWatcher *> watchers,
               WatchMonitorOptions opt = {});
  WatchMonitor(const WatchMonitor &) = delete;
  auto operator=(const WatchMonitor &) -> WatchMonitor & = delete;
  ~WatchMonitor() = default;

  /// Polls for the next watcher when it is time. Passes over one that has
  /// failed: its own calls show when the store is back.
  auto tick(TimePoint now) -> void;

private:
  auto onPoll(ObjectWatcher &watcher, TimePoint sentAt,
              const absl::StatusOr<ObjectList> &r) -> void;
  /// Ends the watch that a poll found behind, unless it has caught up.
  auto checkLaggingWatch(TimePoint now) -> void;
  auto failWatch(ObjectWatcher &watcher, const absl::Status &why) -> void;
  /// The next watcher in turn that has not failed, or null.
  auto nextReachable() -> ObjectWatcher *;

  const Clock &Time;
  EventLog &Log;
  Poll SendPoll;
  std::vector<ObjectWatcher *> Watchers;
  WatchMonitorOptions Options;
  TimePoint NextPoll;
  bool PollOpen = false;
  /// Which of Watchers is polled next.
  std::size_t NextWatcher = 0;
  /// A watch that a poll found behind, its version then, and until when it may
  /// still tell.
  ObjectWatcher *Lagging = nullptr;
  ObjectVersion LaggingVersion = 0;
  TimePoint LaggingDeadline;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
