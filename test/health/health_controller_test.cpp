#include "health/health_controller.h"

#include "health/health_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;

namespace boragebridge {

namespace {

struct HealthFixture {
  fakes::HealthFleet Fleet{11};

  auto countCrashes() const -> std::uint64_t {
    std::uint64_t n = 0;
    for (const auto &it : Fleet.Hosts)
      n += it->counts().Crashes;
    return n;
  }
  auto countColdOverLimit() const -> std::uint64_t {
    std::uint64_t n = 0;
    for (const auto &it : Fleet.Hosts)
      n += it->counts().ColdOverLimit;
    return n;
  }
  /// Adds \p n warm upstreams and runs long enough for every instance to see
  /// them as Ready.
  auto makeReady(std::size_t n) -> void {
    Fleet.addUpstreams(n, false);
    Fleet.run(30s, 30);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HealthControllerTest, HealthFixture)

BOOST_AUTO_TEST_CASE(OneInstanceAdmitsToEachColdUpstream) {
  Fleet.addUpstreams(6, true);
  Fleet.run(2s, 200);
  for (std::size_t n = 0; n < 6; ++n)
    BOOST_TEST(Fleet.countAdmitting(n) == 1);
  Fleet.run(30s, 200);
  for (std::size_t n = 0; n < 6; ++n)
    BOOST_TEST(Fleet.countFitness(n, UpstreamFitness::Ready) == 8);
  BOOST_TEST(countCrashes() == 0);
  BOOST_TEST(countColdOverLimit() == 0);
}

BOOST_AUTO_TEST_CASE(UpstreamThatTurnsColdUnderLoadDoesNotCrash) {
  makeReady(6);
  Fleet.Hosts[0]->turnCold(Fleet.Instances.Time.now());
  // Several instances send at the same moment, before any of them knows that
  // the upstream is cold.
  for (auto *it : Fleet.Instances.running())
    if (Fleet.Hosts[0]->counts().ColdOverLimit < 4)
      Fleet.send(*it, 0);
  Fleet.run(300ms, 200);
  BOOST_TEST(Fleet.countFitness(0, UpstreamFitness::Cold) == 8);
  BOOST_TEST(Fleet.countAdmitting(0) <= 1);
  Fleet.run(30s, 200);
  BOOST_TEST(countCrashes() == 0);
  BOOST_TEST(Fleet.countFitness(0, UpstreamFitness::Ready) == 8);
}

BOOST_AUTO_TEST_CASE(RestartedUpstreamAtSameAddressStartsCold) {
  makeReady(4);
  Fleet.Hosts[1]->kill(Fleet.Instances.Time.now());
  Fleet.run(5s, 100);
  BOOST_TEST(Fleet.countFitness(1, UpstreamFitness::Unfit) == 8);
  BOOST_TEST(Fleet.countAdmitting(1) == 0);
  Fleet.Hosts[1]->restart(Fleet.Instances.Time.now());
  Fleet.run(30s, 200);
  BOOST_TEST(countCrashes() == 0);
  BOOST_TEST(countColdOverLimit() == 0);
  BOOST_TEST(Fleet.countFitness(1, UpstreamFitness::Ready) == 8);
}

BOOST_AUTO_TEST_CASE(QuickRestartIsDetectedByIncarnation) {
  makeReady(4);
  Fleet.Hosts[1]->restart(Fleet.Instances.Time.now());
  Fleet.run(2s, 0);
  BOOST_TEST(Fleet.countFitness(1, UpstreamFitness::Cold) == 8);
}

BOOST_AUTO_TEST_CASE(MissingReportsLeaveAnAnsweringUpstreamInUse) {
  makeReady(4);
  for (auto &it : Fleet.Hosts)
    it->setFaults(fakes::ReportFaults{.Missing = true});
  Fleet.run(10s, 50);
  for (std::size_t n = 0; n < 4; ++n)
    BOOST_TEST(Fleet.countFitness(n, UpstreamFitness::Ready) == 8);
}

BOOST_AUTO_TEST_CASE(HalfStayUsableWhenNoProbeIsAnswered) {
  makeReady(6);
  for (auto &it : Fleet.Hosts)
    it->setFaults(fakes::ReportFaults{.Missing = true});
  Fleet.run(20s, 0);
  for (auto *it : Fleet.Instances.running()) {
    std::size_t usable = 0;
    for (std::size_t n = 0; n < 6; ++n)
      usable += Fleet.view(it->identity().Name, n).MayAdmit ? 1 : 0;
    BOOST_TEST(usable >= 3);
  }
}

BOOST_AUTO_TEST_CASE(FullReportsDoNotOutrankAnswers) {
  makeReady(4);
  for (auto &it : Fleet.Hosts)
    it->setFaults(fakes::ReportFaults{.ClaimsFull = true});
  Fleet.run(10s, 50);
  for (std::size_t n = 0; n < 4; ++n)
    BOOST_TEST(Fleet.countFitness(n, UpstreamFitness::Ready) == 8);
}

BOOST_AUTO_TEST_CASE(SheddingLowersTheRampSlowlyAndRecovers) {
  makeReady(4);
  Fleet.Hosts[2]->setShedding(true);
  Fleet.run(1s, 100);
  // Shedding lowers the ramp by at most 20% of full load per second, plus one
  // step of 100 ms (2%).
  BOOST_TEST(Fleet.view("i0", 2).Ramp >= 0.78);
  Fleet.run(9s, 100);
  BOOST_TEST(Fleet.view("i0", 2).Ramp <= 0.2);
  Fleet.Hosts[2]->setShedding(false);
  Fleet.run(20s, 100);
  BOOST_TEST(Fleet.view("i0", 2).Ramp == 1.0);
}

BOOST_AUTO_TEST_CASE(WithdrawnDataCentreIsNotProbedAndReturnsCold) {
  makeReady(3);
  auto &dc = Fleet.Config.DataCentres.front();
  dc.Withdrawn = true;
  Fleet.publish();
  std::size_t probes = 0;
  auto deliver = Fleet.Instances.OnUpstreamPacket;
  Fleet.Instances.OnUpstreamPacket = [&](auto &from, const auto &to,
                                         const auto &p) {
    ++probes;
    deliver(from, to, p);
  };
  Fleet.run(5s, 50);
  BOOST_TEST(probes == 0);
  BOOST_TEST(Fleet.countAdmitting(0) == 0);
  dc.Withdrawn = false;
  Fleet.publish();
  Fleet.run(600ms, 0);
  BOOST_TEST(Fleet.countFitness(0, UpstreamFitness::Cold) == 8);
  BOOST_TEST(Fleet.countAdmitting(0) == 1);
}

BOOST_AUTO_TEST_CASE(RestartedInstanceFetchesHealthStatuses) {
  makeReady(5);
  Fleet.Instances.kill("i3");
  Fleet.Instances.publishMembership();
  Fleet.Instances.addInstance("i3", "pa");
  Fleet.publish();
  Fleet.run(3s, 0);
  for (std::size_t n = 0; n < 5; ++n)
    BOOST_TEST(Fleet.countFitness(n, UpstreamFitness::Ready) == 8);
}

BOOST_AUTO_TEST_CASE(AnotherInstanceTakesOverFromDeadOwner) {
  Fleet.addUpstreams(1, true);
  Fleet.run(2s, 20);
  for (auto *it : Fleet.Instances.running()) {
    const auto name = it->identity().Name;
    if (!Fleet.view(name, 0).MayAdmit)
      continue;
    Fleet.Instances.kill(name);
    break;
  }
  Fleet.publish();
  Fleet.run(30s, 100);
  BOOST_TEST(Fleet.countFitness(0, UpstreamFitness::Ready) == 7);
  BOOST_TEST(countCrashes() == 0);
}

BOOST_AUTO_TEST_CASE(ProbesPerInstanceDoNotGrowWithTheFleet) {
  fakes::HealthFleet large(5, 32);
  large.addUpstreams(32, false);
  large.run(10s, 0);
  for (auto *it : large.Instances.running()) {
    // Two probers per upstream send two probes per second each; three times the
    // mean allows for uneven hashing.
    const auto sent = it->metrics().counterValue("health_probes_sent_total");
    BOOST_TEST(sent <= 3 * 2 * 2 * 10);
  }
}

BOOST_AUTO_TEST_CASE(FlowTrafficAloneWarmsUpAnUpstream) {
  Fleet.addUpstreams(1, false);
  const auto &address = Fleet.Config.Upstreams[0].Address;
  for (auto i = 0; i < 100; ++i) {
    Fleet.run(100ms, 0);
    Fleet.Instances.fromUpstream("i2", address, {PacketKind::FlowData, {}, {}});
  }
  BOOST_TEST(Fleet.countFitness(0, UpstreamFitness::Cold) == 0);
  Fleet.run(20s, 0);
  BOOST_TEST(Fleet.countFitness(0, UpstreamFitness::Unfit) == 0);
}

BOOST_AUTO_TEST_CASE(MalformedFramesAndReportsAreRefused) {
  Fleet.addUpstreams(1, false);
  auto &it = Fleet.Instances.instance("i0");
  for (std::uint8_t n = 0; n < 6; ++n) {
    const auto kind = messageKind(MessageFamily::Health, n);
    BOOST_TEST(!it.onPeerFrame({{}, {}, {}, kind, Bytes(7)}));
  }
  it.onPacket(PacketOrigin::Upstream, Fleet.Config.Upstreams[0].Address,
              {PacketKind::Report, {}, Bytes(3)});
  BOOST_TEST(it.metrics().counterValue("health_reports_bad_total") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
