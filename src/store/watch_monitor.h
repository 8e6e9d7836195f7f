/// \file
/// Detects watches that will not be answered any more. To the client, an open
/// watch looks the same whether nothing changes, the store has stopped
/// responding or the store has lost the watch. The monitor tells these cases
/// apart by a cheap poll at short intervals, for one watcher after the other.
/// When a watch is lost, the monitor fails it, and its watcher starts a new
/// call. When the store was restored from an earlier copy, all views are listed
/// again.
///
/// A poll may return data that is seconds old, so it shows a lost watch late.
/// ViewConfirmer finds a lost answer sooner, but not while the revision watch
/// fails. The polls are sent in any case, and find it then.
///
/// Worst case with n watchers: a store that does not respond is detected after
/// Interval plus the time-out of the poll, a lost watch after n times Interval
/// plus LostAfter and the age of the data.
///
/// Example:
/// \code
///   WatchMonitor monitor(time, log, poll, {&upstreams, &routes});
///   monitor.tick(now);  // every few tens of milliseconds
/// \endcode
///
/// Does no I/O of its own. Not thread-safe.
#ifndef BORAGEBRIDGE_STORE_WATCH_MONITOR_H
#define BORAGEBRIDGE_STORE_WATCH_MONITOR_H

#include "store/object_watcher.h"

namespace boragebridge {

struct WatchMonitorOptions {
  /// Time between two polls.
  Duration Interval = std::chrono::milliseconds(500);
  /// A poll that was not answered for this long is sent once more, over another
  /// connection: the loss of one packet does not show that the store is silent.
  Duration RepeatAfter = std::chrono::milliseconds(300);
  /// A watch is lost when it has not delivered a change for this long after a
  /// poll reported it. A few round-trip times of that poll are added, as a slow
  /// store answers watches late as well. Has to exceed the BatchDelay of the
  /// watchers, during which they have no watch open.
  Duration LostAfter = std::chrono::milliseconds(1000);
};

/// Polls the store and fails lost watches.
class WatchMonitor {
public:
  /// Reads the changes below a prefix after a version from the store, without
  /// waiting for new ones. The result may be out of date. Has to call back
  /// exactly once, with an error when the store does not begin to respond well
  /// within a second or its response makes no progress for a second, and with
  /// DataLoss when there are too many changes to read. If the store was
  /// restored since the version, the result has a version of the present era.
  using Poll = std::function<void(const std::string &, ObjectVersion,
                                  PlatformClient::Callback<ObjectList>)>;

  /// The references and \p watchers outlive the monitor. With an empty \p poll,
  /// the monitor does nothing.
  WatchMonitor(const Clock &time, EventLog &log, Poll poll,
               std::vector<ObjectWatcher *> watchers,
               WatchMonitorOptions opt = {});
  WatchMonitor(const WatchMonitor &) = delete;
  auto operator=(const WatchMonitor &) -> WatchMonitor & = delete;
  ~WatchMonitor() = default;

  /// Polls for the next watcher when Interval has passed. Skips watchers whose
  /// last call failed: their own retries show when the store responds again.
  auto tick(TimePoint now) -> void;

private:
  /// A poll, and the version after which it asked for changes.
  struct PollCall {
    ObjectWatcher *Watcher = nullptr;
    ObjectVersion Version = 0;
    TimePoint SentAt;
  };

  auto send(const PollCall &call, bool isRepeat) -> void;
  /// Whether a poll with this status shows that the store responds.
  static auto isAnswer(const absl::Status &s) -> bool;
  /// Whether the poll reports changes that the watcher does not know.
  static auto hasNews(const PollCall &call, const absl::StatusOr<ObjectList> &r)
      -> bool;
  auto onPoll(const PollCall &call, const absl::StatusOr<ObjectList> &r)
      -> void;
  /// Fails the lagging watch after its deadline, unless it has caught up.
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
  /// The last poll, and whether it is open and was repeated.
  PollCall OpenPoll;
  bool PollOpen = false;
  bool IsRepeated = false;
  /// Index in Watchers, modulo its size, of the next one to poll.
  std::size_t NextWatcher = 0;
  /// A watcher whose view a poll found out of date, its version at that time,
  /// and the time by which its watch has to deliver the change.
  ObjectWatcher *Lagging = nullptr;
  ObjectVersion LaggingVersion = 0;
  TimePoint LaggingDeadline;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
