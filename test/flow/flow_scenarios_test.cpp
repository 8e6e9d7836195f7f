// Planned changes and injected faults, alone and combined, must not break
// established flows.
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
  auto runAndCheckFlows() -> void {
    openMany(100);
    run(seconds(5));
    BOOST_TEST(brokenFlows() == 0);
    BOOST_TEST(establishedFlows() == static_cast<int>(Flows.size()));
    BOOST_TEST(Misdelivered == 0);
  }
  auto drain(const std::string &name) -> void {
    upstream(name).Mode = UpstreamMode::Draining;
    acceptConfiguration();
  }
  auto publishHealth(const std::string &name, UpstreamHealth h) -> void {
    Health.Upstreams[upstream(name).Id] = h;
    for (auto *it : Nodes.running())
      it->board().Health.publish(Health);
  }
  HealthView Health;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FlowScenarios, Fixture)

BOOST_AUTO_TEST_CASE(ReweightedUpstreamMovesNewFlowsOnly) {
  publishHealth("u1", {UpstreamFitness::Ready, 1, 25});
  run(seconds(12));
  const auto before = Opens[upstream("u1").Address];
  openMany(400);
  runAndCheckFlows();
  // At a quarter of the others' weight, 1 new flow in 17 goes to u1.
  BOOST_TEST(Opens[upstream("u1").Address] - before < 60);
}

BOOST_AUTO_TEST_CASE(ReactivatedUpstreamKeepsFlows) {
  drain("u2");
  run(seconds(5));
  openMany(100);
  upstream("u2").Mode = UpstreamMode::Active;
  acceptConfiguration();
  run(seconds(5));
  runAndCheckFlows();
}

BOOST_AUTO_TEST_CASE(ChangesInQuickSuccessionKeepFlows) {
  for (const auto *name : {"u0", "u1", "u2"}) {
    drain(name);
    run(milliseconds(700));
  }
  addUpstream("late", 60);
  upstream("u0").Mode = UpstreamMode::Active;
  acceptConfiguration();
  run(seconds(1));
  runAndCheckFlows();
}

BOOST_AUTO_TEST_CASE(InstanceAddedDuringChangeKeepsFlows) {
  drain("u2");
  run(seconds(2));
  addInstance("joiner");
  openMany(200);
  run(seconds(3));
  runAndCheckFlows();
  BOOST_TEST(controller("joiner").agreement().isCurrent());
}

BOOST_AUTO_TEST_CASE(StoppedInstanceHandsOverRecords) {
  drain("u2");
  run(seconds(4));
  openMany(200);
  run(seconds(2));
  stop("i1");
  run(seconds(5));
  BOOST_TEST(!Nodes.isRunning("i1"));
  runAndCheckFlows();
}

BOOST_AUTO_TEST_CASE(KilledInstanceBreaksNoFlow) {
  drain("u2");
  run(seconds(4));
  openMany(200);
  kill("i1", seconds(3));
  openMany(100);
  run(seconds(5));
  runAndCheckFlows();
}

BOOST_AUTO_TEST_CASE(ResumedInstanceDoesNotUseStaleTables) {
  Nodes.setPaused("i2", true);
  drain("u2");
  run(seconds(8));
  openMany(200);
  run(seconds(2));
  const auto before = Opens[upstream("u2").Address];
  Nodes.setPaused("i2", false);
  run(seconds(3));
  openMany(200);
  runAndCheckFlows();
  BOOST_TEST(counterSum("flow_outdated_total") >= 1U);
  BOOST_TEST(counterSum("flow_generations_unacknowledged_total") >= 1U);
  BOOST_TEST(Opens[upstream("u2").Address] == before);
}

BOOST_AUTO_TEST_CASE(PausedInstanceDeclaredDeadRejoins) {
  Nodes.setPaused("i2", true);
  for (auto *it : Nodes.running()) {
    auto view = *it->board().Membership.read();
    for (auto &m : view.Members)
      if (m.Id == idFromName<InstanceId>("i2"))
        m.State = MemberState::Dead;
    it->board().Membership.publish(view);
  }
  drain("u2");
  run(seconds(10));
  openMany(200);
  Nodes.setPaused("i2", false);
  Nodes.publishMembership();
  run(seconds(3));
  runAndCheckFlows();
}

BOOST_AUTO_TEST_CASE(LateConfigurationAtOneInstanceKeepsFlows) {
  addUpstream("new", 70);
  upstream("u3").Mode = UpstreamMode::Draining;
  acceptConfigurationLate("i0", seconds(6));
  run(seconds(3));
  openMany(200);
  run(seconds(6));
  runAndCheckFlows();
  BOOST_TEST(Opens[upstream("new").Address] > 0);
}

BOOST_AUTO_TEST_CASE(RepeatedConcurrentChangesKeepFlows) {
  for (int round = 0; round < 2; ++round) {
    const auto n = std::to_string(round);
    addUpstream("extra" + n, 80 + static_cast<std::uint32_t>(round));
    upstream("u" + n).Mode = UpstreamMode::Draining;
    stop("i" + n);
    acceptConfiguration();
    addInstance("x" + n);
    Nodes.setPaused("i3", true);
    openMany(100);
    run(seconds(4));
    Nodes.setPaused("i3", false);
    run(seconds(2));
  }
  run(seconds(5));
  runAndCheckFlows();
}

BOOST_AUTO_TEST_CASE(RetransmittedOpeningAtTwoInstancesIsOneFlow) {
  drain("u2");
  for (int i = 0; i < 200; ++i) {
    const auto before = Opens;
    const auto k = open();
    sendVia(randomInstance(), k, PacketKind::FlowOpen);
    run(milliseconds(20));
    int upstreams = 0;
    for (const auto &[a, n] : Opens)
      upstreams += before.contains(a) && before.at(a) == n ? 0 : 1;
    BOOST_TEST(upstreams == 1);
  }
  runAndCheckFlows();
}

BOOST_AUTO_TEST_CASE(ReorderedFirstPacketsReachOneUpstream) {
  drain("u2");
  run(seconds(3));
  for (int i = 0; i < 100; ++i) {
    const FlowKey k{
        {0x0C000001, static_cast<std::uint16_t>(i + 1)}, ServiceAddress, 6};
    Flows[k].Established = true;
    send(k, PacketKind::FlowData);
    run(milliseconds(i % 2 == 0 ? 10 : 0));
    send(k, PacketKind::FlowOpen);
    run(milliseconds(10));
    send(k, PacketKind::FlowData);
  }
  run(seconds(2));
  // In a settled slot the upstream itself receives the packets in the wrong
  // order and resets the flow; an instance without state cannot correct that.
  // In an unsettled slot no such reset may reach the caller.
  int broken = 0;
  const auto *p =
      controller("i0").agreement().find(idFromName<ServiceId>("board"));
  for (const auto &[k, f] : Flows)
    broken += f.Broken && !p->isSettled(p->slotOf(hashFlow(k))) ? 1 : 0;
  BOOST_TEST(broken == 0);
}

// Health data that wrongly reports one upstream, and then all of them, as unfit
// may move new flows only, and must not leave the service without upstreams.
BOOST_AUTO_TEST_CASE(FalseHealthKeepsFlowsAndService) {
  publishHealth("u0", {UpstreamFitness::Unfit, 0, 100});
  run(seconds(4));
  runAndCheckFlows();
  for (const auto *name : {"u1", "u2", "u3", "u4"})
    publishHealth(name, {UpstreamFitness::Unfit, 0, 100});
  run(seconds(4));
  runAndCheckFlows();
}

BOOST_AUTO_TEST_CASE(DrainedUpstreamGetsNoNewFlowWhileInstancePaused) {
  Nodes.setPaused("i3", true);
  drain("u4");
  run(seconds(5));
  const auto before = Opens[upstream("u4").Address];
  openMany(300);
  run(seconds(2));
  BOOST_TEST(Opens[upstream("u4").Address] == before);
  Nodes.setPaused("i3", false);
  run(seconds(2));
  BOOST_TEST(Opens[upstream("u4").Address] == before);
}

BOOST_AUTO_TEST_CASE(WithdrawnDataCentreGetsNoPacket) {
  Config.DataCentres.push_back(
      {idFromName<DataCentreId>("catania"), "catania", false});
  addUpstream("far", 90, "board", "catania");
  acceptConfiguration();
  run(seconds(3));
  BOOST_TEST(Opens[upstream("far").Address] == 0);
  Config.DataCentres.front().Withdrawn = true;
  acceptConfiguration();
  run(seconds(5));
  const auto before = Packets;
  openMany(100);
  run(seconds(5));
  for (const auto &u : Config.Upstreams) {
    if (u.Name == "far")
      BOOST_TEST(Opens[u.Address] >= 100);
    else
      BOOST_TEST(Packets[u.Address] == before.at(u.Address));
  }
  // Flows to the withdrawn data centre are abandoned and their callers get a
  // reset.
  BOOST_TEST(brokenFlows() == FlowCount);
}

BOOST_AUTO_TEST_CASE(ReassignedAddressGetsNoPacketsOfFormerService) {
  const Endpoint other{0x0A640002, 443};
  const auto moved = upstream("u1").Address;
  Config.Services.push_back(
      {idFromName<ServiceId>("upload"), "upload", "", other});
  addUpstream("v0", 100, "upload");
  acceptConfiguration();
  run(seconds(3));
  std::erase_if(Config.Upstreams,
                [](const Upstream &u) { return u.Name == "u1"; });
  addUpstream("v1", 1, "upload");
  BOOST_REQUIRE(upstream("v1").Address == moved);
  // Instance i2 gets the change late and meanwhile sends flows of the old
  // service to the address.
  acceptConfigurationLate("i2", seconds(6));
  // From the first packet of the new service on, the host expects packets of
  // that service alone.
  bool seen = false;
  for (int i = 0; i < 150; ++i) {
    open(other);
    run(milliseconds(100));
    if (seen || LastServiceAt[moved] != other)
      continue;
    seen = true;
    HostedService[moved] = other;
  }
  BOOST_TEST(seen);
  BOOST_TEST(Misdelivered == 0);
}

BOOST_AUTO_TEST_CASE(CachedDecisionsAreUsedUntilPortReuse) {
  drain("u2");
  run(seconds(15));
  BOOST_TEST(counterSum("flow_packets_cached_total") > 0U);
  // The flows are opened again with the same ports. The draining upstream must
  // not get them.
  std::vector<FlowKey> keys;
  for (const auto &[k, f] : Flows)
    keys.push_back(k);
  for (const auto &k : keys) {
    send(k, PacketKind::FlowClose);
    Flows[k].Closed = true;
  }
  run(seconds(2));
  const auto before = Opens[upstream("u2").Address];
  for (const auto &k : keys) {
    Flows[k] = {};
    send(k, PacketKind::FlowOpen);
  }
  run(seconds(10));
  BOOST_TEST(Opens[upstream("u2").Address] == before);
  runAndCheckFlows();
}

// An upstream that answers all flows but one: only that flow is reset towards
// its caller.
BOOST_AUTO_TEST_CASE(StalledFlowIsReset) {
  const auto k = Flows.begin()->first;
  UnansweredFlows.insert(k);
  run(seconds(120));
  BOOST_TEST(Flows.at(k).Broken);
  BOOST_TEST(brokenFlows() == 1);
  BOOST_TEST(counterSum("flow_silent_resets_total") >= 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
