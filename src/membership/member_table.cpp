#include "membership/member_table.h"

namespace boragebridge {

auto isNewer(const MemberUpdate &a, const MemberUpdate &b) -> bool {
  if (a.Version != b.Version)
    return a.Version > b.Version;
  if (a.Subject.State != b.Subject.State)
    return a.Subject.State > b.Subject.State;
  return a.Subject.IncarnationNumber > b.Subject.IncarnationNumber;
}

/// Returns the contribution of \p u to the digest of its bucket.
static auto digestOf(const MemberUpdate &u) -> std::uint64_t {
  if (u.Subject.State == MemberState::Dead)
    return 0;
  const auto leaving = u.Subject.State == MemberState::Leaving ? 1U : 0U;
  const auto version = (std::uint64_t{u.Version} << 1) | leaving;
  return hashPair(raw(u.Subject.Id),
                  hashPair(raw(u.Subject.IncarnationNumber), version));
}

auto MemberTable::bucketOf(InstanceId id) -> std::size_t {
  return raw(id) % BucketCount;
}

auto MemberTable::merge(const MemberUpdate &u, TimePoint now) -> MergeResult {
  const auto id = u.Subject.Id;
  auto it = Members.find(id);
  if (it == Members.end()) {
    if (Members.size() >= Limit)
      return MergeResult::Full;
    Members[id] = {u, now};
    Digests[bucketOf(id)] ^= digestOf(u);
    return MergeResult::Accepted;
  }
  auto &known = it->second;
  if (isNewer(known.Update, u))
    return MergeResult::Older;
  if (!isNewer(u, known.Update))
    return MergeResult::Known;
  Digests[bucketOf(id)] ^= digestOf(known.Update) ^ digestOf(u);
  known = {u, now};
  return MergeResult::Accepted;
}

auto MemberTable::evictDead(TimePoint limit) -> void {
  std::erase_if(Members, [limit](const auto &it) {
    return it.second.Update.Subject.State == MemberState::Dead &&
           it.second.Since < limit;
  });
}

auto MemberTable::find(InstanceId id) const -> const Entry * {
  auto it = Members.find(id);
  return it == Members.end() ? nullptr : &it->second;
}

auto MemberTable::shiftTimes(Duration d) -> void {
  for (auto &[id, it] : Members)
    it.Since += d;
}

auto MemberTable::digest() const -> std::uint64_t {
  std::uint64_t d = 0;
  for (auto it : Digests)
    d ^= it;
  return d;
}

} // namespace boragebridge
