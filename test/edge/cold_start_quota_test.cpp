#include <boost/test/unit_test.hpp>

#include "edge_fixture.h"

#include <memory>

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double NoRate = 0;

struct ColdStartQuotaFixture : EdgeFixture {
  ColdStartQuotaFixture() {
    auto r = record("i-1", 1);
    r.ColdFor = seconds(20);
    start({r});
  }
  auto upstream() const -> const UpstreamLifetime & {
    return *Directory.find(tagOf("i-1", seconds(1000)));
  }
};

/// Simulates \p n instances that open flows whenever they may. Returns the
/// largest number of flows that an upstream receives within one second.
auto maxFlowsPerSecond(const ColdStartQuotaFixture &f, int n, double perSecond)
    -> int {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i)
    names.push_back("instance-" + std::to_string(i));
  std::vector<std::unique_ptr<ColdStartQuota>> fleet;
  for (const auto &it : names) {
    fleet.push_back(std::make_unique<ColdStartQuota>(
        it, ColdStartQuotaOptions{.Factor = 1.5, .Slack = 5}));
    fleet.back()->setMembers(names);
  }
  std::vector<TimePoint> opened;
  auto maxOpened = 0;
  for (auto t = f.now(); t < f.now() + seconds(10); t += milliseconds(10)) {
    for (auto &it : fleet)
      if (it->mayOpen(f.upstream(), perSecond, t)) {
        it->onOpened(f.upstream(), t);
        opened.push_back(t);
      }
    std::erase_if(opened, [&](auto it) { return t - it >= seconds(1); });
    maxOpened = std::max(maxOpened, static_cast<int>(opened.size()));
  }
  return maxOpened;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(EdgeColdStartQuota, ColdStartQuotaFixture)

BOOST_AUTO_TEST_CASE(FleetUsesButNeverExceedsTheLimit) {
  // The limit is 0 per second times 1.5, plus 5.
  for (int n : {1, 3, 10, 100})
    BOOST_TEST(maxFlowsPerSecond(*this, n, NoRate) == std::min(n, 5),
               "fleet " << n);
  // The limit is 4 per second times 1.5, plus 5.
  BOOST_TEST(maxFlowsPerSecond(*this, 100, 4) == 11);
}

BOOST_AUTO_TEST_CASE(UnregisteredInstanceOpensNothing) {
  ColdStartQuota quota("b", {.Factor = 1, .Slack = 5});
  quota.setMembers({"a", "c"});
  BOOST_TEST(!quota.mayOpen(upstream(), NoRate, now()));
}

BOOST_AUTO_TEST_CASE(RestartedInstanceWaits) {
  ColdStartQuota quota("a", {.Factor = 1, .Slack = 5});
  quota.setMembers({"a"});
  quota.waitUntil(now() + seconds(1));
  BOOST_TEST(!quota.mayOpen(upstream(), NoRate, now()));
  BOOST_TEST(quota.mayOpen(upstream(), NoRate, now() + seconds(1)));
}

BOOST_AUTO_TEST_CASE(ZeroLimitAllowsNoFlows) {
  ColdStartQuota quota("a", {.Factor = 1.5, .Slack = 0});
  quota.setMembers({"a"});
  BOOST_TEST(!quota.mayOpen(upstream(), NoRate, now()));
}

BOOST_AUTO_TEST_CASE(OpensNothingAfterMemberLeaseExpires) {
  ColdStartQuota quota("a", {.Factor = 1, .Slack = 5});
  quota.setMembers({"a"});
  const TimePoint start{std::chrono::hours(1)};
  quota.confirmMembers(start);
  BOOST_TEST(quota.mayOpen(UpstreamLifetime{}, 0, start));
  const auto later = start + std::chrono::minutes(11);
  BOOST_TEST(!quota.mayOpen(UpstreamLifetime{}, 0, later));
  quota.confirmMembers(later);
  BOOST_TEST(quota.mayOpen(UpstreamLifetime{}, 0, later));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
