#include <boost/test/unit_test.hpp>

#include "load_fixture.h"

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr LoadParts AllOff{false, false, false};

/// What one upstream can handle, in requests per second.
constexpr double PerUpstream =
    LoadFixture::Slots /
    std::chrono::duration<double>(LoadFixture::MeanWork).count();

/// What the twelve upstreams of one data centre can handle, in requests per
/// second.
constexpr double Capacity = 12 * PerUpstream;

/// A burst of the less urgent route, twice what all upstreams can handle; the
/// urgent one asks for an eighth of them throughout.
auto playBurst(LoadFixture &f) -> void {
  for (std::size_t d = 0; d < 2; ++d) {
    f.send(f.Urgent, d, Capacity / 8, seconds(12));
    f.send(f.Other, d, Capacity / 4, seconds(12));
  }
  f.run(seconds(2));
  for (std::size_t d = 0; d < 2; ++d)
    f.send(f.Other, d, 1.75 * Capacity, seconds(8));
  f.run(seconds(15));
}

} // namespace

BOOST_AUTO_TEST_SUITE(EdgeLoadAwarePolicy)

BOOST_AUTO_TEST_CASE(BurstOfLessUrgentRequestsDoesNotHarmUrgentOnes) {
  LoadFixture on;
  on.start({});
  playBurst(on);
  BOOST_TEST(on.Outcomes["orders"].inTimeShare() >= 0.97);
  BOOST_TEST(on.Outcomes["orders"].lostShare() <= 0.01);

  LoadFixture off;
  off.start(AllOff);
  playBurst(off);
  BOOST_TEST(off.Outcomes["orders"].inTimeShare() < 0.97);
  // The others lose at most 0.05 of their share.
  BOOST_TEST(on.Outcomes["prices"].inTimeShare() >=
             off.Outcomes["prices"].inTimeShare() - 0.05);
  BOOST_TEST(on.Refusals / on.Arrivals < off.Refusals / off.Arrivals);
}

BOOST_AUTO_TEST_CASE(NothingIsTurnedAwayWhileThereIsRoom) {
  LoadFixture f;
  f.start({});
  for (std::size_t d = 0; d < 2; ++d) {
    f.send(f.Urgent, d, Capacity / 8, seconds(10));
    f.send(f.Other, d, Capacity / 4, seconds(10));
  }
  f.run(seconds(12));
  BOOST_TEST(f.Outcomes["orders"].Lost == 0);
  BOOST_TEST(f.Outcomes["prices"].Lost == 0);
  BOOST_TEST(f.instance(0).Load.counts().TurnedAway == 0U);
}

// Without pressure the choices are those of Picker, draw by draw.
BOOST_AUTO_TEST_CASE(ChoosesAsPickerDoesWithoutPressure) {
  LoadFixture on;
  on.start({});
  LoadFixture off;
  off.start(AllOff);
  for (auto *f : {&on, &off}) {
    f->send(f->Urgent, 0, Capacity / 8, seconds(5));
    f->send(f->Other, 1, Capacity / 4, seconds(5));
    f->run(seconds(6));
  }
  BOOST_TEST((on.ArrivalsOf == off.ArrivalsOf));
}

BOOST_AUTO_TEST_CASE(BurstOfOneDataCentreGoesToTheOther) {
  const auto play = [](LoadFixture &f) {
    f.send(f.Other, 0, 1.4 * Capacity, seconds(10));
    f.send(f.Other, 1, 0.2 * Capacity, seconds(10));
    f.run(seconds(13));
  };
  LoadFixture on;
  on.start({});
  play(on);
  LoadFixture off;
  off.start({.Overflow = false});
  play(off);
  const auto busy = LoadFixture::dataCentre(0);
  BOOST_TEST(on.OutcomesByDataCentre[busy].inTimeShare() >= 0.93);
  BOOST_TEST(on.OutcomesByDataCentre[busy].inTimeShare() >
             off.OutcomesByDataCentre[busy].inTimeShare());
  // The callers of the other one are served as well as before.
  BOOST_TEST(
      on.OutcomesByDataCentre[LoadFixture::dataCentre(1)].inTimeShare() >=
      0.97);
}

// Two of every five upstreams become five times slower under a load that the
// others can just handle.
BOOST_AUTO_TEST_CASE(SlowUpstreamsMakeFewAnswersLate) {
  const auto play = [](LoadFixture &f) {
    f.send(f.Other, 0, Capacity / 2, seconds(14));
    f.send(f.Other, 1, Capacity / 2, seconds(14));
    f.run(seconds(2));
    for (std::size_t i = 0; i < f.upstreams().size(); ++i)
      if (i % 5 < 2)
        f.upstreams()[i].Speed = 0.2;
    f.run(seconds(2));
    f.Outcomes.clear();
    f.run(seconds(12));
  };
  LoadFixture on;
  on.start({});
  play(on);
  LoadFixture off;
  off.start(AllOff);
  play(off);
  BOOST_TEST(on.Outcomes["prices"].inTimeShare() >= 0.9);
  BOOST_TEST(on.Outcomes["prices"].inTimeShare() >
             off.Outcomes["prices"].inTimeShare());
}

BOOST_AUTO_TEST_CASE(InstancesKilledInTheBurstHarmNoUrgentRequest) {
  LoadFixture f;
  f.start({});
  f.after(seconds(5), [&] {
    for (const auto i : {0U, 3U, 7U})
      f.instance(i).IsRunning = false;
  });
  playBurst(f);
  BOOST_TEST(f.Outcomes["orders"].inTimeShare() >= 0.95);
}

// The new process knows nothing of the load, as after an outage of power.
BOOST_AUTO_TEST_CASE(InstancesRestartedInTheBurstHarmNoUrgentRequest) {
  LoadFixture f;
  f.start({});
  f.after(seconds(5), [&] {
    for (std::size_t i = 0; i < 6; ++i)
      f.restart(i);
  });
  playBurst(f);
  BOOST_TEST(f.Outcomes["orders"].inTimeShare() >= 0.95);
}

// Members that the instance does not know share upstreams with it unseen.
BOOST_AUTO_TEST_CASE(OutdatedMemberListHarmsNoUrgentRequest) {
  LoadFixture f;
  f.start({});
  for (std::size_t i = 0; i < 12; i += 2)
    f.instance(i).Subsets.setMembers({});
  playBurst(f);
  BOOST_TEST(f.Outcomes["orders"].inTimeShare() >= 0.95);
}

BOOST_AUTO_TEST_CASE(WithdrawnDataCentreGetsNothingInTheBurst) {
  LoadFixture f;
  f.start({});
  f.after(seconds(5), [&] { f.withdraw(1); });
  playBurst(f);
  f.ArrivalsOf.clear();
  f.send(f.Other, 0, 3 * Capacity, seconds(2));
  f.run(seconds(3));
  for (const auto &[name, n] : f.ArrivalsOf)
    BOOST_TEST(name.starts_with("u-0-"), name << " got " << n);
}

BOOST_AUTO_TEST_CASE(RetransmittedOpeningIsNotTurnedAway) {
  LoadFixture f;
  f.start({});
  f.send(f.Other, 0, 6 * Capacity, seconds(3));
  f.run(seconds(2));
  auto &it = f.instance(0);
  BOOST_TEST_REQUIRE(it.Load.isUnderPressure(f.Service));
  auto turnedAway = 0;
  for (int i = 0; i < 20; ++i) {
    const auto p = it.Policy.pick({.Route = f.Other}, f.Time.now());
    turnedAway += p.Reason == PickReason::Full ? 1 : 0;
    if (p.Upstream != nullptr)
      it.Load.onSent(f.Other, *p.Upstream, f.Time.now());
  }
  BOOST_TEST(turnedAway > 0);
  const auto p = it.Policy.pick({.Route = f.Other, .IsRetransmission = true},
                                f.Time.now());
  BOOST_TEST(p.Upstream != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
