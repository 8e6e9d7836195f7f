#include "edge/load/concurrency_limits.h"

#include <boost/test/unit_test.hpp>

#include "boragebridge/clock.h"

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct LimitsFixture {
  ManualClock Time;
  ConcurrencyLimits Limits;

  static auto upstream(UpstreamIndex i = 0, std::uint32_t tag = 1)
      -> UpstreamLifetime {
    UpstreamLifetime u;
    u.Index = i;
    u.Tag = UpstreamTag{tag};
    u.Record.Slots = 2;
    return u;
  }
  /// Sends a request that is answered after \p took.
  auto answer(const UpstreamLifetime &u, Duration took, bool isSlow = false)
      -> void {
    const auto sentAt = Time.now();
    Limits.onSent(u, sentAt);
    Time.advance(took);
    Limits.onAnswered(u, sentAt, took, isSlow, Time.now());
  }
  /// Keeps \p n requests in progress that are answered in time.
  auto answerWhileFull(const UpstreamLifetime &u, int n) -> void {
    for (int i = 0; i < n; ++i) {
      const auto sentAt = Time.now();
      while (Limits.hasRoom(u, sentAt))
        Limits.onSent(u, sentAt);
      Time.advance(milliseconds(5));
      Limits.onAnswered(u, sentAt, Time.now() - sentAt, false, Time.now());
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EdgeConcurrencyLimits, LimitsFixture)

BOOST_AUTO_TEST_CASE(SlotsAreTheFirstGuess) {
  const auto u = upstream();
  BOOST_TEST(Limits.limit(u) == 2);
  Limits.onSent(u, Time.now());
  BOOST_TEST(Limits.hasRoom(u, Time.now()));
  Limits.onSent(u, Time.now());
  BOOST_TEST(!Limits.hasRoom(u, Time.now()));
}

BOOST_AUTO_TEST_CASE(AnsweredRequestMakesRoom) {
  const auto u = upstream();
  const auto sentAt = Time.now();
  Limits.onSent(u, sentAt);
  Limits.onSent(u, sentAt);
  Time.advance(milliseconds(50));
  Limits.onAnswered(u, sentAt, Time.now() - sentAt, false, Time.now());
  BOOST_TEST(Limits.hasRoom(u, Time.now()));
}

BOOST_AUTO_TEST_CASE(RequestsWithoutAnswerAreForgotten) {
  const auto u = upstream();
  Limits.onSent(u, Time.now());
  Limits.onSent(u, Time.now());
  Time.advance(seconds(3));
  BOOST_TEST(Limits.hasRoom(u, Time.now()));
  BOOST_TEST(Limits.inProgress(u, Time.now()) < 0.2);
}

BOOST_AUTO_TEST_CASE(LimitRisesOnlyWhileItIsReached) {
  const auto u = upstream();
  for (int i = 0; i < 100; ++i)
    answer(u, milliseconds(5));
  BOOST_TEST(Limits.limit(u) == 2);
  answerWhileFull(u, 100);
  BOOST_TEST(Limits.limit(u) > 3);
}

BOOST_AUTO_TEST_CASE(RefusalAndSlownessLowerTheLimitAtOnce) {
  const auto u = upstream();
  answerWhileFull(u, 100);
  const auto before = Limits.limit(u);
  Time.advance(milliseconds(200));
  answer(u, milliseconds(400), true);
  const auto afterSlow = Limits.limit(u);
  BOOST_TEST(afterSlow < before);
  Time.advance(milliseconds(200));
  Limits.onRefused(u, Time.now(), Time.now());
  BOOST_TEST(Limits.limit(u) < 0.8 * afterSlow);
}

BOOST_AUTO_TEST_CASE(RefusalsTogetherCountOnce) {
  const auto u = upstream();
  for (int i = 0; i < 10; ++i)
    Limits.onRefused(u, Time.now(), Time.now());
  BOOST_TEST(Limits.limit(u) == 1.4, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(UpstreamAlwaysTakesOneRequest) {
  const auto u = upstream();
  for (int i = 0; i < 50; ++i) {
    Limits.onRefused(u, Time.now(), Time.now());
    Time.advance(milliseconds(200));
  }
  BOOST_TEST(Limits.limit(u) == ConcurrencyLimits::MinLimit);
  BOOST_TEST(Limits.hasRoom(u, Time.now()));
}

BOOST_AUTO_TEST_CASE(LaterLifetimeStartsAnew) {
  const auto u = upstream();
  Limits.onRefused(u, Time.now(), Time.now());
  BOOST_TEST(Limits.limit(u) < 2);
  const auto later = upstream(0, 2);
  BOOST_TEST(Limits.limit(later) == 2);
  Limits.onSent(later, Time.now());
  BOOST_TEST(Limits.limit(later) == 2);
  BOOST_TEST(Limits.inProgress(u, Time.now()) == 0);
}

BOOST_AUTO_TEST_CASE(FollowsAChangeOfSpeedWithinTwoSeconds) {
  const auto slow = upstream(0, 1);
  const auto fast = upstream(1, 2);
  for (int i = 0; i < 20; ++i) {
    answer(slow, milliseconds(50));
    answer(fast, milliseconds(50));
  }
  for (int i = 0; i < 4; ++i) {
    answer(slow, milliseconds(250));
    answer(fast, milliseconds(50));
  }
  BOOST_TEST((Limits.responseTime(slow, Time.now()) >
              2 * Limits.responseTime(fast, Time.now())));
}

BOOST_AUTO_TEST_CASE(SpeedOfAnUnusedUpstreamIsForgotten) {
  const auto slow = upstream(0, 1);
  const auto fast = upstream(1, 2);
  answer(slow, milliseconds(900));
  for (int i = 0; i < 200; ++i)
    answer(fast, milliseconds(50));
  Time.advance(seconds(30));
  BOOST_TEST((Limits.responseTime(slow, Time.now()) < milliseconds(120)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
