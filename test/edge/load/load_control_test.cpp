#include "edge/load/load_control.h"

#include <boost/test/unit_test.hpp>

#include "boragebridge/clock.h"

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct LoadControlFixture {
  LoadControlFixture() {
    Upstream.Tag = UpstreamTag{1};
    Upstream.Record.Service = Service;
    Upstream.Record.Slots = 2;
  }

  auto route(unsigned priority, Duration target = milliseconds(600)) const
      -> RouteRecord {
    return {"r", {}, {{Service, 1}}, priority, target};
  }
  auto answer(const RouteRecord &r, Duration took) -> void {
    const auto sentAt = Time.now();
    Load.onSent(r, Upstream, sentAt);
    Time.advance(took);
    Load.onAnswered(r, Upstream, sentAt, Time.now());
  }
  auto refuse(const RouteRecord &r) -> void {
    Load.onSent(r, Upstream, Time.now());
    Load.onRefused(Upstream, Time.now(), Time.now());
  }

  const ServiceId Service = idFromName<ServiceId>("shop");
  ManualClock Time;
  UpstreamLifetime Upstream;
  LoadControl Load;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EdgeLoadControl, LoadControlFixture)

BOOST_AUTO_TEST_CASE(NothingIsReservedWithoutPressure) {
  for (int i = 0; i < 20; ++i) {
    answer(route(1), milliseconds(10));
    answer(route(2), milliseconds(10));
  }
  BOOST_TEST(!Load.isUnderPressure(Service));
  BOOST_TEST(Load.reservedShare(Service, 2, Time.now()) == 0);
}

BOOST_AUTO_TEST_CASE(UpstreamsAreReservedForMoreUrgentRoutesAsNeeded) {
  for (int i = 0; i < 30; ++i) {
    for (int k = 0; k < 9; ++k)
      answer(route(2), milliseconds(1));
    answer(route(1), milliseconds(1));
    for (int k = 0; k < 5; ++k)
      refuse(route(2));
  }
  BOOST_TEST_REQUIRE(Load.isUnderPressure(Service));
  const auto share = Load.reservedShare(Service, 2, Time.now());
  BOOST_TEST((share > 0.1 && share < 0.2), "reserved " << share);
  BOOST_TEST(Load.reservedShare(Service, 1, Time.now()) == 0);
  BOOST_TEST(Load.leastUrgentPriority(Service, Time.now()) == 2U);
}

BOOST_AUTO_TEST_CASE(UrgentRoutesNeverReserveEverything) {
  for (int i = 0; i < 50; ++i) {
    answer(route(1), milliseconds(5));
    refuse(route(2));
  }
  BOOST_TEST(Load.reservedShare(Service, 2, Time.now()) <= 0.5);
}

BOOST_AUTO_TEST_CASE(RouteWithoutTargetIsNeverLate) {
  answer(route(1, Duration::zero()), seconds(3));
  BOOST_TEST(Load.counts().Late == 0U);
  answer(route(1), seconds(3));
  BOOST_TEST(Load.counts().Late == 1U);
}

BOOST_AUTO_TEST_CASE(LateAnswersArePressure) {
  const auto sentAt = Time.now();
  Time.advance(milliseconds(700));
  for (int i = 0; i < 10; ++i)
    Load.onAnswered(route(1), Upstream, sentAt, Time.now());
  BOOST_TEST(Load.isUnderPressure(Service));
}

// A caller acknowledges a short answer up to 45 ms after it came.
BOOST_AUTO_TEST_CASE(TimeThatTheCallerTakesIsNotLateness) {
  const auto sentAt = Time.now();
  Time.advance(milliseconds(640));
  Load.onAnswered(route(1), Upstream, sentAt, Time.now(), milliseconds(45));
  BOOST_TEST(Load.counts().Late == 0U);
  Load.onAnswered(route(1), Upstream, sentAt, Time.now());
  BOOST_TEST(Load.counts().Late == 1U);
}

BOOST_AUTO_TEST_CASE(ReportsChangesOnce) {
  for (int i = 0; i < 10; ++i)
    refuse(route(1));
  const auto changes = Load.takeChanges();
  BOOST_TEST_REQUIRE(changes.size() == 1U);
  BOOST_TEST((changes.front() == Service));
  BOOST_TEST(Load.takeChanges().empty());
}

BOOST_AUTO_TEST_CASE(PressureOfOneServiceDoesNotAffectAnother) {
  for (int i = 0; i < 10; ++i)
    refuse(route(1));
  BOOST_TEST(Load.pressedServices() == 1U);
  BOOST_TEST(!Load.isUnderPressure(idFromName<ServiceId>("other")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
