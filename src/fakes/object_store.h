/// \file
/// The platform's versioned object store as an I/O-free stand-in: conditional
/// writes, watches and a limit on calls per second. Shared by FakePlatform and
/// by the HTTP stand-in program.
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

/// Calls by kind, over-limit ones included.
struct ObjectStoreCalls {
  std::uint64_t Gets = 0;
  std::uint64_t Lists = 0;
  std::uint64_t Puts = 0;
  std::uint64_t Removes = 0;
  std::uint64_t Watches = 0;
  std::uint64_t OverLimit = 0;
};

/// The objects. Not thread-safe. Errors as in platform_client.h; a value above
/// the limit is InvalidArgument.
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
  /// Writes when the object's version is \p expected (0: must not exist) and
  /// wakes the watches on it.
  auto put(const std::string &key, std::string value, ObjectVersion expected)
      -> absl::StatusOr<ObjectVersion>;
  auto remove(const std::string &key, ObjectVersion expected)
      -> absl::StatusOr<ObjectVersion>;
  /// Calls \p done once: at once when there are changes after \p after, else
  /// on the first change, else from poll() after \p wait with an empty list.
  auto watch(const std::string &prefix, ObjectVersion after, Duration wait,
             WatchDone done) -> WatchId;
  /// Forgets a watch without calling it; unknown numbers are ignored.
  auto cancelWatch(WatchId id) -> void;
  /// Ends the watches whose time is over; call it at least every 10 ms.
  auto poll() -> void;

  /// Drops the history, as a store may: watches from before now are OutOfRange,
  /// and those that wait are cut off.
  auto dropHistory() -> void;

  /// Version of object \p key, 0 when there is none; not counted as a call.
  auto currentVersion(const std::string &key) const -> ObjectVersion;
  /// The object \p key or null; not counted as a call.
  auto peek(const std::string &key) const -> const StoredObject *;
  /// The counter of writes; not counted as a call.
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
  /// The newest removals, for watches; bounded.
  std::deque<Removal> Removals;
  std::map<WatchId, Watch> Watches;
  ObjectVersion LastVersion = 0;
  /// Watches from before this version are OutOfRange.
  ObjectVersion HistoryStart = 0;
  WatchId LastWatch = 0;
  Bucket Reads;
  Bucket Writes;
  ObjectStoreCalls Calls;
};

} // namespace boragebridge::fakes

#endif
