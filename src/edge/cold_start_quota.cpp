#include "edge/cold_start_quota.h"

#include <algorithm>
#include <cmath>

namespace boragebridge {

ColdStartQuota::ColdStartQuota(std::string_view self, ColdStartQuotaOptions opt)
    : Options(opt), Self(hashName(self)) {}

auto ColdStartQuota::setMembers(const std::vector<std::string> &names) -> void {
  Others.clear();
  IsMember = false;
  for (const auto &it : names) {
    const auto id = hashName(it);
    if (id == Self)
      IsMember = true;
    else
      Others.push_back(id);
  }
}

auto ColdStartQuota::isAmongFirst(const UpstreamLifetime &u,
                                  std::size_t n) const -> bool {
  const auto tag = std::uint64_t{static_cast<std::uint32_t>(u.Tag)};
  const auto mine = hashPair(tag, Self);
  const auto before = std::count_if(Others.begin(), Others.end(), [&](auto it) {
    return hashPair(tag, it) < mine;
  });
  return static_cast<std::size_t>(before) < n;
}

auto ColdStartQuota::mayOpen(const UpstreamLifetime &u, double perSecond,
                             TimePoint now) const -> bool {
  const auto limit = perSecond * Options.Factor + Options.Slack;
  const auto isLeaseOver =
      ConfirmedAt && now - *ConfirmedAt > Options.MemberLease;
  if (!IsMember || isLeaseOver || now < WaitingUntil || limit <= 0)
    return false;
  // With a limit below one flow per second, a single instance opens flows at a
  // lower rate.
  const auto openers = std::max(1.0, std::floor(limit));
  const auto slowdown = std::max(1.0, 1 / limit);
  const auto it = LastOpened.find(static_cast<std::uint32_t>(u.Tag));
  if (it != LastOpened.end() &&
      now - it->second < Options.MinInterval * slowdown)
    return false;
  return isAmongFirst(u, static_cast<std::size_t>(openers));
}

auto ColdStartQuota::onOpened(const UpstreamLifetime &u, TimePoint now)
    -> void {
  std::erase_if(LastOpened, [&](const auto &it) {
    return now - it.second > std::chrono::minutes(1);
  });
  LastOpened[static_cast<std::uint32_t>(u.Tag)] = now;
}

} // namespace boragebridge
