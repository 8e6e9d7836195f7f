#include "membership/member_table.h"

namespace boragebridge {

auto isNewer(const MemberUpdate &a, const MemberUpdate &b) -> bool {
  if (a.Counter != b.Counter)
    return a.Counter > b.Counter;
  if (a.About.State != b.About.State)
    return a.About.State > b.About.State;
  return a.About.Number > b.About.Number;
}

/// The share of \p u in its bucket's digest.
static auto digestOf(const MemberUpdate &u) -> std::uint64_t {
  if (u.About.State == MemberState::Dead)
    return 0;
  const auto leaving = u.About.State == MemberState::Leaving ? 1U : 0U;
  const auto version = (std::uint64_t{u.Counter} << 1) | leaving;
  return hashPair(raw(u.About.Id), hashPair(raw(u.About.Number), version));
}

auto MemberTable::bucketOf(InstanceId id) -> std::size_t {
  return raw(id) % BucketCount;
}

auto MemberTable::merge(const MemberUpdate &u, TimePoint now) -> Merged {
  const auto id = u.About.Id;
  auto it = All.find(id);
  if (it == All.end()) {
    if (All.size() >= Limit)
      return Merged::Full;
    All[id] = {u, now};
    Digests[bucketOf(id)] ^= digestOf(u);
    return Merged::Accepted;
  }
  auto &known = it->second;
  if (isNewer(known.News, u))
    return Merged::Older;
  if (!isNewer(u, known.News))
    return Merged::Known;
  Digests[bucketOf(id)] ^= digestOf(known.News) ^ digestOf(u);
  known = {u, now};
  return Merged::Accepted;
}

auto MemberTable::forgetDead(TimePoint limit) -> void {
  std::erase_if(All, [limit](const auto &it) {
    return it.second.News.About.State == MemberState::Dead &&
           it.second.Since < limit;
  });
}

auto MemberTable::find(InstanceId id) const -> const Entry * {
  auto it = All.find(id);
  return it == All.end() ? nullptr : &it->second;
}

auto MemberTable::shiftTimes(Duration d) -> void {
  for (auto &[id, it] : All)
    it.Since += d;
}

auto MemberTable::digest() const -> std::uint64_t {
  std::uint64_t d = 0;
  for (auto it : Digests)
    d ^= it;
  return d;
}

} // namespace boragebridge
