#include <boost/test/unit_test.hpp>

#include "edge_fixture.h"

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct EstimatesFixture : EdgeFixture {
  EstimatesFixture() {
    auto remote = record("i-3", 3);
    remote.DataCentre = Other;
    auto remote2 = record("i-4", 4);
    remote2.DataCentre = Other;
    auto remote3 = record("i-5", 5);
    remote3.DataCentre = Other;
    start({record("i-1", 1), record("i-2", 2), remote, remote2, remote3});
  }
  auto upstream(const std::string &name) const -> const Upstream & {
    return *Known.find(tagOf(name, seconds(1000)));
  }
  auto strike(const std::string &name) -> void {
    Loads.onStrike(upstream(name), {}, now());
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EdgeEstimates, EstimatesFixture)

BOOST_AUTO_TEST_CASE(StrikeAvoidsTheUpstreamForAWhile) {
  BOOST_TEST(!Loads.isAvoided(upstream("i-1"), now()));
  strike("i-1");
  BOOST_TEST(Loads.isAvoided(upstream("i-1"), now()));
  BOOST_TEST(!Loads.isAvoided(upstream("i-2"), now()));
  Time.advance(milliseconds(500));
  BOOST_TEST(!Loads.isAvoided(upstream("i-1"), now()));
}

BOOST_AUTO_TEST_CASE(FurtherStrikesAvoidItLonger) {
  strike("i-1");
  strike("i-1");
  Time.advance(milliseconds(500));
  BOOST_TEST(Loads.isAvoided(upstream("i-1"), now()));
}

BOOST_AUTO_TEST_CASE(ProgressClearsStrikes) {
  strike("i-1");
  Time.advance(milliseconds(1));
  Loads.onProgress(upstream("i-1"), now());
  BOOST_TEST(!Loads.isAvoided(upstream("i-1"), now()));
  BOOST_TEST(Loads.strikes(upstream("i-1")) == 0U);
}

BOOST_AUTO_TEST_CASE(OneFlowStrikesOnceUntilThereIsProgress) {
  strike("i-1");
  const auto struck = now();
  Time.advance(milliseconds(300));
  Loads.onStrike(upstream("i-1"), struck, now());
  BOOST_TEST(Loads.strikes(upstream("i-1")) == 1U);
}

BOOST_AUTO_TEST_CASE(DarkNeedsSeveralFlowsAndSomeTime) {
  strike("i-1");
  strike("i-1");
  Time.advance(seconds(1));
  BOOST_TEST(!Loads.isDark(upstream("i-1"), now()));
  strike("i-1");
  BOOST_TEST(Loads.isDark(upstream("i-1"), now()));
}

BOOST_AUTO_TEST_CASE(ManyStrikesAtOnceAreNotDark) {
  for (int i = 0; i < 9; ++i)
    strike("i-1");
  BOOST_TEST(!Loads.isDark(upstream("i-1"), now()));
}

BOOST_AUTO_TEST_CASE(TwoSuspectsMakeTheirDataCentreSuspected) {
  strike("i-3");
  BOOST_TEST(!Loads.isAvoided(upstream("i-5"), now()));
  strike("i-4");
  BOOST_TEST(Loads.isAvoided(upstream("i-5"), now()));
  BOOST_TEST(!Loads.isAvoided(upstream("i-1"), now()));
}

BOOST_AUTO_TEST_CASE(ProgressOfOneUpstreamClearsItsDataCentre) {
  strike("i-3");
  strike("i-4");
  Time.advance(milliseconds(1));
  Loads.onProgress(upstream("i-5"), now());
  BOOST_TEST(!Loads.isAvoided(upstream("i-5"), now()));
  BOOST_TEST(Loads.isAvoided(upstream("i-3"), now()));
}

BOOST_AUTO_TEST_CASE(LoadFades) {
  Loads.onWork(upstream("i-1"), now());
  BOOST_TEST(Loads.load(upstream("i-1"), now()) == 1.0);
  BOOST_TEST((Loads.expectedTime(upstream("i-1"), now()) >
              Loads.expectedTime(upstream("i-2"), now())));
  Time.advance(seconds(5));
  BOOST_TEST(Loads.load(upstream("i-1"), now()) < 0.01);
}

BOOST_AUTO_TEST_CASE(SlowAnswersRaiseTheExpectedTime) {
  for (int i = 0; i < 50; ++i)
    Loads.onResponse(upstream("i-1"), milliseconds(200));
  BOOST_TEST((Loads.expectedTime(upstream("i-1"), now()) > milliseconds(150)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
