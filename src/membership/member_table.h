/// \file
/// What one instance knows of the others, and the rule by which two pieces of
/// news about one member are ordered, the same on every instance.
#ifndef BORAGEBRIDGE_MEMBERSHIP_MEMBER_TABLE_H
#define BORAGEBRIDGE_MEMBERSHIP_MEMBER_TABLE_H

#include "boragebridge/blackboard.h"
#include "boragebridge/clock.h"

#include <array>
#include <map>

namespace boragebridge {

/// News about one member. Only the member itself raises Counter.
struct MemberUpdate {
  Member Subject;
  std::uint32_t Version = 0;
};

/// Whether \p a replaces \p b: the higher counter wins; at one counter the
/// graver state wins; then the higher incarnation, for a tie of two starts.
auto isNewer(const MemberUpdate &a, const MemberUpdate &b) -> bool;

/// Members by identifier. Not thread-safe.
class MemberTable {
public:
  /// Members, dead ones included; further ones are refused.
  static constexpr std::size_t Limit = 32768;
  static constexpr std::size_t BucketCount = 64;
  using BucketDigests = std::array<std::uint64_t, BucketCount>;

  struct Entry {
    MemberUpdate Update;
    /// When this instance learnt the present state.
    TimePoint Since;
  };

  enum class MergeResult : std::uint8_t { Known, Accepted, Older, Full };

  /// Takes \p u when it is newer than what is known.
  auto merge(const MemberUpdate &u, TimePoint now) -> MergeResult;
  /// Forgets dead members not heard of since before \p limit.
  auto evictDead(TimePoint limit) -> void;
  auto find(InstanceId id) const -> const Entry *;
  auto entries() const -> const std::map<InstanceId, Entry> & {
    return Members;
  }
  /// Moves the time of every entry on by \p d, after this process was paused.
  auto shiftTimes(Duration d) -> void;

  /// Equal on two instances that know the same members. Suspicion, which is
  /// short-lived, does not count; nor does death, which is forgotten.
  auto digest() const -> std::uint64_t;
  auto bucketDigests() const -> const BucketDigests & { return Digests; }
  static auto bucketOf(InstanceId id) -> std::size_t;

private:
  std::map<InstanceId, Entry> Members;
  BucketDigests Digests{};
};

} // namespace boragebridge

#endif
