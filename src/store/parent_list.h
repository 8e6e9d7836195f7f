/// \file
/// Reads the first lists of an instance that has just started from the mirror
/// of its parent. A list of the store costs calls and, when a large fleet
/// starts at once, the capacity of the store's link; the mirror has the same
/// objects in a shorter form.
///
/// A parent that starts at the same time has no view yet, so the call is
/// repeated for a short time, which grows with the fleet: the larger it is, the
/// longer its lists occupy the store's link when all instances read there. Then
/// the store is read.
///
/// Example:
/// \code
///   ParentListReader reader(platform, time);
///   reader.list("servers/", [](absl::StatusOr<ObjectList> r) { ... });
///   reader.tick(now);  // every few tens of milliseconds
/// \endcode
///
/// Does no I/O of its own. Not thread-safe.
#ifndef BORAGEBRIDGE_STORE_PARENT_LIST_H
#define BORAGEBRIDGE_STORE_PARENT_LIST_H

#include "store/mirrored_platform.h"

namespace boragebridge {

struct ParentListOptions {
  /// How long the parent may take before the store is read: TimeoutPerMember
  /// for each member of the fleet, within these limits.
  Duration MinTimeout = std::chrono::milliseconds(40);
  Duration MaxTimeout = std::chrono::milliseconds(150);
  Duration TimeoutPerMember = std::chrono::microseconds(500);
  /// Time between two calls to a parent that has no view yet.
  Duration RetryInterval = std::chrono::milliseconds(40);
};

class ParentListReader {
public:
  using Callback = PlatformClient::Callback<ObjectList>;

  /// \p platform and \p time outlive the object.
  ParentListReader(MirroredPlatform &platform, const Clock &time,
                   ParentListOptions opt = {})
      : Platform(platform), Time(time), Options(opt) {}
  ParentListReader(const ParentListReader &) = delete;
  auto operator=(const ParentListReader &) -> ParentListReader & = delete;
  ~ParentListReader() = default;

  /// Sets the number of members of the fleet.
  auto setMembers(std::size_t n) -> void { Members = n; }
  /// Reads the objects below \p prefix. Calls \p done exactly once, with the
  /// error of the store when neither the parent nor the store answers.
  auto list(const std::string &prefix, Callback done) -> void;
  /// Repeats calls that are due, and reads the store when a parent is late.
  auto tick(TimePoint now) -> void;

private:
  struct Pending {
    std::string Prefix;
    Callback Done;
    TimePoint Deadline;
    /// When the parent is asked again; unset while a call to it is open.
    std::optional<TimePoint> NextCall = {};
  };
  using PendingId = std::uint64_t;

  auto askParent(PendingId id) -> void;
  auto onAnswer(PendingId id, absl::StatusOr<ObjectList> r) -> void;
  auto readStore(PendingId id) -> void;

  MirroredPlatform &Platform;
  const Clock &Time;
  ParentListOptions Options;
  std::size_t Members = 0;
  std::map<PendingId, Pending> PendingLists;
  PendingId LastId = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
