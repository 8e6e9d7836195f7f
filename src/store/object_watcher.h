/// \file
/// Keeps a view of all objects below one prefix: lists them, then watches from
/// the version of the list on, and lists again when the history is gone.
///
/// The view never goes back: an answer that is older than what was delivered
/// is left out. After a failure the next call waits, at first briefly and then
/// longer, with jitter.
///
/// Example:
/// \code
///   ObjectWatcher watcher(ctx, {.Prefix = "config/"}, handlers);
///   watcher.tick(now);  // every few tens of milliseconds
/// \endcode
///
/// Not promised: that an event is delivered for each write; of several writes
/// of one object the last one counts. Not thread-safe.
#ifndef BORAGEBRIDGE_STORE_OBJECT_WATCHER_H
#define BORAGEBRIDGE_STORE_OBJECT_WATCHER_H

#include "boragebridge/clock.h"
#include "boragebridge/event_log.h"
#include "boragebridge/platform_client.h"
#include "boragebridge/random.h"

#include <memory>

namespace boragebridge {

/// What a watcher works with. Every reference outlives it.
struct WatcherContext {
  PlatformClient &Store;
  const Clock &Time;
  RandomSource &Random;
  EventLog &Log;
};

struct WatcherOptions {
  std::string Prefix;
  /// How long the store may hold a watch open.
  Duration Wait = std::chrono::seconds(5);
  /// The same after a failure, to learn soon that the store is back.
  Duration WaitAfterFailure = std::chrono::milliseconds(100);
  /// After events, so long passes before the next watch: those that come
  /// meanwhile arrive with one call.
  Duration BatchDelay = std::chrono::milliseconds(200);
  Duration FirstBackoff = std::chrono::milliseconds(100);
  Duration MaxBackoff = std::chrono::milliseconds(800);
};

/// Called from within tick() or a callback of the store.
struct WatcherHandlers {
  /// All objects below the prefix; none of them is removed.
  std::function<void(const ObjectList &)> OnList;
  std::function<void(const ObjectList &)> OnEvents;
  /// A call failed.
  std::function<void(const absl::Status &)> OnFailure;
  /// The first answer after a failure, before what it holds is delivered. May
  /// be empty.
  std::function<void()> OnRecovered = {};
  /// Nothing changed up to this version. May be empty.
  std::function<void(ObjectVersion)> OnUnchanged = {};
};

class ObjectWatcher {
public:
  ObjectWatcher(const WatcherContext &ctx, WatcherOptions opt,
                WatcherHandlers handlers);
  ObjectWatcher(const ObjectWatcher &) = delete;
  auto operator=(const ObjectWatcher &) -> ObjectWatcher & = delete;
  ~ObjectWatcher() = default;

  /// Starts the next call when it is due.
  auto tick(TimePoint now) -> void;
  /// Delivers \p list, which another instance had, as long as the store has not
  /// answered yet. The next answer of the store replaces it. Returns whether it
  /// was taken.
  auto adopt(const ObjectList &list) -> bool;
  /// Takes the open call, if there is one, for failed with \p why; what it may
  /// still answer is left out.
  auto failOpenCall(const absl::Status &why) -> void;
  /// Whether a list was delivered.
  auto hasView() const -> bool { return Version != 0; }
  /// Whether the last call that ended was answered.
  auto isReachable() const -> bool { return Failures == 0; }
  /// When the store last confirmed the view.
  auto confirmedAt() const -> TimePoint { return ConfirmedAt; }
  auto version() const -> ObjectVersion { return Version; }
  auto prefix() const -> const std::string & { return Options.Prefix; }

private:
  auto startList() -> void;
  auto startWatch() -> void;
  /// What to do with the answer of the call that is about to start.
  auto onAnswer(void (ObjectWatcher::*f)(const absl::StatusOr<ObjectList> &))
      -> PlatformClient::Callback<ObjectList>;
  auto onList(const absl::StatusOr<ObjectList> &r) -> void;
  auto onWatch(const absl::StatusOr<ObjectList> &r) -> void;
  auto onFailure(const absl::Status &s) -> void;
  auto onHistoryGone() -> void;
  auto recordAnswer() -> void;

  const WatcherContext Ctx;
  const WatcherOptions Options;
  const WatcherHandlers Handlers;
  ObjectVersion Version = 0;
  bool NeedsList = true;
  bool CallOpen = false;
  /// Number of the last call; answers of earlier ones are left out.
  std::uint64_t LastCall = 0;
  unsigned Failures = 0;
  TimePoint NextCall;
  TimePoint ConfirmedAt;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
