/// \file
/// Detects watches whose answer was lost. The store has sent the answer, so it
/// looks healthy, and a read that may be out of date does not show in time that
/// anything has changed.
///
/// Each answer of the store tells its revision, which rises with every change
/// of any object. One watcher, the heartbeat, watches for short times only, so
/// its answers tell the present revision at short intervals. A view that is
/// behind that revision shortly afterwards has either not changed or lost an
/// answer: its watcher asks once for what it has missed. While nothing changes
/// in the store, no view is behind and none asks.
///
/// Worst case, from a change whose answer is lost to its delivery: the wait of
/// the heartbeat plus Grace and a round trip. The data of reads that may be out
/// of date are not used.
///
/// Example:
/// \code
///   ViewConfirmer confirmer(withdrawals, {&upstreams, &withdrawals});
///   confirmer.tick(now);  // every few tens of milliseconds
/// \endcode
///
/// Does no I/O of its own. Not thread-safe.
#ifndef BORAGEBRIDGE_STORE_VIEW_CONFIRMER_H
#define BORAGEBRIDGE_STORE_VIEW_CONFIRMER_H

#include "store/object_watcher.h"

namespace boragebridge {

struct ViewConfirmerOptions {
  /// Time after an answer of the heartbeat in which the other watches deliver
  /// what has changed, and after which a watch that should have ended is late.
  Duration Grace = std::chrono::milliseconds(300);
};

class ViewConfirmer {
public:
  /// \p heartbeat and \p watchers outlive the object; \p watchers contains
  /// \p heartbeat. Precondition: the wait of \p heartbeat is short.
  ViewConfirmer(ObjectWatcher &heartbeat, std::vector<ObjectWatcher *> watchers,
                ViewConfirmerOptions opt = {})
      : Heartbeat(heartbeat), Watchers(std::move(watchers)), Options(opt) {}
  ViewConfirmer(const ViewConfirmer &) = delete;
  auto operator=(const ViewConfirmer &) -> ViewConfirmer & = delete;
  ~ViewConfirmer() = default;

  /// Makes the watchers of views that are behind ask for changes.
  auto tick(TimePoint now) -> void;

private:
  /// The latest version that any view has.
  auto latestVersion() const -> ObjectVersion;

  ObjectWatcher &Heartbeat;
  std::vector<ObjectWatcher *> Watchers;
  ViewConfirmerOptions Options;
  /// The last answer of the heartbeat that was looked at.
  TimePoint LastAnswer;
  /// The version that all views have to reach by CheckAt; 0 if none.
  ObjectVersion Wanted = 0;
  TimePoint CheckAt;
};

} // namespace boragebridge

#endif
