#include "store/object_watcher.h"

#include "scripted_store.h"
#include "store/view_digest.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct WatcherFixture {
  ScriptedStore Store;
  ManualClock Time;
  SeededRandom Random{1};
  NullEventLog Log;
  std::size_t Lists = 0;
  std::size_t Events = 0;
  std::size_t Failures = 0;
  ObjectVersion UnchangedVersion = 0;
  /// The digest of what the handlers have taken.
  ViewDigest Digest = 5;
  ObjectWatcher Watcher{{Store, Time, Random, Log},
                        {.Prefix = "p/"},
                        {[this](const auto &) { ++Lists; },
                         [this](const auto &l) { Events += l.Events.size(); },
                         [this](const auto &) { ++Failures; },
                         {},
                         [this](auto v) { UnchangedVersion = v; },
                         [this] { return Digest; }}};

  auto advance(Duration d) -> void {
    Time.advance(d);
    Watcher.tick(Time.now());
  }
  auto startWatching(ObjectVersion v) -> void {
    Watcher.tick(Time.now());
    Store.answer("p/", ObjectList{{}, v});
    Watcher.tick(Time.now());
  }
  static auto oneEvent(ObjectVersion v) -> ObjectList {
    return {{{{"p/a", "{}", v}, false}}, v};
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreObjectWatcher, WatcherFixture)

BOOST_AUTO_TEST_CASE(WatchesFromListVersion) {
  startWatching(7);
  BOOST_TEST(Lists == 1U);
  BOOST_TEST(Watcher.hasView());
  const auto call = Store.take("p/");
  BOOST_TEST(call.IsWatch);
  BOOST_TEST(call.After == 7U);
}

BOOST_AUTO_TEST_CASE(WatchContinuesFromLastVersion) {
  startWatching(7);
  Store.answer("p/", oneEvent(9));
  BOOST_TEST(Events == 1U);
  advance(seconds(1));
  BOOST_TEST(Store.take("p/").After == 9U);
}

BOOST_AUTO_TEST_CASE(NextWatchWaitsForBatchDelay) {
  startWatching(7);
  Store.answer("p/", oneEvent(9));
  advance(milliseconds(100));
  BOOST_TEST(Store.OpenCalls.empty());
  advance(milliseconds(150));
  BOOST_TEST(Store.OpenCalls.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ListsAtOnceWhenHistoryIsGone) {
  startWatching(7);
  Store.answer("p/", absl::OutOfRangeError("gone"));
  Watcher.tick(Time.now());
  BOOST_TEST(!Store.take("p/").IsWatch);
}

// The backoff that has grown during an outage must not delay the list that
// follows it. Found by boragebench edge, seed 60384.
BOOST_AUTO_TEST_CASE(ListsAtOnceWhenHistoryIsGoneAfterFailures) {
  startWatching(7);
  for (int i = 0; i < 5; ++i) {
    Store.answer("p/", absl::UnavailableError("down"));
    advance(seconds(2));
  }
  Store.answer("p/", absl::OutOfRangeError("gone"));
  Watcher.tick(Time.now());
  BOOST_TEST(!Store.take("p/").IsWatch);
}

BOOST_AUTO_TEST_CASE(IgnoresListOlderThanView) {
  startWatching(7);
  Store.answer("p/", absl::OutOfRangeError("gone"));
  Watcher.tick(Time.now());
  Store.answer("p/", ObjectList{{}, 5});
  BOOST_TEST(Lists == 1U);
  BOOST_TEST(Watcher.version() == 7U);
}

BOOST_AUTO_TEST_CASE(ListOfALaterEraReplacesViewOfAHigherRevision) {
  startWatching(makeVersion(1, 40));
  Store.answer("p/", absl::OutOfRangeError("restored"));
  Watcher.tick(Time.now());
  Store.answer("p/", ObjectList{{}, makeVersion(2, 30)});
  BOOST_TEST(Lists == 2U);
  BOOST_TEST(Watcher.version() == makeVersion(2, 30));
}

BOOST_AUTO_TEST_CASE(RestoredStoreIsListedAtOnce) {
  startWatching(makeVersion(1, 40));
  auto watch = Store.take("p/");
  Watcher.onStoreRestored(2);
  BOOST_TEST(Failures == 0U);
  Watcher.tick(Time.now());
  watch.Done(oneEvent(makeVersion(1, 41)));
  BOOST_TEST(Events == 0U);
  BOOST_TEST(!Store.OpenCalls.front().IsWatch);
  Store.answer("p/", ObjectList{{}, makeVersion(2, 30)});
  Watcher.tick(Time.now());
  Watcher.onStoreRestored(2);
  BOOST_TEST(Store.OpenCalls.size() == 1U);
  BOOST_TEST(Store.OpenCalls.front().IsWatch);
}

BOOST_AUTO_TEST_CASE(ResumesWatchAfterFailureWithoutList) {
  startWatching(7);
  Store.answer("p/", absl::UnavailableError("down"));
  BOOST_TEST(Failures == 1U);
  BOOST_TEST(!Watcher.isReachable());
  BOOST_TEST(Store.OpenCalls.empty());
  advance(milliseconds(160));
  const auto call = Store.take("p/");
  BOOST_TEST(call.IsWatch);
  BOOST_TEST(call.After == 7U);
}

// Each watch that the store cut off while it waited counted as a failure of the
// store (review/10).
BOOST_AUTO_TEST_CASE(WatchThatIsCutOffIsNoFailureOfTheStore) {
  startWatching(7);
  for (int i = 0; i < 3; ++i) {
    advance(seconds(1));
    Store.answer("p/", absl::AbortedError("cut off"));
    BOOST_TEST(Watcher.isReachable());
    advance(milliseconds(20));
    const auto call = Store.take("p/");
    BOOST_TEST(call.IsWatch);
    BOOST_TEST(call.After == 7U);
    call.Done(ObjectList{{}, 7});
    advance(milliseconds(20));
  }
  BOOST_TEST(Failures == 0U);
}

BOOST_AUTO_TEST_CASE(WatchThatIsCutOffTwiceInARowIsAFailure) {
  startWatching(7);
  Store.answer("p/", absl::AbortedError("cut off"));
  advance(milliseconds(20));
  Store.answer("p/", absl::AbortedError("cut off"));
  BOOST_TEST(Failures == 1U);
  BOOST_TEST(!Watcher.isReachable());
  advance(seconds(1));
  Store.answer("p/", ObjectList{{}, 7});
  advance(milliseconds(20));
  Store.answer("p/", absl::AbortedError("cut off"));
  advance(milliseconds(20));
  Store.answer("p/", absl::UnavailableError("refused"));
  BOOST_TEST(Failures == 2U);
}

BOOST_AUTO_TEST_CASE(ReportsVersionWhenNothingChanged) {
  startWatching(7);
  Store.answer("p/", ObjectList{{}, 30});
  BOOST_TEST(UnchangedVersion == 30U);
  BOOST_TEST(Events == 0U);
}

BOOST_AUTO_TEST_CASE(FailedOpenCallIgnoresLateAnswer) {
  startWatching(7);
  auto call = Store.take("p/");
  Watcher.failOpenCall(absl::UnavailableError("silent"));
  BOOST_TEST(Failures == 1U);
  BOOST_TEST(!Watcher.isReachable());
  call.Done(oneEvent(9));
  BOOST_TEST(Events == 0U);
  advance(milliseconds(160));
  BOOST_TEST(Store.take("p/").After == 7U);
}

BOOST_AUTO_TEST_CASE(FailOpenCallWithoutCallIsNoFailure) {
  Watcher.failOpenCall(absl::UnavailableError("silent"));
  BOOST_TEST(Failures == 0U);
}

BOOST_AUTO_TEST_CASE(BackoffGrowsUpToLimit) {
  Watcher.tick(Time.now());
  Duration last{};
  for (int i = 0; i < 10; ++i) {
    Store.answer("p/", absl::UnavailableError("down"));
    last = {};
    while (Store.OpenCalls.empty()) {
      advance(milliseconds(10));
      last += milliseconds(10);
    }
  }
  // The limit is 800 ms, plus jitter.
  BOOST_TEST((last >= milliseconds(400) && last <= milliseconds(1210)));
}

// The version of a view does not show that objects are missing or too many
// (review/11).
BOOST_AUTO_TEST_CASE(ListsAgainWhenTheDigestDiffers) {
  startWatching(7);
  auto answer = oneEvent(9);
  answer.Digest = Digest + 1;
  Store.answer("p/", answer);
  BOOST_TEST(Events == 1U);
  Watcher.tick(Time.now());
  BOOST_TEST(!Store.OpenCalls.front().IsWatch);
  Store.answer("p/", ObjectList{{}, 9});
  BOOST_TEST(Lists == 2U);
  Watcher.tick(Time.now());
  // While they still differ, it lists once in a while.
  answer = ObjectList{{}, 9};
  answer.Digest = Digest + 1;
  Store.answer("p/", answer);
  Watcher.tick(Time.now());
  BOOST_TEST(Store.OpenCalls.empty());
  advance(seconds(1));
  BOOST_TEST(!Store.take("p/").IsWatch);
  BOOST_TEST(Watcher.differences() == 2U);
}

BOOST_AUTO_TEST_CASE(EqualDigestsNeedNoList) {
  startWatching(7);
  auto answer = oneEvent(9);
  answer.Digest = Digest;
  Store.answer("p/", answer);
  advance(seconds(1));
  BOOST_TEST(Store.take("p/").IsWatch);
}

// A mirror gives its list the version at which the objects last changed. Only
// the list that the digest promised may be older than the view.
BOOST_AUTO_TEST_CASE(OlderListIsTakenOnlyIfItHasTheExpectedObjects) {
  startWatching(7);
  auto answer = ObjectList{{}, 12};
  answer.Digest = digestOf(oneEvent(9));
  Store.answer("p/", answer);
  Watcher.tick(Time.now());
  Store.answer("p/", oneEvent(8));
  BOOST_TEST(Failures == 1U);
  BOOST_TEST(Lists == 1U);
  advance(seconds(1));
  Store.answer("p/", oneEvent(9));
  BOOST_TEST(Lists == 2U);
  BOOST_TEST(Watcher.version() == 12U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
