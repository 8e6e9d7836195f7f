#include "edge/load/upstream_subsets.h"

#include <boost/test/unit_test.hpp>

#include "../edge_fixture.h"

#include <algorithm>
#include <set>

namespace boragebridge {

using std::chrono::seconds;

namespace {

struct SubsetsFixture : EdgeFixture {
  /// The subset of the local instance \p n of \p instances, before \p upstreams
  /// local upstreams.
  auto subset(std::size_t n, std::size_t instances, std::size_t upstreams)
      -> ServiceSubset {
    if (Directory.size() != upstreams)
      start(records(upstreams));
    UpstreamSubsets subsets(Directory, name(n), LocalDataCentre);
    std::vector<MemberRecord> members;
    for (std::size_t i = 0; i < instances; ++i)
      members.push_back({name(i), LocalDataCentre, {}, 0});
    members.push_back({"remote", RemoteDataCentre, {}, 0});
    subsets.setMembers(members);
    return subsets.of(Service, now());
  }
  auto records(std::size_t n) const -> std::vector<UpstreamRecord> {
    std::vector<UpstreamRecord> all;
    for (std::size_t i = 0; i < n; ++i)
      all.push_back(
          record("u-" + std::to_string(i), static_cast<std::uint16_t>(i + 1)));
    return all;
  }
  static auto name(std::size_t i) -> std::string {
    return "edge-" + std::to_string(100 + i);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EdgeUpstreamSubsets, SubsetsFixture)

BOOST_AUTO_TEST_CASE(EachUpstreamHasAsManySenders) {
  constexpr std::size_t Instances = 28;
  constexpr std::size_t Upstreams = 40;
  std::map<std::string, int> senders;
  for (std::size_t i = 0; i < Instances; ++i) {
    const auto s = subset(i, Instances, Upstreams);
    BOOST_TEST((s.Used.size() >= 6 && s.Used.size() <= 7));
    for (const auto &it : s.Used)
      ++senders[it.Upstream->Record.Name];
  }
  BOOST_TEST(senders.size() == Upstreams);
  for (const auto &[name, n] : senders)
    BOOST_TEST((n >= 4 && n <= 5), name << " has " << n);
}

BOOST_AUTO_TEST_CASE(SubsetStaysSmallInALargeDataCentre) {
  const auto s = subset(123, 540, 5400);
  BOOST_TEST((s.Used.size() >= 40 && s.Used.size() <= 41));
}

BOOST_AUTO_TEST_CASE(FewUpstreamsAreAllUsed) {
  for (std::size_t i = 0; i < 6; ++i)
    BOOST_TEST(subset(i, 6, 4).Used.size() == 4U);
}

BOOST_AUTO_TEST_CASE(InstancesAgreeOnPositions) {
  const auto a = subset(0, 6, 12).Local;
  const auto b = subset(5, 6, 12).Local;
  BOOST_TEST_REQUIRE(a.size() == 12U);
  for (std::size_t i = 0; i < a.size(); ++i) {
    BOOST_TEST(a[i].Upstream == b[i].Upstream);
    BOOST_TEST(a[i].Position == static_cast<double>(i + 1) / 12);
  }
}

BOOST_AUTO_TEST_CASE(InstanceThatIsNotRegisteredHasASubset) {
  start(records(40));
  UpstreamSubsets subsets(Directory, "edge-new", LocalDataCentre);
  BOOST_TEST(subsets.of(Service, now()).Used.size() == 40U);
  subsets.setMembers({{"edge-1", LocalDataCentre, {}, 0}});
  BOOST_TEST(!subsets.of(Service, now()).Used.empty());
}

BOOST_AUTO_TEST_CASE(DrainingUpstreamLeavesTheSubset) {
  start(records(4));
  UpstreamSubsets subsets(Directory, "edge-1", LocalDataCentre);
  BOOST_TEST(subsets.of(Service, now()).Used.size() == 4U);
  auto r = record("u-0", 1);
  r.Draining = true;
  Directory.putUpstream(r, now());
  Time.advance(seconds(2));
  BOOST_TEST(subsets.of(Service, now()).Used.size() == 3U);
}

BOOST_AUTO_TEST_CASE(RemoteUpstreamsAreMarked) {
  auto remote = record("u-9", 9);
  remote.DataCentre = RemoteDataCentre;
  start({record("u-1", 1), remote});
  UpstreamSubsets subsets(Directory, "edge-1", LocalDataCentre);
  for (const auto &it : subsets.of(Service, now()).Used)
    BOOST_TEST(it.IsRemote == (it.Upstream->Record.Name == "u-9"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
