#include <boost/test/unit_test.hpp>

#include "edge_fixture.h"

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_FIXTURE_TEST_SUITE(EdgeUpstreamDirectory, EdgeFixture)

BOOST_AUTO_TEST_CASE(IgnoresOlderConfiguration) {
  configure(7);
  EdgeConfiguration older;
  older.Version = 6;
  BOOST_TEST(!Directory.setConfiguration(older));
  BOOST_TEST(Directory.configuration().Version == 7U);
  BOOST_TEST(Directory.route(RouteAddress) != nullptr);
}

BOOST_AUTO_TEST_CASE(FindsUpstreamByTag) {
  start({record("i-1", 1), record("i-2", 2)});
  const auto tag = tagOf("i-2", seconds(1000));
  BOOST_TEST_REQUIRE(Directory.find(tag) != nullptr);
  BOOST_TEST(Directory.find(tag)->Record.Name == "i-2");
  BOOST_TEST(Directory.find(UpstreamTag{12345}) == nullptr);
}

BOOST_AUTO_TEST_CASE(RestartEndsEarlierLifetime) {
  auto r = record("i-1", 1);
  start({r});
  const auto old = tagOf(r.Name, r.StartedAt);
  r.StartedAt += seconds(9);
  Directory.putUpstream(r, now());
  BOOST_TEST(Directory.isGone(*Directory.find(old), now()));
  BOOST_TEST(
      !Directory.isGone(*Directory.find(tagOf(r.Name, r.StartedAt)), now()));
}

BOOST_AUTO_TEST_CASE(ReusedAddressEndsPreviousUpstream) {
  start({record("i-1", 1)});
  auto successor = record("i-2", 1);
  successor.StartedAt += seconds(5);
  Directory.putUpstream(successor, now());
  BOOST_TEST(
      Directory.isGone(*Directory.find(tagOf("i-1", seconds(1000))), now()));
}

BOOST_AUTO_TEST_CASE(IgnoresLateRecordOfEndedLifetime) {
  start({record("i-1", 1)});
  auto successor = record("i-2", 1);
  successor.StartedAt += seconds(5);
  Directory.putUpstream(successor, now());
  Directory.replaceUpstreams({successor, record("i-1", 1)}, now());
  BOOST_TEST(
      Directory.isGone(*Directory.find(tagOf("i-1", seconds(1000))), now()));
  BOOST_TEST(!Directory.isGone(
      *Directory.find(tagOf("i-2", successor.StartedAt)), now()));
}

BOOST_AUTO_TEST_CASE(MissingUpstreamIsGoneAfterLimit) {
  start({record("i-1", 1)});
  Time.advance(seconds(10));
  Directory.removeUpstream("i-1", now());
  const auto *u = Directory.find(tagOf("i-1", seconds(1000)));
  BOOST_TEST(!Directory.mayOpen(*u, now()));
  BOOST_TEST(Directory.mayOpenAsLastResort(*u, now()));
  BOOST_TEST(!Directory.isGone(*u, now()));
  Time.advance(milliseconds(2600));
  BOOST_TEST(Directory.isGone(*u, now()));
}

BOOST_AUTO_TEST_CASE(RecordExpiredDuringStoreOutageTakesFlows) {
  start({record("i-1", 1)});
  Time.advance(seconds(10));
  Directory.onStoreFailure(now());
  Time.advance(seconds(1));
  Directory.removeUpstream("i-1", now());
  BOOST_TEST(
      Directory.mayOpen(*Directory.find(tagOf("i-1", seconds(1000))), now()));
}

BOOST_AUTO_TEST_CASE(ReturningRecordKeepsItsTag) {
  start({record("i-1", 1)});
  Directory.removeUpstream("i-1", now());
  Time.advance(seconds(1));
  Directory.putUpstream(record("i-1", 1), now());
  Time.advance(seconds(30));
  Directory.expire(now());
  const auto *u = Directory.find(tagOf("i-1", seconds(1000)));
  BOOST_TEST_REQUIRE(u != nullptr);
  BOOST_TEST(Directory.mayOpen(*u, now()));
}

BOOST_AUTO_TEST_CASE(RetainsGoneUpstreamWhileFlowsMayLast) {
  start({record("i-1", 1)});
  Directory.removeUpstream("i-1", now());
  Time.advance(seconds(60));
  Directory.expire(now());
  BOOST_TEST(Directory.find(tagOf("i-1", seconds(1000))) != nullptr);
  Time.advance(seconds(60));
  Directory.expire(now());
  BOOST_TEST(Directory.find(tagOf("i-1", seconds(1000))) == nullptr);
}

BOOST_AUTO_TEST_CASE(WithdrawnDataCentreTakesNoFlowsAndReturnsCold) {
  start({record("i-1", 1)});
  const auto *u = Directory.find(tagOf("i-1", seconds(1000)));
  Directory.setWithdrawn({LocalDataCentre}, now());
  BOOST_TEST(!Directory.mayOpen(*u, now()));
  Directory.setWithdrawn({}, now());
  BOOST_TEST(Directory.mayOpen(*u, now()));
  BOOST_TEST(Directory.isCold(*u, now()));
  Time.advance(seconds(4));
  BOOST_TEST(!Directory.isCold(*u, now()));
}

BOOST_AUTO_TEST_CASE(UnchangedRecordDoesNotExtendColdTime) {
  auto r = record("i-1", 1);
  r.ColdFor = seconds(2);
  start({r});
  Time.advance(milliseconds(2100));
  Directory.putUpstream(r, now());
  BOOST_TEST(
      !Directory.isCold(*Directory.find(tagOf("i-1", seconds(1000))), now()));
}

BOOST_AUTO_TEST_CASE(IsStableOnlyAfterMissingLimit) {
  start({record("i-1", 1)});
  BOOST_TEST(!Directory.isStable(now()));
  Time.advance(seconds(3));
  BOOST_TEST(Directory.isStable(now()));
  Directory.onStoreFailure(now());
  BOOST_TEST(!Directory.isStable(now()));
}

BOOST_AUTO_TEST_CASE(RemembersRemovedRoutesUpToALimit) {
  UpstreamDirectory directory({.MaxRemovedRoutes = 2});
  const auto address = [](std::uint16_t port) {
    return Endpoint{0xC6120001, port};
  };
  const auto configure = [&](std::uint64_t version,
                             const std::vector<std::uint16_t> &ports) {
    EdgeConfiguration c;
    c.Version = version;
    for (const auto it : ports)
      c.Routes.push_back({"r", address(it), {{ServiceId{1}, 1}}});
    BOOST_TEST(directory.setConfiguration(std::move(c)));
  };
  configure(1, {1, 2});
  BOOST_TEST(!directory.isRemovedRoute(address(1)));
  BOOST_TEST(!directory.isRemovedRoute(address(9)));
  configure(2, {2, 3});
  BOOST_TEST(directory.isRemovedRoute(address(1)));
  configure(3, {1, 2, 3});
  BOOST_TEST(!directory.isRemovedRoute(address(1)));
  configure(4, {1, 3});
  configure(5, {1});
  configure(6, {});
  BOOST_TEST(!directory.isRemovedRoute(address(2)));
  BOOST_TEST(directory.isRemovedRoute(address(3)));
  BOOST_TEST(directory.isRemovedRoute(address(1)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
