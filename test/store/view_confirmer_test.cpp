#include "store/view_confirmer.h"

#include "scripted_store.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct ConfirmerFixture {
  ConfirmerFixture() {
    for (auto *it : {&Revisions, &Other}) {
      it->tick(Time.now());
      Store.answer(it->prefix(), ObjectList{{}, 7});
      it->tick(Time.now());
    }
    advance(milliseconds(500));
    advance(milliseconds(500));
  }
  auto makeWatcher(const std::string &prefix, Duration wait) -> ObjectWatcher {
    return ObjectWatcher({Store, Time, Random, Log},
                         {.Prefix = prefix, .Wait = wait},
                         {[](const auto &) {},
                          [this](const auto &l) { Events += l.Events.size(); },
                          [this](const auto &) { ++Failures; }});
  }
  auto advance(Duration d) -> void {
    Time.advance(d);
    for (auto *it : {&Revisions, &Other})
      it->tick(Time.now());
    Confirmer.tick(Time.now());
  }
  auto openCalls(const std::string &prefix) const -> std::size_t {
    return static_cast<std::size_t>(
        std::count_if(Store.OpenCalls.begin(), Store.OpenCalls.end(),
                      [&](const auto &it) { return it.Prefix == prefix; }));
  }
  /// The revision watch ends without changes, at store version \p v.
  auto endRevisionWatch(ObjectVersion v) -> void {
    Store.answer("revisions/", ObjectList{{}, v});
    advance(milliseconds(20));
  }
  /// Answers the second of the open calls of the other prefix, the
  /// confirmation.
  auto answerConfirmation(absl::StatusOr<ObjectList> r) -> void {
    auto watch = Store.take("other/");
    Store.answer("other/", std::move(r));
    Store.OpenCalls.push_back(std::move(watch));
  }
  static auto oneEvent(ObjectVersion v) -> ObjectList {
    return {{{{"other/x", "{}", v}, false}}, v};
  }

  ScriptedStore Store;
  ManualClock Time;
  SeededRandom Random{1};
  NullEventLog Log;
  std::size_t Events = 0;
  std::size_t Failures = 0;
  ObjectWatcher Revisions = makeWatcher("revisions/", seconds(2));
  ObjectWatcher Other = makeWatcher("other/", seconds(15));
  ViewConfirmer Confirmer{Revisions, {&Revisions, &Other}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreViewConfirmer, ConfirmerFixture)

BOOST_AUTO_TEST_CASE(NothingIsConfirmedWhileTheRevisionStays) {
  for (int i = 0; i < 10; ++i) {
    endRevisionWatch(7);
    advance(seconds(1));
  }
  BOOST_TEST(openCalls("other/") == 1U);
  BOOST_TEST(Other.confirmations() == 0U);
}

// The answer to a watch was lost, and reads of older data did not show it: an
// upstream that drained got new flows for 5 s (review/15).
BOOST_AUTO_TEST_CASE(ChangeWhoseAnswerWasLostIsDelivered) {
  endRevisionWatch(9);
  advance(milliseconds(290));
  BOOST_TEST(openCalls("other/") == 1U);
  advance(milliseconds(20));
  BOOST_TEST(openCalls("other/") == 2U);
  answerConfirmation(oneEvent(9));
  BOOST_TEST(Events == 1U);
  BOOST_TEST(Other.lostAnswers() == 1U);
  BOOST_TEST(Other.version() == 9U);
  // The late answer to the watch is ignored.
  Store.answer("other/", oneEvent(9));
  BOOST_TEST(Events == 1U);
  BOOST_TEST(Failures == 0U);
}

BOOST_AUTO_TEST_CASE(ViewThatHasNotChangedIsConfirmedOncePerRevision) {
  endRevisionWatch(9);
  advance(milliseconds(310));
  answerConfirmation(ObjectList{{}, 9});
  BOOST_TEST(Other.version() == 9U);
  advance(seconds(1));
  endRevisionWatch(9);
  advance(seconds(1));
  BOOST_TEST(Other.confirmations() == 1U);
  // The watch is still open, and delivers what comes.
  Store.answer("other/", oneEvent(12));
  BOOST_TEST(Events == 1U);
  BOOST_TEST(Failures == 0U);
}

BOOST_AUTO_TEST_CASE(ViewWhoseWatchDeliversTheChangeIsNotConfirmed) {
  endRevisionWatch(9);
  Store.answer("other/", oneEvent(9));
  advance(milliseconds(310));
  BOOST_TEST(Other.confirmations() == 0U);
}

BOOST_AUTO_TEST_CASE(ConfirmationThatFailsIsAFailureOfTheWatch) {
  endRevisionWatch(9);
  advance(milliseconds(310));
  answerConfirmation(absl::DeadlineExceededError("no response in time"));
  BOOST_TEST(Failures == 1U);
  BOOST_TEST(!Other.isReachable());
}

// The answer to the revision watch itself may be lost.
BOOST_AUTO_TEST_CASE(RevisionWatchThatIsLateIsConfirmedAndOpenedAgain) {
  advance(milliseconds(1200));
  BOOST_TEST(openCalls("revisions/") == 1U);
  advance(milliseconds(200));
  BOOST_TEST(openCalls("revisions/") == 2U);
  const auto lost = Store.take("revisions/");
  Store.answer("revisions/", ObjectList{{}, 9});
  advance(milliseconds(20));
  BOOST_TEST(openCalls("revisions/") == 1U);
  BOOST_TEST(Failures == 0U);
  lost.Done(ObjectList{{{{"revisions/x", "{}", 9}, false}}, 9});
  BOOST_TEST(Events == 0U);
  advance(milliseconds(310));
  BOOST_TEST(openCalls("other/") == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
