#include <boost/test/unit_test.hpp>

#include "edge_fixture.h"

#include <map>

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_FIXTURE_TEST_SUITE(EdgePicker, EdgeFixture)

BOOST_AUTO_TEST_CASE(PrefersLocalDataCentre) {
  auto remote = record("i-2", 2);
  remote.DataCentre = RemoteDataCentre;
  start({record("i-1", 1), remote});
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(openedTo() == "i-1");
    Time.advance(seconds(1));
  }
}

BOOST_AUTO_TEST_CASE(LoadedLocalDataCentreSpillsOver) {
  auto remote = record("i-2", 2);
  remote.DataCentre = RemoteDataCentre;
  start({record("i-1", 1), remote});
  std::map<std::string, int> seen;
  for (int i = 0; i < 60; ++i)
    ++seen[openedTo()];
  BOOST_TEST(seen["i-2"] > 0);
}

BOOST_AUTO_TEST_CASE(SpreadsFlowsEvenly) {
  start({record("i-1", 1), record("i-2", 2), record("i-3", 3)});
  std::map<std::string, int> seen;
  for (int i = 0; i < 300; ++i) {
    ++seen[openedTo()];
    Time.advance(milliseconds(10));
  }
  for (const auto &[name, n] : seen)
    BOOST_TEST((n > 80 && n < 120), name << " got " << n << " of 300");
}

BOOST_AUTO_TEST_CASE(DrainingUpstreamGetsNoNewFlow) {
  auto draining = record("i-2", 2);
  draining.Draining = true;
  start({record("i-1", 1), draining});
  for (int i = 0; i < 50; ++i)
    BOOST_TEST(openedTo() == "i-1");
}

BOOST_AUTO_TEST_CASE(PrefersWarmToColdUpstream) {
  auto cold = record("i-2", 2);
  cold.ColdFor = seconds(2);
  auto remote = record("i-3", 3);
  remote.DataCentre = RemoteDataCentre;
  start({cold, remote});
  for (int i = 0; i < 10; ++i)
    BOOST_TEST(openedTo() == "i-3");
}

BOOST_AUTO_TEST_CASE(AllColdStaysWithinQuota) {
  auto cold = record("i-1", 1);
  cold.ColdFor = seconds(60);
  start({cold});
  BOOST_TEST(openedTo() == "i-1");
  BOOST_TEST(openedTo().empty());
}

BOOST_AUTO_TEST_CASE(SuspicionNeverEmptiesAService) {
  start({record("i-1", 1)});
  Estimates.onUnanswered(*Directory.find(tagOf("i-1", seconds(1000))), now());
  BOOST_TEST(openedTo() == "i-1");
}

BOOST_AUTO_TEST_CASE(SuspectedUpstreamGetsOneTrialAtATime) {
  start({record("i-1", 1), record("i-2", 2)});
  Estimates.onUnanswered(*Directory.find(tagOf("i-1", seconds(1000))), now());
  Time.advance(milliseconds(450));
  std::map<std::string, int> seen;
  for (int i = 0; i < 20; ++i)
    ++seen[openedTo()];
  BOOST_TEST(seen["i-1"] == 1);
}

BOOST_AUTO_TEST_CASE(HonoursRouteWeights) {
  const auto second = idFromName<ServiceId>("second");
  auto r = record("i-2", 2);
  r.Service = second;
  start({record("i-1", 1), r});
  EdgeConfiguration c = Directory.configuration();
  c.Version = 2;
  c.Routes[0].Services = {{Service, 90}, {second, 10}};
  Directory.setConfiguration(c, now());
  auto n = 0;
  for (int i = 0; i < 1000; ++i) {
    n += openedTo() == "i-2" ? 1 : 0;
    Time.advance(milliseconds(10));
  }
  BOOST_TEST((n > 60 && n < 140), "weight 10 of 100 got " << n << " of 1000");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
