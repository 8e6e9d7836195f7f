/// \file
/// Reads the first list of a prefix for an instance that has a parent to read
/// from. A list of the store costs much more than a snapshot, which may be out
/// of date. This reader takes a snapshot and brings it up to date with the
/// changes since then, which the parent's mirror knows. The result is as recent
/// as the parent's view, so an object that was removed before the start does
/// not come back.
///
/// The snapshot alone is never returned. When the parent does not answer, the
/// changes are read from the store; when the history since the snapshot is
/// gone, a list of the store replaces the snapshot.
///
/// Example:
/// \code
///   SnapshotListReader reader(platform, time, readSnapshot);
///   reader.list("servers/", [](absl::StatusOr<ObjectList> r) { ... });
///   reader.tick(now);  // every few tens of milliseconds
/// \endcode
///
/// Does no I/O of its own. Not thread-safe.
#ifndef BORAGEBRIDGE_STORE_SNAPSHOT_LIST_H
#define BORAGEBRIDGE_STORE_SNAPSHOT_LIST_H

#include "store/mirrored_platform.h"

namespace boragebridge {

/// Reads all objects below a prefix from the store. The result may be some
/// seconds old.
using ReadSnapshot = std::function<void(const std::string &,
                                        PlatformClient::Callback<ObjectList>)>;

struct SnapshotListOptions {
  /// How long the parent may take to report the changes. It covers a parent
  /// that starts at the same time and has no view yet. Then the store is asked.
  Duration ParentTimeout = std::chrono::milliseconds(150);
  /// Time between two calls to a parent that has no confirmed view.
  Duration ParentRetryInterval = std::chrono::milliseconds(50);
};

/// Objects of \p snapshot after \p changes.
auto applyChanges(ObjectList snapshot, const ObjectList &changes) -> ObjectList;

class SnapshotListReader {
public:
  using Callback = PlatformClient::Callback<ObjectList>;
  using OnSnapshot = std::function<void(const ObjectList &)>;

  /// \p platform and \p time outlive the object. With an empty \p read, every
  /// list is read from \p platform.
  SnapshotListReader(MirroredPlatform &platform, const Clock &time,
                     ReadSnapshot read, SnapshotListOptions opt = {});
  SnapshotListReader(const SnapshotListReader &) = delete;
  auto operator=(const SnapshotListReader &) -> SnapshotListReader & = delete;
  ~SnapshotListReader() = default;

  /// Whether snapshots are used at all.
  auto isEnabled() const -> bool { return static_cast<bool>(Read); }
  /// Reads the objects below \p prefix, from the store if there is no parent.
  /// Calls \p done exactly once, with the error of the store when neither the
  /// parent nor the store answers.
  auto list(const std::string &prefix, Callback done) -> void;
  /// Like list(), but takes a snapshot in any case and passes it to \p f, which
  /// may set the parent from it.
  auto listWithHint(const std::string &prefix, Callback done, OnSnapshot f)
      -> void;
  /// Repeats calls to parents and asks the store when a parent is late.
  auto tick(TimePoint now) -> void;

private:
  /// A snapshot that waits for the changes since it was taken.
  struct Pending {
    std::string Prefix;
    ObjectList Snapshot;
    Callback Done;
    TimePoint ParentDeadline;
    /// When the parent is asked again; unset while a call to it is open.
    std::optional<TimePoint> NextCall = {};
    bool AskedStore = false;
  };
  using PendingId = std::uint64_t;

  auto onSnapshot(const std::string &prefix, Callback done,
                  absl::StatusOr<ObjectList> r) -> void;
  auto askParent(PendingId id) -> void;
  auto onParentAnswer(PendingId id, const absl::StatusOr<ObjectList> &r)
      -> void;
  auto askStore(PendingId id) -> void;
  auto onStoreAnswer(PendingId id, const absl::StatusOr<ObjectList> &r) -> void;
  /// Removes the pending list \p id and completes it with \p changes.
  auto complete(PendingId id, const ObjectList &changes) -> void;

  MirroredPlatform &Platform;
  const Clock &Time;
  ReadSnapshot Read;
  SnapshotListOptions Options;
  std::map<PendingId, Pending> PendingLists;
  PendingId LastId = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
