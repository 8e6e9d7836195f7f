#include "health/health_assessor.h"

#include "boragebridge/clock.h"
#include "health/health_status_gossip.h"
#include "health/speed.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;

namespace boragebridge {

namespace {

struct AssessmentFixture {
  ManualClock Time;
  Assessment State;

  auto answer(std::uint16_t n, std::chrono::microseconds latency = 50ms)
      -> void {
    Time.advance(100ms);
    State.apply({Sign::Answers, n, latency}, Time.now());
  }
  auto see(Sign s) -> void { State.apply({s}, Time.now()); }
  auto fitness() const -> UpstreamFitness { return State.opinion().Fitness; }
  auto makeReady() -> void {
    for (auto i = 0; i < 300; ++i)
      answer(2);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AssessmentTest, AssessmentFixture)

BOOST_AUTO_TEST_CASE(OnlyGoodAnswersWarmUpAndNotFasterThanTheRamp) {
  see(Sign::ProbeAnswered);
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

BOOST_AUTO_TEST_CASE(ColdRefusalStartsOverAndWaitsLongerEachTime) {
  makeReady();
  see(Sign::ColdRefusals);
  BOOST_TEST((fitness() == UpstreamFitness::Cold));
  BOOST_TEST(State.isWaiting(Time.now()));
  Time.advance(Assessment::FirstTrialWait);
  BOOST_TEST(!State.isWaiting(Time.now()));
  see(Sign::ColdRefusals);
  Time.advance(Assessment::FirstTrialWait);
  BOOST_TEST(State.isWaiting(Time.now()));
}

BOOST_AUTO_TEST_CASE(DelayFarAboveHistoryIsASignOfCold) {
  makeReady();
  for (auto i = 0; i < 20 && fitness() == UpstreamFitness::Ready; ++i)
    answer(1, 400ms);
  BOOST_TEST((fitness() == UpstreamFitness::Cold));
}

BOOST_AUTO_TEST_CASE(TimeoutsProbesAndReportsDoNotOutrankAnAnswer) {
  makeReady();
  for (auto s : {Sign::Timeouts, Sign::Timeouts, Sign::Timeouts,
                 Sign::ProbeSilence, Sign::ReportedCold})
    see(s);
  BOOST_TEST((fitness() == UpstreamFitness::Ready));
  Time.advance(Assessment::AnswerOutranks);
  see(Sign::ProbeSilence);
  BOOST_TEST((fitness() == UpstreamFitness::Unfit));
  see(Sign::ProbeAnswered);
  BOOST_TEST((fitness() == UpstreamFitness::Cold));
}

BOOST_AUTO_TEST_CASE(LatencyMovesByAtMostATenthASecond) {
  makeReady();
  const auto before = State.opinion().Latency;
  for (auto i = 0; i < 10; ++i)
    answer(500, 90ms);
  BOOST_TEST(State.opinion().Latency.count() > before.count());
  BOOST_TEST(State.opinion().Latency.count() <= before.count() * 11 / 10);
}

BOOST_AUTO_TEST_CASE(BlindTrialComesOnlyAfterItsWait) {
  for (auto i = 0; i < 3; ++i)
    see(Sign::Timeouts);
  BOOST_TEST((fitness() == UpstreamFitness::Unfit));
  BOOST_TEST(!State.retryBlindly(Time.now()));
  Time.advance(Assessment::BlindTrialWait);
  BOOST_TEST(State.retryBlindly(Time.now()));
  see(Sign::Timeouts);
  BOOST_TEST((fitness() == UpstreamFitness::Unfit));
}

BOOST_AUTO_TEST_CASE(HigherVersionWinsThenTheMoreCautious) {
  const Opinion ready{3, UpstreamFitness::Ready, 100, {}, false};
  const Opinion cold{3, UpstreamFitness::Cold, 0, {}, false};
  const Opinion unfit{2, UpstreamFitness::Unfit, 0, {}, false};
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

BOOST_AUTO_TEST_CASE(GossipKeepsItsByteBudgetAndItsLimit) {
  OpinionGossip gossip;
  for (std::uint64_t n = 1; n <= OpinionGossip::WaitingLimit + 10; ++n)
    gossip.add(UpstreamId{n}, 8, false);
  BOOST_TEST(gossip.waiting() == OpinionGossip::WaitingLimit);
  BOOST_TEST(gossip.dropped() == 10);
  constexpr std::size_t MessageBytes = 1000;
  std::size_t sent = 0;
  for (auto i = 0; i < 1000; ++i) {
    Time.advance(10ms);
    if (gossip.takeRound(Time.now()).empty())
      continue;
    gossip.spend(MessageBytes);
    sent += MessageBytes;
  }
  BOOST_TEST(static_cast<double>(sent) <=
             OpinionGossip::BurstBytes + (10 * OpinionGossip::BytesPerSecond) +
                 MessageBytes);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
