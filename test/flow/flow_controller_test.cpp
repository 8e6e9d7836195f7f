#include "flow/flow_controller.h"

#include "fakes/flow_world.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

using fakes::FlowWorld;

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Fixture : FlowWorld {
  static constexpr int FlowCount = 400;
  Fixture() {
    start(4, 5);
    openMany(FlowCount);
    run(seconds(2));
  }
  auto checkNoneBroken() -> void {
    BOOST_TEST(brokenFlows() == 0);
    BOOST_TEST(establishedFlows() == static_cast<int>(Flows.size()));
    BOOST_TEST(Misdelivered == 0);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FlowPlacement, Fixture)

BOOST_AUTO_TEST_CASE(SettledFlowsAreForwardedWithoutRelay) {
  run(seconds(5));
  checkNoneBroken();
  BOOST_TEST(counterSum("flow_packets_relayed_total") == 0U);
  BOOST_TEST(Opens.size() == 5U);
}

BOOST_AUTO_TEST_CASE(UpstreamAddedKeepsFlows) {
  addUpstream("new", 50);
  acceptConfiguration();
  run(seconds(5));
  openMany(200);
  run(seconds(5));
  checkNoneBroken();
  BOOST_TEST(Opens[upstream("new").Address] > 0);
}

BOOST_AUTO_TEST_CASE(DrainedUpstreamKeepsFlowsAndGetsNoNewOnes) {
  upstream("u2").Mode = UpstreamMode::Draining;
  acceptConfiguration();
  run(seconds(5));
  const auto before = Opens[upstream("u2").Address];
  openMany(300);
  run(seconds(5));
  checkNoneBroken();
  BOOST_TEST(Opens[upstream("u2").Address] == before);
}

BOOST_AUTO_TEST_CASE(SlotsSettleWhenOldFlowsHaveEnded) {
  addUpstream("new", 50);
  acceptConfiguration();
  run(seconds(5));
  BOOST_TEST(unsettledSlots("i0") > 0U);
  for (auto &[k, f] : Flows) {
    f.Closed = true;
    send(k, PacketKind::FlowClose);
  }
  run(seconds(60));
  for (const auto &name : Names)
    BOOST_TEST(unsettledSlots(name) == 0U);
  openMany(100);
  run(seconds(3));
  BOOST_TEST(brokenFlows() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
