#include "request/slot_lease_client.h"
#include "request/slot_lease_server.h"

#include "boragebridge/clock.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

namespace {

constexpr UpstreamId Host{9};

struct PermitFixture {
  ManualClock Time;
  InstanceIncarnation A{InstanceId{1}, Incarnation{1}};
  InstanceIncarnation B{InstanceId{2}, Incarnation{2}};
  InstanceIncarnation KeeperId{InstanceId{3}, Incarnation{3}};
  SlotLeaseServer Keeper{Time.now()};
  SlotLeaseClient HolderA;
  SlotLeaseClient HolderB;

  PermitFixture() {
    Keeper.setLimits({{Host, 2, 100}});
    HolderA.setKeeper(KeeperId);
    HolderB.setKeeper(KeeperId);
  }

  /// One demand and its answer.
  auto exchange(SlotLeaseClient &h, const InstanceIncarnation &id,
                std::uint32_t wanted) -> void {
    const auto d = h.makeDemand(Time.now(), wanted, wanted + 1);
    BOOST_TEST(Keeper.onDemand(id, true, d, Time.now()));
    Keeper.lend(Time.now());
    h.onLend(KeeperId, *Keeper.stateFor(id), Time.now());
  }
  auto waitOut() -> void {
    Time.advance(SlotLeaseTerms::ReclaimAfter);
    Keeper.lend(Time.now());
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Permits, PermitFixture)

BOOST_AUTO_TEST_CASE(NewKeeperLendsNothingUntilOldLoansHaveEnded) {
  exchange(HolderA, A, 2);
  BOOST_TEST(HolderA.loanCount() == 0U);
  Time.advance(SlotLeaseTerms::ReclaimAfter - std::chrono::milliseconds(1));
  exchange(HolderA, A, 2);
  BOOST_TEST(HolderA.loanCount() == 0U);
  Time.advance(std::chrono::milliseconds(1));
  exchange(HolderA, A, 2);
  BOOST_TEST(HolderA.loanCount() == 2U);
}

BOOST_AUTO_TEST_CASE(SlotsAreNotLentTwice) {
  waitOut();
  exchange(HolderA, A, 2);
  exchange(HolderB, B, 2);
  BOOST_TEST(HolderA.loanCount() + HolderB.loanCount() <= 2U);
  BOOST_TEST(Keeper.lentCount() == 2U);
}

BOOST_AUTO_TEST_CASE(ColdUpstreamIsLentOnceInTheFleet) {
  waitOut();
  Keeper.setLimits({{Host, 1, 100}});
  exchange(HolderA, A, 4);
  exchange(HolderB, B, 4);
  BOOST_TEST(HolderA.loanCount() + HolderB.loanCount() == 1U);
}

BOOST_AUTO_TEST_CASE(LoanThatIsNotRenewedStartsNothing) {
  waitOut();
  exchange(HolderA, A, 1);
  Time.advance(SlotLeaseTerms::Term);
  BOOST_TEST(!HolderA.acquire(Time.now()).has_value());
}

BOOST_AUTO_TEST_CASE(SlotsOfDeadHolderComeBackOnlyAfterItsWorkHasEnded) {
  waitOut();
  exchange(HolderA, A, 2);
  Time.advance(SlotLeaseTerms::ReclaimAfter - std::chrono::milliseconds(1));
  exchange(HolderB, B, 1);
  BOOST_TEST(HolderB.loanCount() == 0U);
  Time.advance(std::chrono::milliseconds(1));
  exchange(HolderB, B, 1);
  BOOST_TEST(HolderB.loanCount() == 1U);
}

BOOST_AUTO_TEST_CASE(RestartedHolderDoesNotFreeTheOldOnesSlots) {
  waitOut();
  exchange(HolderA, A, 2);
  SlotLeaseClient restarted;
  restarted.setKeeper(KeeperId);
  exchange(restarted, {A.Id, Incarnation{77}}, 2);
  BOOST_TEST(restarted.loanCount() == 0U);
}

BOOST_AUTO_TEST_CASE(IdleLoansAreRecalledForAnotherInstance) {
  waitOut();
  exchange(HolderA, A, 2);
  exchange(HolderB, B, 1);
  HolderA.onLend(KeeperId, *Keeper.stateFor(A), Time.now());
  BOOST_TEST(HolderA.tick(Time.now()));
  exchange(HolderA, A, 0);
  HolderB.onLend(KeeperId, *Keeper.stateFor(B), Time.now());
  BOOST_TEST(HolderB.loanCount() == 1U);
}

BOOST_AUTO_TEST_CASE(NextKeeperAdoptsLiveLoansAndWithholdsTheRest) {
  waitOut();
  exchange(HolderA, A, 1);
  SlotLeaseServer next(Time.now());
  next.setLimits({{Host, 2, 100}});
  const auto d = HolderA.makeDemand(Time.now(), 1, 1);
  BOOST_TEST(next.onDemand(A, true, d, Time.now()));
  next.lend(Time.now());
  BOOST_TEST(next.stateFor(A)->Loans.size() == 1U);
  BOOST_TEST(next.freeSlots(Time.now()).empty());
  const auto handedOver = Keeper.freeSlots(Time.now());
  BOOST_TEST(handedOver.size() == 1U);
  next.addFree(handedOver, Time.now());
  next.lend(Time.now());
  BOOST_TEST(next.stateFor(A)->Loans.size() == 2U);
}

BOOST_AUTO_TEST_CASE(SlotReportedByTwoIsNotLentBeforeBothHaveEnded) {
  waitOut();
  exchange(HolderA, A, 1);
  SlotLeaseServer next(Time.now());
  next.setLimits({{Host, 1, 100}});
  const auto stale = HolderA.makeDemand(Time.now(), 0, 0);
  BOOST_TEST(next.onDemand(A, true, stale, Time.now()));
  LeaseRequest other{1, 0, 0, 1, stale.Held};
  BOOST_TEST(next.onDemand(B, true, other, Time.now()));
  LeaseRequest returned{stale.Sequence + 1, 0, 1, 1, {}};
  BOOST_TEST(next.onDemand(A, true, returned, Time.now()));
  next.lend(Time.now());
  BOOST_TEST(next.stateFor(A)->Loans.empty());
  BOOST_TEST(next.freeSlots(Time.now()).empty());
}

BOOST_AUTO_TEST_CASE(GrantsAfterAPauseOfTheKeeperAreTakenAsNew) {
  waitOut();
  exchange(HolderA, A, 2);
  Time.advance(SlotLeaseTerms::Term);
  HolderA.tick(Time.now());
  Keeper = SlotLeaseServer(Time.now(), 1000);
  Keeper.setLimits({{Host, 2, 100}});
  waitOut();
  exchange(HolderA, A, 2);
  BOOST_TEST(HolderA.loanCount() == 2U);
}

BOOST_AUTO_TEST_CASE(LoanThatRanOutWhileBusyIsNotUsedAgain) {
  waitOut();
  exchange(HolderA, A, 1);
  const auto slot = HolderA.acquire(Time.now());
  BOOST_REQUIRE(slot.has_value());
  Time.advance(SlotLeaseTerms::Term);
  Keeper = SlotLeaseServer(Time.now(), 1000);
  Keeper.setLimits({{Host, 2, 100}});
  exchange(HolderA, A, 1);
  HolderA.release(*slot, Time.now());
  BOOST_TEST(!HolderA.acquire(Time.now()).has_value());
}

BOOST_AUTO_TEST_CASE(UpstreamThatRefusedRestsAlsoUnderANewLoan) {
  waitOut();
  exchange(HolderA, A, 1);
  const auto slot = HolderA.acquire(Time.now());
  HolderA.release(*slot, Time.now() + std::chrono::milliseconds(100));
  exchange(HolderA, A, 1);
  BOOST_TEST(!HolderA.acquire(Time.now()).has_value());
  Time.advance(std::chrono::milliseconds(100));
  BOOST_TEST(HolderA.acquire(Time.now()).has_value());
}

BOOST_AUTO_TEST_CASE(LateLendOfAnOlderDemandIsIgnored) {
  waitOut();
  exchange(HolderA, A, 1);
  const auto stale = *Keeper.stateFor(A);
  const auto d = HolderA.makeDemand(Time.now(), 0, 1);
  HolderA.onLend(KeeperId, {d.Sequence, 0, 0, {}}, Time.now());
  HolderA.onLend(KeeperId, stale, Time.now());
  BOOST_TEST(HolderA.loanCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
