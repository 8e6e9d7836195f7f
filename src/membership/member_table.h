/// \file
/// The members that one instance has learned of, and the order of two updates
/// about one member, which is the same on every instance.
#ifndef BORAGEBRIDGE_MEMBERSHIP_MEMBER_TABLE_H
#define BORAGEBRIDGE_MEMBERSHIP_MEMBER_TABLE_H

#include "boragebridge/blackboard.h"
#include "boragebridge/clock.h"

#include <array>
#include <map>

namespace boragebridge {

/// An update about one member. Only the member itself increments Version.
struct MemberUpdate {
  Member Subject;
  std::uint32_t Version = 0;
};

/// Returns true if \p a supersedes \p b: the higher version wins; at equal
/// versions the more severe state wins, then the higher incarnation, which
/// breaks the tie between two starts of one member.
auto isNewer(const MemberUpdate &a, const MemberUpdate &b) -> bool;

/// Members by identifier. Not thread-safe.
class MemberTable {
public:
  /// Maximum number of members, dead ones included; further ones are refused.
  static constexpr std::size_t Limit = 32768;
  static constexpr std::size_t BucketCount = 64;
  using BucketDigests = std::array<std::uint64_t, BucketCount>;

  struct Entry {
    MemberUpdate Update;
    /// When this instance learned of the present state.
    TimePoint Since;
  };

  /// The result of merge(). Known: the update equals the entry. Accepted: the
  /// update was added or replaced the entry. Older: the entry is newer. Full:
  /// the member is unknown and was not added, because the table has Limit
  /// members.
  enum class MergeResult : std::uint8_t { Known, Accepted, Older, Full };

  /// Merges \p u into the table if it is newer than the entry of its member.
  auto merge(const MemberUpdate &u, TimePoint now) -> MergeResult;
  /// Removes dead members whose last update came before \p limit.
  auto evictDead(TimePoint limit) -> void;
  auto find(InstanceId id) const -> const Entry *;
  auto entries() const -> const std::map<InstanceId, Entry> & {
    return Members;
  }
  /// Moves the time of every entry forward by \p d, after this process was
  /// paused.
  auto shiftTimes(Duration d) -> void;

  /// Equal on two instances that know the same members. Suspicion does not
  /// count because it is short-lived; dead members do not count because they
  /// are evicted.
  auto digest() const -> std::uint64_t;
  auto bucketDigests() const -> const BucketDigests & { return Digests; }
  static auto bucketOf(InstanceId id) -> std::size_t;

private:
  std::map<InstanceId, Entry> Members;
  BucketDigests Digests{};
};

} // namespace boragebridge

#endif
