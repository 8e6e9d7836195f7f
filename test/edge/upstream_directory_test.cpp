#include <boost/test/unit_test.hpp>

#include "edge_fixture.h"

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_FIXTURE_TEST_SUITE(EdgeDirectory, EdgeFixture)

BOOST_AUTO_TEST_CASE(ConfigurationNeverGoesBack) {
  configure(7);
  EdgeConfiguration older;
  older.Version = 6;
  BOOST_TEST(!Known.setConfiguration(older));
  BOOST_TEST(Known.configuration().Version == 7U);
  BOOST_TEST(Known.route(RouteAddress) != nullptr);
}

BOOST_AUTO_TEST_CASE(TagNamesItsUpstream) {
  start({record("i-1", 1), record("i-2", 2)});
  const auto tag = tagOf("i-2", seconds(1000));
  BOOST_TEST_REQUIRE(Known.find(tag) != nullptr);
  BOOST_TEST(Known.find(tag)->Record.Name == "i-2");
  BOOST_TEST(Known.find(UpstreamTag{12345}) == nullptr);
}

BOOST_AUTO_TEST_CASE(RestartedUpstreamEndsItsEarlierLifetimeAtOnce) {
  auto r = record("i-1", 1);
  start({r});
  const auto old = tagOf(r.Name, r.StartedAt);
  r.StartedAt += seconds(9);
  Known.putUpstream(r, now());
  BOOST_TEST(Known.isGone(*Known.find(old), now()));
  BOOST_TEST(!Known.isGone(*Known.find(tagOf(r.Name, r.StartedAt)), now()));
}

BOOST_AUTO_TEST_CASE(ReusedAddressEndsTheUpstreamThatHadIt) {
  start({record("i-1", 1)});
  auto successor = record("i-2", 1);
  successor.StartedAt += seconds(5);
  Known.putUpstream(successor, now());
  BOOST_TEST(Known.isGone(*Known.find(tagOf("i-1", seconds(1000))), now()));
}

BOOST_AUTO_TEST_CASE(LateRecordOfAnEndedLifetimeChangesNothing) {
  start({record("i-1", 1)});
  auto successor = record("i-2", 1);
  successor.StartedAt += seconds(5);
  Known.putUpstream(successor, now());
  Known.replaceUpstreams({successor, record("i-1", 1)}, now());
  BOOST_TEST(Known.isGone(*Known.find(tagOf("i-1", seconds(1000))), now()));
  BOOST_TEST(
      !Known.isGone(*Known.find(tagOf("i-2", successor.StartedAt)), now()));
}

BOOST_AUTO_TEST_CASE(MissingRecordIsGoneOnlyAfterTheLimit) {
  start({record("i-1", 1)});
  Time.advance(seconds(10));
  Known.removeUpstream("i-1", now());
  const auto *u = Known.find(tagOf("i-1", seconds(1000)));
  BOOST_TEST(!Known.mayOpen(*u, now()));
  BOOST_TEST(Known.mayOpenAtWorst(*u, now()));
  BOOST_TEST(!Known.isGone(*u, now()));
  Time.advance(milliseconds(2600));
  BOOST_TEST(Known.isGone(*u, now()));
}

BOOST_AUTO_TEST_CASE(RecordThatLapsedInAnOutageStillTakesFlows) {
  start({record("i-1", 1)});
  Time.advance(seconds(10));
  Known.noteStoreFailure(now());
  Time.advance(seconds(1));
  Known.removeUpstream("i-1", now());
  BOOST_TEST(Known.mayOpen(*Known.find(tagOf("i-1", seconds(1000))), now()));
}

BOOST_AUTO_TEST_CASE(LapsedRecordThatReturnsKeepsItsTag) {
  start({record("i-1", 1)});
  Known.removeUpstream("i-1", now());
  Time.advance(seconds(1));
  Known.putUpstream(record("i-1", 1), now());
  Time.advance(seconds(30));
  Known.expire(now());
  const auto *u = Known.find(tagOf("i-1", seconds(1000)));
  BOOST_TEST_REQUIRE(u != nullptr);
  BOOST_TEST(Known.mayOpen(*u, now()));
}

BOOST_AUTO_TEST_CASE(GoneUpstreamStaysKnownWhileFlowsMayLast) {
  start({record("i-1", 1)});
  Known.removeUpstream("i-1", now());
  Time.advance(seconds(60));
  Known.expire(now());
  BOOST_TEST(Known.find(tagOf("i-1", seconds(1000))) != nullptr);
  Time.advance(seconds(60));
  Known.expire(now());
  BOOST_TEST(Known.find(tagOf("i-1", seconds(1000))) == nullptr);
}

BOOST_AUTO_TEST_CASE(WithdrawnDataCentreTakesNoFlowsAndReturnsCold) {
  start({record("i-1", 1)});
  const auto *u = Known.find(tagOf("i-1", seconds(1000)));
  Known.setWithdrawn({LocalDataCentre}, now());
  BOOST_TEST(!Known.mayOpen(*u, now()));
  Known.setWithdrawn({}, now());
  BOOST_TEST(Known.mayOpen(*u, now()));
  BOOST_TEST(Known.isCold(*u, now()));
  Time.advance(seconds(4));
  BOOST_TEST(!Known.isCold(*u, now()));
}

BOOST_AUTO_TEST_CASE(UnchangedRecordDoesNotProlongTheColdTime) {
  auto r = record("i-1", 1);
  r.ColdFor = seconds(2);
  start({r});
  Time.advance(milliseconds(2100));
  Known.putUpstream(r, now());
  BOOST_TEST(!Known.isCold(*Known.find(tagOf("i-1", seconds(1000))), now()));
}

BOOST_AUTO_TEST_CASE(UnknownTagIsTakenForGoneOnlyOnceTheViewHasSettled) {
  start({record("i-1", 1)});
  BOOST_TEST(!Known.isSettled(now()));
  Time.advance(seconds(3));
  BOOST_TEST(Known.isSettled(now()));
  Known.noteStoreFailure(now());
  BOOST_TEST(!Known.isSettled(now()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
