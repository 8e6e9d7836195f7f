#include "health/health_assessor.h"

#include "boragebridge/clock.h"
#include "health/health_status_gossip.h"
#include "health/speed.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;

namespace boragebridge {

namespace {

struct HealthAssessorFixture {
  ManualClock Time;
  HealthAssessor Assessor;

  auto answer(std::uint16_t n, std::chrono::microseconds latency = 50ms)
      -> void {
    Time.advance(100ms);
    Assessor.apply({ObservationKind::Answers, n, latency}, Time.now());
  }
  auto observe(ObservationKind kind) -> void {
    Assessor.apply({kind}, Time.now());
  }
  auto fitness() const -> UpstreamFitness { return Assessor.status().Fitness; }
  auto makeReady() -> void {
    for (auto i = 0; i < 300; ++i)
      answer(2);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HealthAssessorTest, HealthAssessorFixture)

BOOST_AUTO_TEST_CASE(OnlyAnswersRaiseTheRampAndAtALimitedRate) {
  observe(ObservationKind::ProbeAnswered);
  Time.advance(1min);
  BOOST_TEST((fitness() == UpstreamFitness::Cold));
  answer(1);
  answer(1000);
  answer(1000);
  BOOST_TEST((fitness() != UpstreamFitness::Ready));
  for (auto i = 0; i < 50; ++i)
    answer(1);
  BOOST_TEST((fitness() == UpstreamFitness::Ready));
}

BOOST_AUTO_TEST_CASE(ColdRefusalMarksColdAndLengthensTheBackoff) {
  makeReady();
  observe(ObservationKind::ColdRefusals);
  BOOST_TEST((fitness() == UpstreamFitness::Cold));
  BOOST_TEST(Assessor.isBackingOff(Time.now()));
  Time.advance(HealthAssessor::InitialTrialBackoff);
  BOOST_TEST(!Assessor.isBackingOff(Time.now()));
  observe(ObservationKind::ColdRefusals);
  Time.advance(HealthAssessor::InitialTrialBackoff);
  BOOST_TEST(Assessor.isBackingOff(Time.now()));
}

BOOST_AUTO_TEST_CASE(LatencyFarAboveHistoryMarksCold) {
  makeReady();
  for (auto i = 0; i < 20 && fitness() == UpstreamFitness::Ready; ++i)
    answer(1, 400ms);
  BOOST_TEST((fitness() == UpstreamFitness::Cold));
}

BOOST_AUTO_TEST_CASE(RecentAnswerOutranksTimeoutsProbesAndReports) {
  makeReady();
  for (auto kind :
       {ObservationKind::Timeouts, ObservationKind::Timeouts,
        ObservationKind::Timeouts, ObservationKind::ProbesUnanswered,
        ObservationKind::ReportedCold})
    observe(kind);
  BOOST_TEST((fitness() == UpstreamFitness::Ready));
  Time.advance(HealthAssessor::RecentAnswerTime);
  observe(ObservationKind::ProbesUnanswered);
  BOOST_TEST((fitness() == UpstreamFitness::Unfit));
  observe(ObservationKind::ProbeAnswered);
  BOOST_TEST((fitness() == UpstreamFitness::Cold));
}

BOOST_AUTO_TEST_CASE(LatencyChangesByAtMostTenPercentPerSecond) {
  makeReady();
  const auto before = Assessor.status().Latency;
  for (auto i = 0; i < 10; ++i)
    answer(500, 90ms);
  BOOST_TEST(Assessor.status().Latency.count() > before.count());
  BOOST_TEST(Assessor.status().Latency.count() <= before.count() * 11 / 10);
}

BOOST_AUTO_TEST_CASE(UnprobedTrialStartsOnlyAfterItsDelay) {
  for (auto i = 0; i < 3; ++i)
    observe(ObservationKind::Timeouts);
  BOOST_TEST((fitness() == UpstreamFitness::Unfit));
  BOOST_TEST(!Assessor.retryUnprobed(Time.now()));
  Time.advance(HealthAssessor::UnprobedTrialDelay);
  BOOST_TEST(Assessor.retryUnprobed(Time.now()));
  observe(ObservationKind::Timeouts);
  BOOST_TEST((fitness() == UpstreamFitness::Unfit));
}

BOOST_AUTO_TEST_CASE(HigherVersionWinsThenMoreCautiousFitness) {
  const HealthStatus ready{3, UpstreamFitness::Ready, 100, {}, false};
  const HealthStatus cold{3, UpstreamFitness::Cold, 0, {}, false};
  const HealthStatus unfit{2, UpstreamFitness::Unfit, 0, {}, false};
  BOOST_TEST(replaces(cold, ready));
  BOOST_TEST(!replaces(ready, cold));
  BOOST_TEST(!replaces(unfit, ready));
}

BOOST_AUTO_TEST_CASE(SpeedsFollowLatenciesOnTheConfiguredScale) {
  const auto speeds = deriveSpeeds({{100, 50ms}, {100, 400ms}, {30, {}}});
  BOOST_TEST(speeds[0] == 178);
  BOOST_TEST(speeds[1] == 22);
  BOOST_TEST(speeds[2] == 30);
}

BOOST_AUTO_TEST_CASE(GossipStaysWithinByteBudgetAndQueueLimit) {
  HealthStatusGossip gossip;
  for (std::uint64_t n = 1; n <= HealthStatusGossip::WaitingLimit + 10; ++n)
    gossip.add(UpstreamId{n}, 8, false);
  BOOST_TEST(gossip.waiting() == HealthStatusGossip::WaitingLimit);
  BOOST_TEST(gossip.dropped() == 10);
  constexpr std::size_t MessageBytes = 1000;
  std::size_t sent = 0;
  for (auto i = 0; i < 1000; ++i) {
    Time.advance(10ms);
    if (gossip.takeRound(Time.now()).empty())
      continue;
    gossip.charge(MessageBytes);
    sent += MessageBytes;
  }
  BOOST_TEST(static_cast<double>(sent) <=
             HealthStatusGossip::BurstBytes +
                 (10 * HealthStatusGossip::BytesPerSecond) + MessageBytes);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
