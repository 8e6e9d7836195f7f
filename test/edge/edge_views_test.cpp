#include "edge/edge_views.h"

#include "../store/scripted_store.h"
#include "object_dialect.h"
#include "record_codec.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto Configuration =
    R"({"version":3,"routes":[{"name":"r","host":"198.18.0.1",
        "pathPrefix":"/443/","service":"s"}],
        "services":[{"name":"s","warmupPerS":0}],"limits":{}})";

auto upstreamText(int port, const std::string &state = "ready",
                  const std::string &zone = "z") -> std::string {
  return R"({"service":"s","address":"10.128.0.9:)" + std::to_string(port) +
         R"(","zone":")" + zone + R"(","slots":2,"state":")" + state +
         R"(","warmupLeftMs":0,"born":5})";
}

struct ViewsFixture {
  ScriptedStore Store;
  ManualClock Time;
  SeededRandom Random{1};
  NullEventLog Log;
  Directory Known;
  ColdShare Cold{"a", {.Factor = 1, .Slack = 5}};
  users::RecordCodec Format;
  EdgeViews Views{
      {Store, Time, Random, Log}, Format, Known, Cold, {.InstanceName = "a"}};

  auto advance(Duration d) -> void {
    Time.advance(d);
    Views.tick(Time.now());
  }
  auto start() -> void {
    Views.tick(Time.now());
    Store.answer("config/",
                 ObjectList{{{{"config/main", Configuration, 3}, false}}, 9});
    Store.answer("servers/",
                 ObjectList{{{{"servers/i-1", upstreamText(1), 4}, false},
                             {{"servers/i-2", "\"\xff\"", 5}, false}},
                            9});
    Store.answer("evacuations/", ObjectList{{}, 9});
    Views.tick(Time.now());
  }
  auto find(const std::string &name) const -> const Upstream * {
    return Known.find(tagOf(name, milliseconds(5)));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EdgeStoreViews, ViewsFixture)

BOOST_AUTO_TEST_CASE(ReadyOnlyOnceAllThreeViewsAreKnown) {
  Views.tick(Time.now());
  Store.answer("config/",
               ObjectList{{{{"config/main", Configuration, 3}, false}}, 9});
  Store.answer("servers/", ObjectList{{}, 9});
  BOOST_TEST(!Views.isComplete());
  Store.answer("evacuations/", ObjectList{{}, 9});
  BOOST_TEST(Views.isComplete());
}

BOOST_AUTO_TEST_CASE(UnreadableRecordHarmsNoOther) {
  start();
  BOOST_TEST(find("i-1") != nullptr);
  BOOST_TEST(Known.size() == 1U);
}

BOOST_AUTO_TEST_CASE(RecordThatBecomesUnreadableNamesNoUpstream) {
  start();
  Store.answer("servers/",
               ObjectList{{{{"servers/i-1", "null", 12}, false}}, 12});
  BOOST_TEST(Known.size() == 0U);
}

BOOST_AUTO_TEST_CASE(EventsChangeUpstreams) {
  start();
  Store.answer(
      "servers/",
      ObjectList{{{{"servers/i-1", upstreamText(1, "draining"), 12}, false}},
                 12});
  BOOST_TEST(!Known.mayOpen(*find("i-1"), Time.now()));
}

BOOST_AUTO_TEST_CASE(WithdrawalsComeAndGo) {
  start();
  Store.answer("evacuations/",
               ObjectList{{{{"evacuations/z", "{}", 12}, false}}, 12});
  BOOST_TEST(Known.isWithdrawn(idFromName<DataCentreId>("z")));
  advance(seconds(1));
  Store.answer("evacuations/",
               ObjectList{{{{"evacuations/z", "", 14}, true}}, 14});
  BOOST_TEST(!Known.isWithdrawn(idFromName<DataCentreId>("z")));
}

BOOST_AUTO_TEST_CASE(NewInstanceRegistersAndWaitsUntilOthersKnowIt) {
  start();
  BOOST_TEST_REQUIRE(Store.Puts.size() == 1U);
  BOOST_TEST(Store.Puts.front().first == "instances/a");
  Store.Puts.front().second(ObjectVersion{20});
  Views.tick(Time.now());
  Store.answer("instances/",
               ObjectList{{{{"instances/a", "{}", 20}, false}}, 20});
  BOOST_TEST(!Cold.mayOpen(*find("i-1"), 0, Time.now() + seconds(20)));
  BOOST_TEST(Cold.mayOpen(*find("i-1"), 0, Time.now() + seconds(23)));
}

BOOST_AUTO_TEST_CASE(InstanceThatIsKnownMayOpenSoonAfterItsRestart) {
  start();
  Store.Puts.front().second(absl::AbortedError("exists"));
  Views.tick(Time.now());
  Store.answer("instances/",
               ObjectList{{{{"instances/a", "{}", 20}, false}}, 20});
  BOOST_TEST(!Cold.mayOpen(*find("i-1"), 0, Time.now()));
  BOOST_TEST(Cold.mayOpen(*find("i-1"), 0, Time.now() + seconds(2)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
