#include "store/snapshot_list.h"

#include "scripted_store.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

using std::chrono::milliseconds;

namespace {

constexpr Endpoint Parent{0x0A010001, 8166};

auto object(const std::string &key, ObjectVersion v, bool removed = false)
    -> ObjectEvent {
  return {{key, "{}", v}, removed};
}

struct SnapshotListFixture {
  ManualClock Time;
  ScriptedStore Store;
  /// The client of the parent, owned by Platform.
  ScriptedStore *Mirror = nullptr;
  MirroredPlatform Platform{Store, Time,
                            [this](const Endpoint &, MirrorView) {
                              auto client = std::make_unique<ScriptedStore>();
                              Mirror = client.get();
                              return client;
                            },
                            [](const auto &, const auto &) {}};
  SnapshotListReader::Callback TakeSnapshot;
  SnapshotListReader Reader{Platform, Time, [this](const auto &, auto done) {
                              TakeSnapshot = std::move(done);
                            }};
  unsigned Answers = 0;
  absl::StatusOr<ObjectList> Answer = absl::UnknownError("none");

  auto list() -> void {
    Reader.list("p/", [this](auto r) {
      ++Answers;
      Answer = std::move(r);
    });
  }
  /// Starts a list with a parent, and delivers a snapshot of version 7.
  auto listWithSnapshot() -> void {
    Platform.setParent(Parent);
    list();
    TakeSnapshot(ObjectList{{object("p/a", 5), object("p/b", 6)}, 7});
  }
  auto advance(Duration d) -> void {
    Time.advance(d);
    Reader.tick(Time.now());
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreSnapshotList, SnapshotListFixture)

BOOST_AUTO_TEST_CASE(ListsStoreWithoutParent) {
  list();
  BOOST_TEST(!TakeSnapshot);
  Store.answer("p/", ObjectList{{object("p/a", 5)}, 7});
  BOOST_TEST(Answer.ok());
}

// An upstream that had left before the start must not come back from a snapshot
// that still has it.
BOOST_AUTO_TEST_CASE(AppliesChangesOfParentToSnapshot) {
  listWithSnapshot();
  BOOST_TEST(Answers == 0U);
  const auto call = Mirror->take("p/");
  BOOST_TEST(call.After == 7U);
  call.Done(ObjectList{{object("p/a", 5, true), object("p/c", 9)}, 12});
  BOOST_TEST_REQUIRE(Answer.ok());
  BOOST_TEST(Answer->CurrentVersion == 12U);
  BOOST_TEST_REQUIRE(Answer->Events.size() == 2U);
  BOOST_TEST(Answer->Events[0].Object.Key == "p/b");
  BOOST_TEST(Answer->Events[1].Object.Key == "p/c");
  BOOST_TEST(Platform.storeCalls() == 0U);
}

BOOST_AUTO_TEST_CASE(HintSetsParentFromSnapshot) {
  Reader.listWithHint(
      "p/", [this](auto r) { Answer = std::move(r); },
      [this](const ObjectList &l) {
        BOOST_TEST(l.CurrentVersion == 7U);
        Platform.setParent(Parent);
      });
  TakeSnapshot(ObjectList{{}, 7});
  Mirror->answer("p/", ObjectList{{}, 9});
  BOOST_TEST_REQUIRE(Answer.ok());
  BOOST_TEST(Answer->CurrentVersion == 9U);
}

// After all power was gone, parents and readers start at the same time.
BOOST_AUTO_TEST_CASE(RepeatsCallToParentWithoutView) {
  listWithSnapshot();
  Mirror->answer("p/", absl::UnavailableError("connection refused"));
  advance(milliseconds(50));
  Mirror->answer("p/", absl::FailedPreconditionError("no view yet"));
  BOOST_TEST(Mirror->OpenCalls.empty());
  advance(milliseconds(50));
  Mirror->answer("p/", ObjectList{{}, 8});
  BOOST_TEST(Answer.ok());
  BOOST_TEST(Platform.storeCalls() == 0U);
}

BOOST_AUTO_TEST_CASE(AsksStoreWhenParentIsLate) {
  listWithSnapshot();
  advance(milliseconds(150));
  const auto call = Store.take("p/");
  BOOST_TEST(call.IsWatch);
  BOOST_TEST(call.After == 7U);
  call.Done(ObjectList{{object("p/a", 5, true)}, 10});
  BOOST_TEST_REQUIRE(Answer.ok());
  BOOST_TEST(Answer->Events.size() == 1U);
  // The late answer of the parent is ignored.
  Mirror->answer("p/", ObjectList{{}, 9});
  BOOST_TEST(Answers == 1U);
}

BOOST_AUTO_TEST_CASE(ListsStoreWhenHistoryIsGone) {
  listWithSnapshot();
  Mirror->answer("p/", absl::OutOfRangeError("gone"));
  Store.answer("p/", absl::OutOfRangeError("gone"));
  const auto call = Store.take("p/");
  BOOST_TEST(!call.IsWatch);
  call.Done(ObjectList{{object("p/c", 9)}, 11});
  BOOST_TEST_REQUIRE(Answer.ok());
  BOOST_TEST(Answer->Events.size() == 1U);
  BOOST_TEST(Answers == 1U);
}

BOOST_AUTO_TEST_CASE(ListsStoreWhenSnapshotFails) {
  Platform.setParent(Parent);
  list();
  TakeSnapshot(absl::UnavailableError("refused"));
  BOOST_TEST(!Store.take("p/").IsWatch);
}

BOOST_AUTO_TEST_CASE(ReportsErrorOfStoreOnce) {
  listWithSnapshot();
  advance(milliseconds(150));
  Store.answer("p/", absl::UnavailableError("down"));
  BOOST_TEST(absl::IsUnavailable(Answer.status()));
  advance(milliseconds(150));
  BOOST_TEST(Answers == 1U);
  BOOST_TEST(Store.OpenCalls.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
