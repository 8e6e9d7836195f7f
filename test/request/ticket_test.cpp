#include "request/ticket.h"

#include "boragebridge/clock.h"
#include "request/ledger.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

namespace {

struct TicketFixture {
  SeededRandom Random{7};
  TicketSealer Sealer{Random};
  TicketFields Fields{InstanceId{1}, Incarnation{2}, CallerId{3}, 4, 1};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Ticket, TicketFixture)

BOOST_AUTO_TEST_CASE(FieldsCanBeReadByAnyInstance) {
  const auto f = readTicket(Sealer.seal(Fields));
  BOOST_REQUIRE(f.has_value());
  BOOST_TEST(raw(f->OwnerIncarnation) == 2U);
  BOOST_TEST(raw(f->Caller) == 3U);
  BOOST_TEST(f->Sequence == 4U);
}

BOOST_AUTO_TEST_CASE(ChangeOfAnyByteInvalidatesTheTicket) {
  const auto sealed = Sealer.seal(Fields);
  BOOST_TEST(Sealer.isGenuine(sealed, *readTicket(sealed)));
  for (std::size_t n = 0; n < sealed.size(); ++n) {
    auto forged = sealed;
    forged[n] ^= std::byte{1};
    const auto f = readTicket(forged);
    BOOST_TEST((!f || !Sealer.isGenuine(forged, *f)), "byte " << n);
  }
}

BOOST_AUTO_TEST_CASE(KeyOfAnotherIncarnationDoesNotVerifyTheTicket) {
  const TicketSealer other{Random};
  const auto sealed = Sealer.seal(Fields);
  BOOST_TEST(!other.isGenuine(sealed, Fields));
}

BOOST_AUTO_TEST_CASE(TicketOfWrongLengthIsRejected) {
  auto sealed = Sealer.seal(Fields);
  for (auto n : {std::size_t{0}, sealed.size() - 1})
    BOOST_TEST(!readTicket(ByteView(sealed).first(n)).has_value());
}

BOOST_AUTO_TEST_CASE(RotationEndsUseBeforeVerification) {
  const auto sealed = Sealer.seal(Fields);
  BOOST_TEST(Sealer.isUsable(1));
  for (std::uint64_t n = 0; n < TicketSealer::UsableEpochs; ++n)
    Sealer.rotate(Random);
  BOOST_TEST(!Sealer.isUsable(1));
  BOOST_TEST(Sealer.isGenuine(sealed, Fields));
  for (std::size_t n = 0; n < TicketSealer::KeptEpochs; ++n)
    Sealer.rotate(Random);
  BOOST_TEST(Sealer.isForgotten(1));
  BOOST_TEST(!Sealer.isGenuine(sealed, Fields));
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

struct LedgerFixture {
  SeededRandom Random{3};
  ManualClock Time;
  LedgerLimits Limits{std::chrono::seconds(60), 4096, 8,
                      std::chrono::minutes(5)};
  Ledger TestLedger{InstanceId{1}, Incarnation{2}, Random, Time.now(), Limits};
  IssuedTicket Issued = TestLedger.issue(CallerId{5});
  TicketFields Fields = *readTicket(Issued.Sealed);

  auto status() -> RequestStatus {
    return TestLedger.statusOf(Issued.Sealed, Fields, CallerId{5},
                               Issued.Number);
  }
  auto answer(std::size_t size) -> std::shared_ptr<const Bytes> {
    return std::make_shared<const Bytes>(size);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LedgerOfTickets, LedgerFixture)

BOOST_AUTO_TEST_CASE(TicketStartsOneRequestOnce) {
  BOOST_TEST((status() == RequestStatus::MayStart));
  BOOST_TEST(TestLedger.markSent(Fields.Sequence));
  BOOST_TEST((status() == RequestStatus::MayHaveRun));
  BOOST_TEST(!TestLedger.markSent(Fields.Sequence));
}

BOOST_AUTO_TEST_CASE(ClosedTicketNeverStarts) {
  TestLedger.closeNotRun(Fields.Sequence);
  BOOST_TEST((status() == RequestStatus::NotRun));
  BOOST_TEST(!TestLedger.markSent(Fields.Sequence));
}

BOOST_AUTO_TEST_CASE(StartedTicketCannotBeClosedAsNotRun) {
  BOOST_TEST(TestLedger.markSent(Fields.Sequence));
  TestLedger.closeNotRun(Fields.Sequence);
  BOOST_TEST((status() == RequestStatus::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(TicketOfAnotherCallerOrNumberIsForged) {
  BOOST_TEST((TestLedger.statusOf(Issued.Sealed, Fields, CallerId{6},
                                  Issued.Number) == RequestStatus::Forged));
  BOOST_TEST((TestLedger.statusOf(Issued.Sealed, Fields, CallerId{5},
                                  Issued.Number + 1) == RequestStatus::Forged));
}

BOOST_AUTO_TEST_CASE(DroppedAnswersLeaveTicketsMarkedAsRun) {
  BOOST_TEST(TestLedger.markSent(Fields.Sequence));
  TestLedger.keepAnswer(Fields.Sequence, 1, answer(100), Time.now());
  BOOST_TEST((status() == RequestStatus::Answered));
  for (int n = 0; n < 100; ++n) {
    const auto t = TestLedger.issue(CallerId{5});
    const auto seq = readTicket(t.Sealed)->Sequence;
    BOOST_TEST(TestLedger.markSent(seq));
    TestLedger.keepAnswer(seq, 1, answer(1000), Time.now());
  }
  BOOST_TEST(TestLedger.answerBytes() <= Limits.MaxAnswerBytes);
  BOOST_TEST((status() == RequestStatus::HasRun));
  BOOST_TEST(!TestLedger.markSent(Fields.Sequence));
}

BOOST_AUTO_TEST_CASE(OldTicketIsExpiredAndThenForgottenButNeverStarts) {
  for (std::size_t n = 0; n < 2 * TicketSealer::KeptEpochs; ++n) {
    Time.advance(Limits.KeyRotation);
    TestLedger.tick(Time.now(), Random);
    static_cast<void>(TestLedger.issue(CallerId{5}));
    if (n + 1 < TicketSealer::UsableEpochs)
      BOOST_TEST((status() == RequestStatus::MayStart));
    else if (n + 1 < TicketSealer::KeptEpochs)
      BOOST_TEST((status() == RequestStatus::Expired));
  }
  BOOST_TEST((status() == RequestStatus::Forgotten));
}

BOOST_AUTO_TEST_CASE(FullWindowForgetsTheOldestTickets) {
  TicketWindow w;
  for (std::size_t n = 0; n < TicketWindow::MaxTickets + 8; ++n)
    w.issue();
  BOOST_TEST(!w.contains(0));
  BOOST_TEST(w.contains(w.end() - 1));
  BOOST_TEST(w.end() - w.first() <= TicketWindow::MaxTickets);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
