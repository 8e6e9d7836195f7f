/// \file
/// An I/O-free stand-in for the platform's versioned object store, with
/// conditional writes, watches and a limit on calls per second. FakePlatform
/// and the HTTP stand-in program share it.
#ifndef BORAGEBRIDGE_FAKES_OBJECT_STORE_H
#define BORAGEBRIDGE_FAKES_OBJECT_STORE_H

#include "boragebridge/clock.h"
#include "boragebridge/platform_client.h"

#include <deque>
#include <map>

namespace boragebridge::fakes {

/// Limits of the store.
struct ObjectStoreLimits {
  double ReadsPerSecond = 2000;
  double WritesPerSecond = 300;
  std::size_t ValueBytes = std::size_t{1} << 20;
};

/// Number of calls by kind. Calls over the limit are included.
struct ObjectStoreCalls {
  std::uint64_t Gets = 0;
  std::uint64_t Lists = 0;
  std::uint64_t Puts = 0;
  std::uint64_t Removes = 0;
  std::uint64_t Watches = 0;
  std::uint64_t OverLimit = 0;
};

/// The store. Not thread-safe. Errors are those of platform_client.h; a value
/// above the size limit fails with InvalidArgument.
class ObjectStore {
public:
  using WatchId = std::uint64_t;
  using WatchDone = std::function<void(absl::StatusOr<ObjectList>)>;

  explicit ObjectStore(const Clock &clock, ObjectStoreLimits limits = {});
  ObjectStore(const ObjectStore &) = delete;
  auto operator=(const ObjectStore &) -> ObjectStore & = delete;
  ~ObjectStore() = default;

  auto get(const std::string &key) -> absl::StatusOr<StoredObject>;
  auto list(const std::string &prefix) -> absl::StatusOr<ObjectList>;
  /// Writes the object if its version is \p expected (0: the object must not
  /// exist) and answers the watches on it. Returns the new version.
  auto put(const std::string &key, std::string value, ObjectVersion expected)
      -> absl::StatusOr<ObjectVersion>;
  auto remove(const std::string &key, ObjectVersion expected)
      -> absl::StatusOr<ObjectVersion>;
  /// Calls \p done exactly once unless the watch is cancelled: immediately if
  /// there are changes after version \p after or on an error, else on the first
  /// change, else from poll() after \p wait with an empty list.
  auto watch(const std::string &prefix, ObjectVersion after, Duration wait,
             WatchDone done) -> WatchId;
  /// Removes a watch without calling it; unknown identifiers are ignored.
  auto cancelWatch(WatchId id) -> void;
  /// Answers the watches whose waiting time is over. Call it at least every
  /// 10 ms.
  auto poll() -> void;

  /// Drops the history of changes, as a real store may. Watches after an older
  /// version fail with OutOfRange from now on, and open watches fail with
  /// Unavailable.
  auto dropHistory() -> void;

  /// What the store holds at one moment.
  struct Copy {
    std::map<std::string, StoredObject> Objects;
    ObjectVersion Version = 0;
  };
  auto copy() const -> Copy { return {Objects, LastVersion}; }
  /// Comes back from an earlier copy of this store: later writes are lost,
  /// revisions are given out again, and the era rises by one. Open watches are
  /// never answered.
  auto restore(const Copy &c) -> void;

  /// Returns the version of object \p key, or 0 if there is none. Not counted
  /// as a call.
  auto currentVersion(const std::string &key) const -> ObjectVersion;
  /// Returns the object \p key or null. Not counted as a call.
  auto peek(const std::string &key) const -> const StoredObject *;
  /// Returns the version of the latest write or removal. Not counted as a call.
  auto version() const -> ObjectVersion { return LastVersion; }
  auto calls() const -> const ObjectStoreCalls & { return Calls; }
  auto openWatches() const -> std::size_t { return Watches.size(); }

private:
  struct Bucket {
    double Tokens = 0;
    TimePoint RefilledAt;
  };
  struct Watch {
    std::string Prefix;
    ObjectVersion After = 0;
    TimePoint Until;
    WatchDone Done;
  };
  struct Removal {
    std::string Key;
    ObjectVersion Version = 0;
  };

  auto takeToken(Bucket &b, double rate) -> absl::Status;
  auto checkExpected(const std::string &key, ObjectVersion expected) const
      -> absl::Status;
  auto changesAfter(const std::string &prefix, ObjectVersion after) const
      -> ObjectList;
  auto answerWatches(const std::string &key) -> void;

  const Clock &Time;
  ObjectStoreLimits Limits;
  std::map<std::string, StoredObject> Objects;
  /// The latest removals, reported by watches; bounded.
  std::deque<Removal> Removals;
  std::map<WatchId, Watch> Watches;
  ObjectVersion LastVersion = 0;
  /// Watches after a version before this one fail with OutOfRange.
  ObjectVersion HistoryStart = 0;
  WatchId LastWatch = 0;
  Bucket Reads;
  Bucket Writes;
  ObjectStoreCalls Calls;
};

} // namespace boragebridge::fakes

#endif
