// The views of an instance whose store loses an answer to a watch.
#include <boost/test/unit_test.hpp>

#include "edge_views_fixture.h"
#include "fakes/fake_platform.h"

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// An instance over a store on a manual clock. Polls always return what the
/// store had long ago.
struct LostAnswerFixture {
  ManualClock Time;
  fakes::FakeNetwork Timer{Time, 1};
  fakes::ObjectStore Store{Time};
  fakes::PlatformFaults Faults;
  InstanceIdentity Identity{"a", InstanceId{1}, {}, DataCentreId{1}, {}, {}};
  fakes::FakePlatform Client{Store, Timer, Faults, Identity};
  SeededRandom Random{1};
  NullEventLog Log;
  UpstreamDirectory Directory;
  ColdStartQuota Quota{"a", {.Factor = 1, .Slack = 5}};
  users::RecordCodec Format;
  MirroredPlatform Platform{Client, Time,
                            [](const Endpoint &, MirrorView) {
                              return std::make_unique<ScriptedStore>();
                            },
                            [](const auto &, const auto &) {}};
  EdgeViews Views{Time,
                  Random,
                  Log,
                  Platform,
                  Format,
                  Directory,
                  Quota,
                  {.Self = {"a", DataCentreId{1}, {0x0A000001, 8166}, 55},
                   .Poll = [this](const auto &, auto after, auto done) {
                     Timer.after(milliseconds(4), [after, done] {
                       done(ObjectList{{}, after});
                     });
                   }}};

  LostAnswerFixture() {
    put("config/main", SmallConfiguration);
    put("servers/i-1", upstreamText(1));
    run(seconds(5));
  }
  auto put(const std::string &key, const std::string &value) -> void {
    BOOST_TEST_REQUIRE(Store.put(key, value, Store.currentVersion(key)).ok());
  }
  auto run(Duration d) -> void {
    constexpr Duration Tick = milliseconds(20);
    for (; d > Duration::zero(); d -= Tick) {
      Time.advance(Tick);
      Timer.deliver();
      Views.tick(Time.now());
    }
  }
  /// Loses the answer that tells of a change below \p prefix, makes the change,
  /// and runs for as long as the change may take.
  auto changeUnnoticed(const std::string &prefix, const std::string &name,
                       const std::string &value) -> void {
    bool isLost = false;
    Client.loseNextWatchAnswer(prefix, [&] { isLost = true; });
    put(prefix + name, value);
    run(seconds(3));
    BOOST_TEST(isLost);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EdgeViewsLostAnswers, LostAnswerFixture)

// An upstream that drained got new flows for 5 s (review/15). The change may
// fall on any moment between two answers to the revision watch.
BOOST_AUTO_TEST_CASE(DrainIsKnownInTimeWhateverTheAgeOfPolls) {
  for (int i = 0; i < 24; ++i) {
    put("servers/i-1", upstreamText(1));
    run(seconds(4) + milliseconds(100 * i));
    changeUnnoticed("servers/", "i-1", upstreamText(1, "draining"));
    BOOST_TEST_CONTEXT("phase " << i)
    BOOST_TEST(Directory.find(tagOf("i-1", milliseconds(5)))->Record.Draining);
  }
}

BOOST_AUTO_TEST_CASE(ConfigurationIsKnownInTimeWhateverTheAgeOfPolls) {
  for (int i = 0; i < 24; ++i) {
    run(seconds(4) + milliseconds(100 * i));
    changeUnnoticed("config/", "main", largeConfiguration(10 + i, 3, 443));
    BOOST_TEST(Directory.configuration().Version == 10U + i);
  }
}

BOOST_AUTO_TEST_CASE(WithdrawalIsKnownInTimeWhateverTheAgeOfPolls) {
  for (int i = 0; i < 24; ++i) {
    run(seconds(4) + milliseconds(100 * i));
    const auto zone = "z" + std::to_string(i);
    changeUnnoticed("evacuations/", zone, "{}");
    BOOST_TEST(Directory.isWithdrawn(idFromName<DataCentreId>(zone)));
  }
}

BOOST_AUTO_TEST_CASE(MemberIsKnownInTimeWhateverTheAgeOfPolls) {
  for (std::uint32_t i = 0; i < 24; ++i) {
    run(seconds(4) + milliseconds(100 * i));
    const MemberRecord m{
        "b" + std::to_string(i), DataCentreId{2}, {0x0A000100 + i, 8166}, 55};
    const auto before = Views.peers().size();
    changeUnnoticed("instances/", m.Name, formatMember(m));
    BOOST_TEST(Views.peers().size() == before + 1);
  }
}

// While nothing changes, the revision watch costs a call each two seconds, and
// each other watch one each 25 s.
BOOST_AUTO_TEST_CASE(QuietStoreIsCalledSeldom) {
  run(seconds(20));
  const auto before = Platform.storeCalls();
  run(seconds(60));
  BOOST_TEST(Platform.storeCalls() - before <= 60 / 2 + 3 * 60 / 25 + 4U);
  BOOST_TEST(Views.confirmations() <= 12U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
