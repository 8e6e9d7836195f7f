#include "edge/member_expiry.h"

#include <utility>

namespace boragebridge {

auto MemberExpiry::setMembers(const std::vector<MemberRecord> &all) -> void {
  auto before = std::exchange(Members, {});
  for (const auto &it : all) {
    if (it.Name == Self || it.DataCentre != LocalDataCentre ||
        it.Address.Port == 0)
      continue;
    auto &m = Members[it.Name];
    // A changed record shows that the instance is running.
    if (const auto old = before.find(it.Name);
        old != before.end() && old->second.Record == it)
      m = std::move(old->second);
    m.Record = it;
  }
}

auto MemberExpiry::nextToCheck(TimePoint now) -> const MemberRecord * {
  if (Members.empty() || now < NextCheck)
    return nullptr;
  NextCheck = now + Options.CheckInterval;
  auto it = Members.upper_bound(LastChecked);
  if (it == Members.end())
    it = Members.begin();
  LastChecked = it->first;
  return &it->second.Record;
}

auto MemberExpiry::onChecked(const std::string &name, bool answered,
                             TimePoint now) -> bool {
  const auto it = Members.find(name);
  if (it == Members.end())
    return false;
  auto &m = it->second;
  if (answered) {
    m.Misses = 0;
    return false;
  }
  if (m.Misses++ == 0)
    m.FirstMiss = now;
  return m.Misses >= Options.MissesToExpire &&
         now - m.FirstMiss >= Options.ExpireAfter;
}

} // namespace boragebridge
