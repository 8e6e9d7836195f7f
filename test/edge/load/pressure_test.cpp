#include "edge/load/pressure.h"

#include <boost/test/unit_test.hpp>

#include "boragebridge/clock.h"

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct PressureFixture {
  ManualClock Time;
  Pressure State;

  /// A hundred requests a second for \p d; every \p n th fails, none if 0.
  auto play(Duration d, int n) -> void {
    constexpr Duration Step = milliseconds(10);
    for (int i = 1; d > Duration::zero(); ++i, d -= Step) {
      Time.advance(Step);
      if (n != 0 && i % n == 0)
        State.onMissed(Time.now());
      else
        State.onMet(Time.now());
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EdgePressure, PressureFixture)

BOOST_AUTO_TEST_CASE(FewFailuresAreNoPressure) {
  play(seconds(10), 20);
  BOOST_TEST(!State.isOn());
}

BOOST_AUTO_TEST_CASE(ManyFailuresArePressureWithinASecond) {
  play(seconds(5), 0);
  play(seconds(1), 4);
  BOOST_TEST(State.isOn());
}

BOOST_AUTO_TEST_CASE(SingleFailuresAreNoPressure) {
  State.onMissed(Time.now());
  State.onMissed(Time.now());
  BOOST_TEST(!State.isOn());
}

BOOST_AUTO_TEST_CASE(EndsOnlyAfterAQuietTime) {
  play(seconds(2), 3);
  BOOST_TEST_REQUIRE(State.isOn());
  play(seconds(2), 0);
  BOOST_TEST(State.isOn());
  play(seconds(5), 0);
  BOOST_TEST(!State.isOn());
}

BOOST_AUTO_TEST_CASE(EndsWithoutRequests) {
  play(seconds(2), 3);
  for (int i = 0; i < 12; ++i) {
    Time.advance(seconds(1));
    State.tick(Time.now());
  }
  BOOST_TEST(!State.isOn());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
