#include "request/request_controller.h"

#include "fakes/request_world.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

using fakes::RequestWorld;
using fakes::RequestWorldOptions;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Fails when an invariant that holds for every run was violated.
auto checkInvariants(const RequestWorld &w) -> void {
  const auto r = w.report();
  BOOST_TEST(r.RunsOverLimit == 0U);
  BOOST_TEST(r.FalseRefusals == 0U);
  BOOST_TEST(r.WrongAnswers == 0U);
  BOOST_TEST(r.SlotsOverLimit == 0U);
  BOOST_TEST(r.ColdOverLimit == 0U);
  BOOST_TEST(r.Misdelivered == 0U);
}

struct WarmWorld : RequestWorld {
  explicit WarmWorld(RequestWorldOptions opt = {})
      : RequestWorld(std::move(opt)) {
    OnReply = [this](std::size_t, const Packet &p) { Replies.push_back(p); };
    DropFromCaller = [this](const Packet &p) {
      Sent.push_back(p);
      return false;
    };
    run(WarmUp);
  }

  /// Returns the last packet of \p kind with a request number that a caller
  /// sent.
  auto lastSent(PacketKind kind) const -> Packet {
    for (auto it = Sent.rbegin(); it != Sent.rend(); ++it) {
      rw::RequestT m;
      if (it->Kind == kind && decode(it->Payload, m) && m.number != 0)
        return *it;
    }
    return {};
  }
  /// Returns the name of the instance that issued the ticket in \p p.
  auto ownerOf(const Packet &p) -> std::string {
    rw::RequestT m;
    BOOST_REQUIRE(decode(p.Payload, m));
    const auto f = readTicket(fromWire(m.ticket));
    for (const auto &name : instanceNames())
      if (f && idFromName<InstanceId>(name) == f->Owner)
        return name;
    return {};
  }
  auto lastOutcome() const -> rw::Outcome {
    rw::ReplyT m;
    BOOST_REQUIRE(decode(Replies.back().Payload, m));
    return m.outcome;
  }
  /// Sends \p p to every instance and waits for the replies.
  auto sendToAllInstances(const Packet &p) -> void {
    for (const auto &name : instanceNames())
      inject(name, p);
    run(milliseconds(500));
  }

  std::vector<Packet> Replies;
  std::vector<Packet> Sent;
};

/// Submits 40 requests with a deadline of 5 s, calls \p faults with the number
/// of the request after each to inject faults, and checks the invariants.
template <typename F> auto runUnderFaults(WarmWorld &w, F faults) -> void {
  for (int n = 0; n < 40; ++n) {
    w.submit(static_cast<std::size_t>(n) % 4, {.Deadline = seconds(5)});
    w.run(milliseconds(50));
    faults(n);
  }
  w.run(seconds(8));
  checkInvariants(w);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestPlane)

BOOST_AUTO_TEST_CASE(RequestGetsItsOwnAnswer) {
  WarmWorld w;
  for (std::size_t n = 0; n < 20; ++n)
    BOOST_TEST((w.submitAndWait(n % 4, {}).Kind == OutcomeKind::Answered));
  checkInvariants(w);
}

BOOST_AUTO_TEST_CASE(RetryThroughEveryInstanceGetsTheKeptAnswer) {
  WarmWorld w;
  w.submitAndWait(0, {});
  const auto replies = w.Replies.size();
  w.sendToAllInstances(w.lastSent(PacketKind::Request));
  BOOST_TEST(w.Replies.size() == replies + w.instanceNames().size());
  BOOST_TEST((w.lastOutcome() == rw::Outcome::Answered));
  checkInvariants(w);
}

BOOST_AUTO_TEST_CASE(RetriesJoinTheAttemptInProgress) {
  WarmWorld w;
  w.submit(0, {});
  w.run(milliseconds(40));
  w.sendToAllInstances(w.lastSent(PacketKind::Request));
  BOOST_TEST(w.counter("request_executes_total") == 1U);
  checkInvariants(w);
}

BOOST_AUTO_TEST_CASE(RetriesRecoverLostAnswers) {
  RequestWorldOptions opt;
  opt.CallerLoss = 0.3;
  opt.DuplicateShare = 0.3;
  WarmWorld w(opt);
  for (std::size_t n = 0; n < 30; ++n)
    w.submitAndWait(n % 4, {.Deadline = seconds(5)});
  checkInvariants(w);
  BOOST_TEST(w.report().Answered > 25U);
}

BOOST_AUTO_TEST_CASE(AnswerLostAtTheUpstreamIsUnknownAndNotRunAgain) {
  RequestWorldOptions opt;
  opt.AnswerLoss = 1;
  WarmWorld w(opt);
  BOOST_TEST((w.submitAndWait(0, {}).Kind == OutcomeKind::Unknown));
  w.run(seconds(1));
  w.sendToAllInstances(w.lastSent(PacketKind::Request));
  BOOST_TEST((w.lastOutcome() == rw::Outcome::Unknown));
  checkInvariants(w);
}

BOOST_AUTO_TEST_CASE(LateAnswerIsKeptForARetry) {
  WarmWorld w;
  for (std::size_t n = 0; n < w.hostCount(); ++n)
    w.host(n).setFaults({.Late = seconds(2)});
  BOOST_TEST((w.submitAndWait(0, {.Deadline = seconds(1)}).Kind ==
              OutcomeKind::Unknown));
  w.run(seconds(2));
  w.sendToAllInstances(w.lastSent(PacketKind::Request));
  BOOST_TEST((w.lastOutcome() == rw::Outcome::Answered));
  checkInvariants(w);
}

BOOST_AUTO_TEST_CASE(SwappedAndDuplicatedAnswersAreNotMixed) {
  WarmWorld w;
  for (std::size_t n = 0; n < w.hostCount(); ++n)
    w.host(n).setFaults({.Duplicate = true, .Swapped = true});
  runUnderFaults(w, [](int) {});
  BOOST_TEST(w.report().Answered > 0U);
}

BOOST_AUTO_TEST_CASE(LargeAnswerIsWholeOrReportedAsMissing) {
  RequestWorldOptions opt;
  opt.UploadAnswer = 100000;
  opt.AnswerLoss = 0.02;
  opt.CallerLoss = 0.02;
  WarmWorld w(opt);
  for (std::size_t n = 0; n < 20; ++n)
    w.submitAndWait(n % 4, {.Service = RequestWorld::uploads()});
  const auto r = w.report();
  BOOST_TEST(r.Answered > 0U);
  BOOST_TEST(r.AlreadyRun + r.Unknown > 0U);
  checkInvariants(w);
}

BOOST_AUTO_TEST_CASE(ForgedTicketIsRefusedAndItsNumberNeverRuns) {
  WarmWorld w;
  std::vector<Packet> held;
  w.DropFromCaller = [&held](const Packet &p) {
    rw::RequestT m;
    if (!decode(p.Payload, m) || m.number == 0)
      return false;
    held.push_back(p);
    return true;
  };
  w.submit(0, {.Deadline = milliseconds(300)});
  w.run(milliseconds(100));
  BOOST_REQUIRE(!held.empty());
  rw::RequestT m;
  BOOST_REQUIRE(decode(held.front().Payload, m));
  m.ticket.back() ^= 1U;
  w.sendToAllInstances({PacketKind::Request, held.front().Flow, encode(m)});
  BOOST_TEST((w.lastOutcome() == rw::Outcome::RefusedNotRun));
  w.sendToAllInstances(held.front());
  BOOST_TEST((w.lastOutcome() == rw::Outcome::RefusedNotRun));
  BOOST_TEST(w.counter("request_executes_total") == 0U);
}

BOOST_AUTO_TEST_CASE(NumberReusedWithAnotherBodyDoesNotGetTheFirstAnswer) {
  WarmWorld w;
  w.submitAndWait(0, {});
  auto p = w.lastSent(PacketKind::Request);
  rw::RequestT m;
  BOOST_REQUIRE(decode(p.Payload, m));
  m.body.push_back(1);
  p.Payload = encode(m);
  w.sendToAllInstances(p);
  BOOST_TEST((w.lastOutcome() == rw::Outcome::AlreadyRun));
  checkInvariants(w);
}

BOOST_AUTO_TEST_CASE(RetriesAfterOwnerIsKilledAreUnknownNeverNotRun) {
  WarmWorld w;
  w.submitAndWait(0, {});
  const auto p = w.lastSent(PacketKind::Request);
  const auto owner = w.ownerOf(p);
  w.kill(owner);
  w.run(seconds(4));
  w.sendToAllInstances(p);
  BOOST_TEST((w.lastOutcome() == rw::Outcome::Unknown));
  w.restart(owner);
  w.run(seconds(1));
  w.sendToAllInstances(p);
  BOOST_TEST((w.lastOutcome() == rw::Outcome::Unknown));
  checkInvariants(w);
}

BOOST_AUTO_TEST_CASE(PausedOwnerStillAnswersFromItsLedger) {
  WarmWorld w;
  w.submitAndWait(0, {});
  const auto p = w.lastSent(PacketKind::Request);
  const auto owner = w.ownerOf(p);
  w.setPaused(owner, true);
  w.run(seconds(15));
  w.setPaused(owner, false);
  w.run(seconds(1));
  w.sendToAllInstances(p);
  BOOST_TEST((w.lastOutcome() == rw::Outcome::Answered));
  checkInvariants(w);
}

BOOST_AUTO_TEST_CASE(InvariantsHoldUnderRestartsOnTheSameAddress) {
  WarmWorld w;
  runUnderFaults(w, [&w](int n) {
    if (n % 10 == 4)
      w.restart(w.instanceNames()[static_cast<std::size_t>(n / 10)]);
  });
}

BOOST_AUTO_TEST_CASE(InvariantsHoldUnderPausesLongerThanLeases) {
  WarmWorld w;
  runUnderFaults(w, [&w](int n) {
    const auto &name = w.instanceNames()[static_cast<std::size_t>(n / 10)];
    if (n % 10 == 2)
      w.setPaused(name, true);
    if (n % 10 == 9) {
      w.run(seconds(3));
      w.setPaused(name, false);
    }
  });
}

BOOST_AUTO_TEST_CASE(RequestQueuedDuringAPauseIsNotSentAfterItsDeadline) {
  RequestWorldOptions opt;
  opt.DataCentres = {"north"};
  opt.InstancesPerDataCentre = 1;
  WarmWorld w(opt);
  for (std::size_t n = 0; n < 30; ++n)
    w.submit(n % 4, {.Deadline = seconds(1)});
  w.run(milliseconds(30));
  const auto sent = w.counter("request_executes_total");
  w.setPaused("north-0", true);
  w.run(milliseconds(1200));
  w.setPaused("north-0", false);
  w.run(seconds(2));
  BOOST_TEST(w.counter("request_executes_total") == sent);
  checkInvariants(w);
}

BOOST_AUTO_TEST_CASE(InvariantsHoldUnderNetworkPartition) {
  WarmWorld w;
  runUnderFaults(w, [&w](int n) {
    if (n % 10 == 3)
      w.setCut("north", "south", n % 20 == 3);
  });
}

// A planned stop must neither cut off running requests nor end any request with
// an unknown outcome.
BOOST_AUTO_TEST_CASE(PlannedStopLosesNoRequest) {
  WarmWorld w;
  for (std::size_t n = 0; n < 12; ++n)
    w.submit(n % 4, {.Deadline = seconds(4)});
  w.run(milliseconds(30));
  w.beginStop("north-0");
  w.run(seconds(6));
  BOOST_TEST(!w.fleet().isRunning("north-0"));
  BOOST_TEST(w.report().Unknown == 0U);
  BOOST_TEST(w.report().Answered == 12U);
  checkInvariants(w);
}

BOOST_AUTO_TEST_CASE(SuccessorAnswersForAStoppedInstanceAndItsSuccessor) {
  WarmWorld w;
  w.submitAndWait(0, {});
  const auto p = w.lastSent(PacketKind::Request);
  const auto owner = w.ownerOf(p);
  w.beginStop(owner);
  w.run(seconds(4));
  BOOST_TEST(!w.fleet().isRunning(owner));
  w.sendToAllInstances(p);
  BOOST_TEST((w.lastOutcome() == rw::Outcome::Answered));
  w.beginStop(owner == "north-0"   ? "north-1"
              : owner == "north-1" ? "north-0"
              : owner == "south-0" ? "south-1"
                                   : "south-0");
  w.run(seconds(4));
  w.sendToAllInstances(p);
  BOOST_TEST((w.lastOutcome() == rw::Outcome::Answered));
  checkInvariants(w);
}

BOOST_AUTO_TEST_CASE(ColdUpstreamsDiscoveredAtOnceGetOneRequestEach) {
  RequestWorldOptions opt;
  opt.HostsStartCold = true;
  opt.DataCentres = {"north"};
  opt.InstancesPerDataCentre = 8;
  opt.BookingHosts = 2;
  WarmWorld w(opt);
  for (std::size_t n = 0; n < 60; ++n)
    w.submit(n % 4, {});
  w.run(seconds(8));
  BOOST_TEST(w.report().Answered > 20U);
  checkInvariants(w);
}

BOOST_AUTO_TEST_CASE(OverloadOfOneServiceDoesNotAffectAnother) {
  WarmWorld w;
  for (int n = 0; n < 1200; ++n) {
    w.submit(static_cast<std::size_t>(n) % 4,
             {.Deadline = seconds(1), .RetryRefusals = false});
    if (n % 120 == 0) {
      const auto r = w.submitAndWait(0, {.Service = RequestWorld::uploads()});
      BOOST_TEST((r.Kind == OutcomeKind::Answered));
    }
  }
  w.run(seconds(3));
  BOOST_TEST(w.report().Refused > 100U);
  checkInvariants(w);
}

BOOST_AUTO_TEST_CASE(CancelledQueuedRequestDoesNotRun) {
  WarmWorld w;
  std::vector<std::uint64_t> ids;
  for (std::size_t n = 0; n < 40; ++n)
    ids.push_back(w.submit(n % 4, {}));
  w.run(milliseconds(60));
  for (auto id : ids)
    w.cancel(id);
  w.run(seconds(2));
  const auto r = w.report();
  BOOST_TEST(r.Refused > 0U);
  BOOST_TEST(r.Refused + r.Answered + r.Unknown == 40U);
  checkInvariants(w);
}

BOOST_AUTO_TEST_CASE(MalformedPacketsAndFramesAreDropped) {
  WarmWorld w;
  w.inject("north-0", {PacketKind::Request, {}, Bytes(40, std::byte{0xFF})});
  auto &it = w.fleet().instance("north-0");
  BOOST_TEST(it.metrics().counterValue("request_bad_packets_total") == 1U);
  for (std::uint8_t n = 1; n <= 9; ++n) {
    const auto kind = messageKind(MessageFamily::Request, n);
    BOOST_TEST(!it.onPeerFrame({{}, {}, {}, kind, Bytes(40, std::byte{0xFF})}));
  }
}

BOOST_AUTO_TEST_CASE(WithdrawnDataCentreGetsNoMorePackets) {
  WarmWorld w;
  w.setWithdrawn("north", true);
  for (std::size_t n = 0; n < w.hostCount(); ++n)
    if (w.hostDataCentre(n) == "north")
      w.host(n).expectNoPackets(w.now() + milliseconds(100));
  w.run(milliseconds(200));
  for (std::size_t n = 0; n < 10; ++n)
    BOOST_TEST((w.submitAndWait(n % 4, {}).Kind == OutcomeKind::Answered));
  BOOST_TEST(w.report().PacketsAfterWithdrawal == 0U);
  checkInvariants(w);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
