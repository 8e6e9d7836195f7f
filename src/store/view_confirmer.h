/// \file
/// Finds changes whose answer to a watch was lost. The store has sent the
/// answer, so nothing else shows that anything is wrong; a read that may be out
/// of date does not show the change in time.
///
/// Each answer of the store carries its revision, which rises with every change
/// of any object. One watch, the revision watch, waits for a short time only,
/// so its answers carry the present revision at short intervals. A view with an
/// older version shortly afterwards has either not changed or lost an answer:
/// its watcher asks the store once for changes. While the revision stays the
/// same, no watcher asks.
///
/// Worst case, from a change whose answer is lost to its delivery: the wait of
/// the revision watch plus Grace and a round trip.
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
  /// Time after an answer to the revision watch within which the other watches
  /// deliver what has changed, and by which the revision watch itself may be
  /// late.
  Duration Grace = std::chrono::milliseconds(300);
};

class ViewConfirmer {
public:
  /// \p revisions is the watcher of the revision watch, and one of \p watchers.
  /// All of them outlive the object. Precondition: the watch of \p revisions
  /// waits for a short time only.
  ViewConfirmer(ObjectWatcher &revisions, std::vector<ObjectWatcher *> watchers,
                ViewConfirmerOptions opt = {})
      : Revisions(revisions), Watchers(std::move(watchers)), Options(opt) {}
  ViewConfirmer(const ViewConfirmer &) = delete;
  auto operator=(const ViewConfirmer &) -> ViewConfirmer & = delete;
  ~ViewConfirmer() = default;

  /// Confirms the views that are behind the present revision.
  auto tick(TimePoint now) -> void;

private:
  /// The latest version of all views.
  auto latestVersion() const -> ObjectVersion;

  ObjectWatcher &Revisions;
  std::vector<ObjectWatcher *> Watchers;
  ViewConfirmerOptions Options;
  /// The time of the last answer to the revision watch that was handled.
  TimePoint LastAnswer;
  /// The version that all views should have by CheckAt; 0 if none.
  ObjectVersion Expected = 0;
  TimePoint CheckAt;
};

} // namespace boragebridge

#endif
