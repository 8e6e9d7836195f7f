#include "boragebridge/caller.h"

#include "request/answer.h"
#include "request/messages.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

namespace {

struct CallerFixture : CallerSink {
  auto sendToFabric(const Packet &p) -> void override {
    rw::RequestT m;
    if (p.Kind == PacketKind::Request && decode(p.Payload, m))
      Sent.push_back(m);
  }
  auto onOutcome(RequestHandle, const RequestOutcome &o) -> void override {
    Outcomes.push_back(o);
  }

  /// Returns a reply to request \p number, with the ticket for \p next if that
  /// is not 0.
  auto reply(std::uint64_t number, rw::Outcome outcome, std::uint64_t next = 0)
      -> rw::ReplyT {
    rw::ReplyT m;
    m.caller = 1;
    m.number = number;
    m.outcome = outcome;
    m.next_number = next;
    if (next != 0)
      m.ticket = {1, 2, 3};
    return m;
  }
  auto deliver(const rw::ReplyT &m) -> void {
    TestCaller.onPacket({PacketKind::Reply, {}, encode(m)});
  }
  auto tickAfter(Duration d) -> void {
    Time.advance(d);
    TestCaller.tick();
  }

  ManualClock Time;
  SeededRandom Random{1};
  std::vector<rw::RequestT> Sent;
  std::vector<RequestOutcome> Outcomes;
  Caller TestCaller{CallerId{1}, {}, Time, Random, *this};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerLibrary, CallerFixture)

BOOST_AUTO_TEST_CASE(AsksForATicketBeforeTheFirstRequest) {
  TestCaller.submit({.Body = Bytes(8)});
  BOOST_TEST(Sent.back().number == 0U);
  BOOST_TEST(Sent.back().body.empty());
  deliver(reply(0, rw::Outcome::RefusedNotRun, 7));
  BOOST_TEST(Sent.back().number == 7U);
  BOOST_TEST(Sent.back().body.size() == 8U);
}

BOOST_AUTO_TEST_CASE(DuplicateReplyDoesNotAddItsTicketTwice) {
  TestCaller.submit({});
  deliver(reply(0, rw::Outcome::RefusedNotRun, 7));
  TestCaller.submit({});
  deliver(reply(0, rw::Outcome::RefusedNotRun, 7));
  BOOST_TEST(Sent.back().number == 0U);
}

BOOST_AUTO_TEST_CASE(RetryAfterRefusalWaitsAndUsesNewNumber) {
  TestCaller.submit({});
  deliver(reply(0, rw::Outcome::RefusedNotRun, 7));
  auto m = reply(7, rw::Outcome::RefusedNotRun, 8);
  m.retry_after_ms = 300;
  const auto before = Sent.size();
  deliver(m);
  tickAfter(std::chrono::milliseconds(200));
  BOOST_TEST(Sent.size() == before);
  tickAfter(std::chrono::milliseconds(100));
  BOOST_TEST(Sent.back().number == 8U);
  BOOST_TEST(Outcomes.empty());
}

BOOST_AUTO_TEST_CASE(TimeoutIsNotRunBeforeSendingAndUnknownAfter) {
  TestCaller.submit({});
  tickAfter(std::chrono::seconds(3));
  BOOST_TEST((Outcomes.back().Kind == OutcomeKind::RefusedNotRun));
  TestCaller.submit({});
  deliver(reply(0, rw::Outcome::RefusedNotRun, 7));
  tickAfter(std::chrono::seconds(3));
  BOOST_TEST((Outcomes.back().Kind == OutcomeKind::Unknown));
}

BOOST_AUTO_TEST_CASE(ProvisionalUnknownIsRetransmitted) {
  TestCaller.submit({});
  deliver(reply(0, rw::Outcome::RefusedNotRun, 7));
  auto m = reply(7, rw::Outcome::Unknown);
  m.final = false;
  deliver(m);
  BOOST_TEST(Outcomes.empty());
  const auto before = Sent.size();
  tickAfter(std::chrono::milliseconds(400));
  BOOST_TEST(Sent.size() == before + 1);
  BOOST_TEST(Sent.back().number == 7U);
}

BOOST_AUTO_TEST_CASE(TruncatedAnswerEndsAsAlreadyRun) {
  TestCaller.submit({});
  deliver(reply(0, rw::Outcome::RefusedNotRun, 7));
  auto m = reply(7, rw::Outcome::Answered);
  m.chunks = 2;
  m.body = {1};
  deliver(m);
  tickAfter(std::chrono::seconds(3));
  BOOST_TEST((Outcomes.back().Kind == OutcomeKind::AlreadyRun));
  BOOST_TEST(Outcomes.back().Body.empty());
}

BOOST_AUTO_TEST_CASE(RequestOverLimitIsRefusedImmediately) {
  for (std::size_t n = 0; n < CallerSettings{}.MaxInProgress; ++n)
    TestCaller.submit({});
  BOOST_TEST(Outcomes.empty());
  TestCaller.submit({});
  BOOST_TEST((Outcomes.back().Kind == OutcomeKind::RefusedNotRun));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
