#include "request/slot_lease_client.h"
#include "request/slot_lease_server.h"

#include "boragebridge/clock.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

namespace {

constexpr UpstreamId Host{9};

struct SlotLeaseFixture {
  ManualClock Time;
  InstanceIncarnation A{InstanceId{1}, Incarnation{1}};
  InstanceIncarnation B{InstanceId{2}, Incarnation{2}};
  InstanceIncarnation ServerId{InstanceId{3}, Incarnation{3}};
  SlotLeaseServer Server{Time.now()};
  SlotLeaseClient ClientA;
  SlotLeaseClient ClientB;

  SlotLeaseFixture() {
    Server.setLimits({{Host, 2, 100}});
    ClientA.setServer(ServerId);
    ClientB.setServer(ServerId);
  }

  /// Sends one lease request of \p client to Server and applies the grant.
  auto exchange(SlotLeaseClient &client, const InstanceIncarnation &id,
                std::uint32_t wanted) -> void {
    const auto request = client.makeRequest(Time.now(), wanted, wanted + 1);
    BOOST_TEST(Server.onRequest(id, true, request, Time.now()));
    Server.grantLeases(Time.now());
    client.onGrant(ServerId, *Server.grantFor(id), Time.now());
  }
  auto waitForReclaim() -> void {
    Time.advance(SlotLeaseTerms::ReclaimAfter);
    Server.grantLeases(Time.now());
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SlotLeases, SlotLeaseFixture)

BOOST_AUTO_TEST_CASE(NewServerGrantsNothingUntilOldLeasesHaveEnded) {
  exchange(ClientA, A, 2);
  BOOST_TEST(ClientA.leaseCount() == 0U);
  Time.advance(SlotLeaseTerms::ReclaimAfter - std::chrono::milliseconds(1));
  exchange(ClientA, A, 2);
  BOOST_TEST(ClientA.leaseCount() == 0U);
  Time.advance(std::chrono::milliseconds(1));
  exchange(ClientA, A, 2);
  BOOST_TEST(ClientA.leaseCount() == 2U);
}

BOOST_AUTO_TEST_CASE(SlotIsNotLeasedTwice) {
  waitForReclaim();
  exchange(ClientA, A, 2);
  exchange(ClientB, B, 2);
  BOOST_TEST(ClientA.leaseCount() + ClientB.leaseCount() <= 2U);
  BOOST_TEST(Server.leasedCount() == 2U);
}

BOOST_AUTO_TEST_CASE(ColdUpstreamHasOneLeaseInTheFleet) {
  waitForReclaim();
  Server.setLimits({{Host, 1, 100}});
  exchange(ClientA, A, 4);
  exchange(ClientB, B, 4);
  BOOST_TEST(ClientA.leaseCount() + ClientB.leaseCount() == 1U);
}

BOOST_AUTO_TEST_CASE(LeaseThatIsNotRenewedStartsNoWork) {
  waitForReclaim();
  exchange(ClientA, A, 1);
  Time.advance(SlotLeaseTerms::Term);
  BOOST_TEST(!ClientA.acquire(Time.now()).has_value());
}

BOOST_AUTO_TEST_CASE(SlotsOfDeadClientAreReclaimedOnlyAfterItsWorkHasEnded) {
  waitForReclaim();
  exchange(ClientA, A, 2);
  Time.advance(SlotLeaseTerms::ReclaimAfter - std::chrono::milliseconds(1));
  exchange(ClientB, B, 1);
  BOOST_TEST(ClientB.leaseCount() == 0U);
  Time.advance(std::chrono::milliseconds(1));
  exchange(ClientB, B, 1);
  BOOST_TEST(ClientB.leaseCount() == 1U);
}

BOOST_AUTO_TEST_CASE(RestartedClientDoesNotFreeSlotsOfItsOldIncarnation) {
  waitForReclaim();
  exchange(ClientA, A, 2);
  SlotLeaseClient restarted;
  restarted.setServer(ServerId);
  exchange(restarted, {A.Id, Incarnation{77}}, 2);
  BOOST_TEST(restarted.leaseCount() == 0U);
}

BOOST_AUTO_TEST_CASE(IdleLeasesAreRecalledForAnotherInstance) {
  waitForReclaim();
  exchange(ClientA, A, 2);
  exchange(ClientB, B, 1);
  ClientA.onGrant(ServerId, *Server.grantFor(A), Time.now());
  BOOST_TEST(ClientA.tick(Time.now()));
  exchange(ClientA, A, 0);
  ClientB.onGrant(ServerId, *Server.grantFor(B), Time.now());
  BOOST_TEST(ClientB.leaseCount() == 1U);
}

BOOST_AUTO_TEST_CASE(NextServerAdoptsValidLeasesAndWithholdsTheRest) {
  waitForReclaim();
  exchange(ClientA, A, 1);
  SlotLeaseServer next(Time.now());
  next.setLimits({{Host, 2, 100}});
  const auto request = ClientA.makeRequest(Time.now(), 1, 1);
  BOOST_TEST(next.onRequest(A, true, request, Time.now()));
  next.grantLeases(Time.now());
  BOOST_TEST(next.grantFor(A)->Leases.size() == 1U);
  BOOST_TEST(next.freeSlots(Time.now()).empty());
  const auto handedOver = Server.freeSlots(Time.now());
  BOOST_TEST(handedOver.size() == 1U);
  next.addFree(handedOver, Time.now());
  next.grantLeases(Time.now());
  BOOST_TEST(next.grantFor(A)->Leases.size() == 2U);
}

BOOST_AUTO_TEST_CASE(SlotReportedByTwoClientsIsWithheldUntilBothHaveEnded) {
  waitForReclaim();
  exchange(ClientA, A, 1);
  SlotLeaseServer next(Time.now());
  next.setLimits({{Host, 1, 100}});
  const auto stale = ClientA.makeRequest(Time.now(), 0, 0);
  BOOST_TEST(next.onRequest(A, true, stale, Time.now()));
  LeaseRequest other{1, 0, 0, 1, stale.Held};
  BOOST_TEST(next.onRequest(B, true, other, Time.now()));
  LeaseRequest returned{stale.Sequence + 1, 0, 1, 1, {}};
  BOOST_TEST(next.onRequest(A, true, returned, Time.now()));
  next.grantLeases(Time.now());
  BOOST_TEST(next.grantFor(A)->Leases.empty());
  BOOST_TEST(next.freeSlots(Time.now()).empty());
}

BOOST_AUTO_TEST_CASE(GrantsAfterAServerPauseAreAcceptedAsNew) {
  waitForReclaim();
  exchange(ClientA, A, 2);
  Time.advance(SlotLeaseTerms::Term);
  ClientA.tick(Time.now());
  Server = SlotLeaseServer(Time.now(), 1000);
  Server.setLimits({{Host, 2, 100}});
  waitForReclaim();
  exchange(ClientA, A, 2);
  BOOST_TEST(ClientA.leaseCount() == 2U);
}

BOOST_AUTO_TEST_CASE(LeaseThatExpiredWhileBusyIsNotReused) {
  waitForReclaim();
  exchange(ClientA, A, 1);
  const auto slot = ClientA.acquire(Time.now());
  BOOST_REQUIRE(slot.has_value());
  Time.advance(SlotLeaseTerms::Term);
  Server = SlotLeaseServer(Time.now(), 1000);
  Server.setLimits({{Host, 2, 100}});
  exchange(ClientA, A, 1);
  ClientA.release(*slot, Time.now());
  BOOST_TEST(!ClientA.acquire(Time.now()).has_value());
}

BOOST_AUTO_TEST_CASE(BackoffAfterRefusalAppliesToNewLeases) {
  waitForReclaim();
  exchange(ClientA, A, 1);
  const auto slot = ClientA.acquire(Time.now());
  ClientA.release(*slot, Time.now() + std::chrono::milliseconds(100));
  exchange(ClientA, A, 1);
  BOOST_TEST(!ClientA.acquire(Time.now()).has_value());
  Time.advance(std::chrono::milliseconds(100));
  BOOST_TEST(ClientA.acquire(Time.now()).has_value());
}

BOOST_AUTO_TEST_CASE(LateGrantForAnOlderRequestIsIgnored) {
  waitForReclaim();
  exchange(ClientA, A, 1);
  const auto stale = *Server.grantFor(A);
  const auto request = ClientA.makeRequest(Time.now(), 0, 1);
  ClientA.onGrant(ServerId, {request.Sequence, 0, 0, {}}, Time.now());
  ClientA.onGrant(ServerId, stale, Time.now());
  BOOST_TEST(ClientA.leaseCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
