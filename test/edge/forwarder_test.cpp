#include <boost/test/unit_test.hpp>

#include "edge_fixture.h"

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_FIXTURE_TEST_SUITE(EdgeForwarder, EdgeFixture)

BOOST_AUTO_TEST_CASE(ReasonNamesAreUnique) {
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < static_cast<std::size_t>(EdgeReason::Count); ++i)
    names.insert(toString(static_cast<EdgeReason>(i)));
  BOOST_TEST(!names.contains(""));
  BOOST_TEST(names.size() == static_cast<std::size_t>(EdgeReason::Count));
}

BOOST_AUTO_TEST_CASE(DropsPacketsBeforeViewsAreComplete) {
  BOOST_TEST(
      (PacketForwarder.decide(opening(1), now()).Action == EdgeAction::Drop));
}

BOOST_AUTO_TEST_CASE(ForwardsByTagWithoutFlowEntry) {
  start({record("i-1", 1), record("i-2", 2)});
  const auto d =
      PacketForwarder.decide(data(1, tagOf("i-2", seconds(1000)), 700), now());
  BOOST_TEST_REQUIRE((d.Action == EdgeAction::Forward));
  BOOST_TEST(d.Upstream->Record.Name == "i-2");
}

BOOST_AUTO_TEST_CASE(RetransmittedOpeningStaysWithResponsiveUpstream) {
  start({record("i-1", 1)});
  const auto first = PacketForwarder.decide(opening(1), now());
  advance(milliseconds(150));
  openAnswered();
  advance(milliseconds(50));
  const auto second = PacketForwarder.decide(opening(1, 1), now());
  BOOST_TEST(second.Upstream->Record.Name == first.Upstream->Record.Name);
}

// The first retransmission of an opening packet was lost in a network cut. The
// second one and the instance's next flow reached a cold upstream within a
// second. Seen in boragebench edge, seed 40419.
BOOST_AUTO_TEST_CASE(RetransmittedOpeningCountsAgainstColdQuota) {
  auto cold = record("i-1", 1);
  cold.ColdFor = seconds(60);
  start({cold});
  BOOST_TEST(openedTo() == "i-1");
  Time.advance(milliseconds(600));
  BOOST_TEST((PacketForwarder.decide(opening(20'000, 2), now()).Action ==
              EdgeAction::Forward));
  Time.advance(milliseconds(800));
  BOOST_TEST(openedTo().empty());
  Time.advance(milliseconds(600));
  BOOST_TEST(openedTo() == "i-1");
}

BOOST_AUTO_TEST_CASE(UnansweredOpeningDivertsNewFlowsWithin80Ms) {
  start({record("i-1", 1), record("i-2", 2)});
  const auto unresponsive =
      PacketForwarder.decide(opening(1), now()).Upstream->Record.Name;
  advance(milliseconds(80));
  for (int i = 0; i < 20; ++i)
    BOOST_TEST(openedTo() != unresponsive);
}

BOOST_AUTO_TEST_CASE(ProcessPauseIsNotAFailure) {
  start({record("i-1", 1)});
  const auto *u = PacketForwarder.decide(opening(1), now()).Upstream;
  advance(milliseconds(20));
  Time.advance(seconds(4));
  PacketForwarder.tick(now());
  BOOST_TEST(Estimates.failures(*u) == 0U);
}

// An instance that was stopped for seconds forwarded the openings queued
// meanwhile, although retransmissions had opened the flows through other
// instances. Seen in soak seeds 2 to 4.
BOOST_AUTO_TEST_CASE(DropsOpeningsQueuedDuringLongPause) {
  start({record("i-1", 1)});
  advance(milliseconds(40));
  Time.advance(milliseconds(1200));
  const auto d = PacketForwarder.decide(opening(1), now());
  BOOST_TEST((d.Action == EdgeAction::Drop));
  BOOST_TEST((d.Reason == EdgeReason::Stale));
  PacketForwarder.tick(now());
  BOOST_TEST((PacketForwarder.decide(opening(1), now()).Action ==
              EdgeAction::Forward));
}

BOOST_AUTO_TEST_CASE(ResetsFlowOfGoneUpstream) {
  start({record("i-1", 1), record("i-2", 2)});
  advance(seconds(3));
  Directory.removeUpstream("i-1", now());
  const auto p = data(1, tagOf("i-1", seconds(1000)));
  BOOST_TEST((PacketForwarder.decide(p, now()).Action == EdgeAction::Forward));
  advance(seconds(3));
  const auto d = PacketForwarder.decide(p, now());
  BOOST_TEST((d.Action == EdgeAction::Reset));
  BOOST_TEST((d.Reason == EdgeReason::UpstreamGone));
}

// The records had lapsed behind a cut, and the store was restored without them.
BOOST_AUTO_TEST_CASE(OpenFlowOfServingUpstreamWithoutRecordIsNotReset) {
  start({record("i-1", 1), record("i-2", 2)});
  const auto tag = tagOf("i-1", seconds(1000));
  advance(seconds(3));
  Directory.removeUpstream("i-1", now());
  constexpr std::uint32_t Answer = 1000;
  for (std::uint32_t i = 0; i < 20; ++i) {
    const auto d =
        PacketForwarder.decide(data(1, tag, 100 * i, Answer * i), now());
    BOOST_TEST((d.Action == EdgeAction::Forward));
    advance(milliseconds(500));
  }
  // A flow that was idle, or that came through another instance before.
  BOOST_TEST((PacketForwarder.decide(data(2, tag, 700), now()).Action ==
              EdgeAction::Forward));
  for (int i = 0; i < 20; ++i)
    BOOST_TEST(openedTo() == "i-2");
}

BOOST_AUTO_TEST_CASE(CrashedUpstreamWithoutRecordResetsItsFlowsAtOnce) {
  start({record("i-1", 1)});
  const auto tag = tagOf("i-1", seconds(1000));
  const auto decide = [&](std::uint16_t port) {
    return PacketForwarder.decide(data(port, tag), now());
  };
  decide(1);
  advance(milliseconds(200));
  Directory.removeUpstream("i-1", now());
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST((decide(1).Action == EdgeAction::Forward));
    advance(milliseconds(800));
  }
  advance(milliseconds(200));
  BOOST_TEST((decide(1).Reason == EdgeReason::UpstreamGone));
  BOOST_TEST((decide(2).Action == EdgeAction::Reset));
}

BOOST_AUTO_TEST_CASE(IdleFlowOfCrashedUpstreamWithoutRecordIsResetIn600Ms) {
  start({record("i-1", 1)});
  Directory.removeUpstream("i-1", now());
  advance(seconds(20));
  const auto p = data(1, tagOf("i-1", seconds(1000)));
  BOOST_TEST((PacketForwarder.decide(p, now()).Action == EdgeAction::Forward));
  advance(milliseconds(200));
  // A single packet may have been lost.
  BOOST_TEST((PacketForwarder.decide(p, now()).Action == EdgeAction::Forward));
  advance(milliseconds(400));
  BOOST_TEST((PacketForwarder.decide(p, now()).Action == EdgeAction::Reset));
}

BOOST_AUTO_TEST_CASE(AnswerEndsSilenceOfUpstreamWithoutRecord) {
  start({record("i-1", 1)});
  const auto tag = tagOf("i-1", seconds(1000));
  PacketForwarder.decide(data(2, tag), now());
  Directory.removeUpstream("i-1", now());
  advance(seconds(3));
  PacketForwarder.decide(data(1, tag), now());
  advance(milliseconds(700));
  PacketForwarder.decide(data(2, tag, 100, 900), now());
  // This flow alone gets no answer.
  BOOST_TEST((PacketForwarder.decide(data(1, tag), now()).Action ==
              EdgeAction::Forward));
  BOOST_TEST((PacketForwarder.decide(data(3, tag), now()).Action ==
              EdgeAction::Forward));
}

BOOST_AUTO_TEST_CASE(DataSentBeforePauseIsNoEvidenceOfSilence) {
  start({record("i-1", 1)});
  const auto p = data(1, tagOf("i-1", seconds(1000)));
  advance(milliseconds(20));
  PacketForwarder.decide(p, now());
  Directory.removeUpstream("i-1", now());
  Time.advance(seconds(5));
  BOOST_TEST((PacketForwarder.decide(p, now()).Action == EdgeAction::Forward));
  PacketForwarder.tick(now());
  advance(milliseconds(200));
  BOOST_TEST((PacketForwarder.decide(p, now()).Action == EdgeAction::Forward));
  advance(milliseconds(600));
  BOOST_TEST((PacketForwarder.decide(p, now()).Action == EdgeAction::Reset));
}

// Flows of all upstreams wait when the link of this instance is congested.
BOOST_AUTO_TEST_CASE(CongestedLinkIsNoEvidenceOfSilence) {
  start({record("i-1", 1), record("i-2", 2), record("i-3", 3)});
  Directory.removeUpstream("i-1", now());
  advance(seconds(3));
  auto last = EdgeAction::Drop;
  for (int copy = 0; copy < 2; ++copy) {
    for (const std::uint16_t i : {3, 2, 1})
      last =
          PacketForwarder
              .decide(data(i, tagOf("i-" + std::to_string(i), seconds(1000))),
                      now())
              .Action;
    advance(milliseconds(600));
  }
  BOOST_TEST((last == EdgeAction::Forward));
}

BOOST_AUTO_TEST_CASE(FlowOpenedBeforeRestartGoesOnAtUpstreamWithoutRecord) {
  auto r = record("i-1", 1);
  start({r});
  const auto before = tagOf(r.Name, r.StartedAt);
  r.StartedAt += seconds(9);
  Directory.putUpstream(r, now());
  Directory.removeUpstream(r.Name, now());
  advance(seconds(3));
  const auto d = PacketForwarder.decide(data(1, before), now());
  BOOST_TEST_REQUIRE((d.Action == EdgeAction::Forward));
  BOOST_TEST((d.Upstream->Tag == tagOf(r.Name, r.StartedAt)));
}

BOOST_AUTO_TEST_CASE(FlowOfDrainingUpstreamContinues) {
  auto r = record("i-1", 1);
  start({r});
  const auto port = openAnswered();
  r.Draining = true;
  Directory.putUpstream(r, now());
  const auto d =
      PacketForwarder.decide(data(port, tagOf("i-1", r.StartedAt), 100), now());
  BOOST_TEST((d.Action == EdgeAction::Forward));
}

BOOST_AUTO_TEST_CASE(ResetsUnknownTagOnlyWhenDirectoryIsStable) {
  start({record("i-1", 1)});
  const auto p = data(1, UpstreamTag{99});
  BOOST_TEST((PacketForwarder.decide(p, now()).Action == EdgeAction::Drop));
  advance(seconds(3));
  BOOST_TEST((PacketForwarder.decide(p, now()).Action == EdgeAction::Reset));
}

// Another instance had read the record of a new upstream already.
BOOST_AUTO_TEST_CASE(OpenFlowAtUpstreamThatIsNotKnownYetIsNotReset) {
  start({record("i-1", 1)});
  advance(seconds(10));
  const auto late = record("i-2", 2);
  const auto p = data(1, tagOf(late.Name, late.StartedAt));
  BOOST_TEST((PacketForwarder.decide(p, now()).Action == EdgeAction::Drop));
  advance(milliseconds(500));
  Directory.putUpstream(late, now());
  BOOST_TEST((PacketForwarder.decide(p, now()).Action == EdgeAction::Forward));
}

// The upstream had restarted under its name, and instances that did not know
// of it yet opened flows with the tag of the earlier lifetime.
BOOST_AUTO_TEST_CASE(FlowOpenedBeforeRestartIsKnownIsNotReset) {
  auto r = record("i-1", 1);
  start({r});
  const auto port = openAnswered();
  const auto before = tagOf(r.Name, r.StartedAt);
  r.StartedAt += seconds(9);
  Directory.putUpstream(r, now());
  const auto d = PacketForwarder.decide(data(port, before, 100), now());
  BOOST_TEST_REQUIRE((d.Action == EdgeAction::Forward));
  BOOST_TEST((d.Upstream->Tag == tagOf(r.Name, r.StartedAt)));
  // The record expires in an outage of the store.
  Directory.removeUpstream(r.Name, now());
  BOOST_TEST((PacketForwarder.decide(data(port, before, 100), now()).Action ==
              EdgeAction::Forward));
}

// A record of another writer, or of an upstream whose clock is ahead.
BOOST_AUTO_TEST_CASE(LaterRecordAtTheAddressOfALivingUpstreamResetsNoFlow) {
  start({record("i-1", 1)});
  const auto port = openAnswered();
  auto later = record("i-2", 1);
  later.StartedAt += seconds(5);
  Directory.putUpstream(later, now());
  const auto p = data(port, tagOf("i-1", seconds(1000)), 100);
  const auto d = PacketForwarder.decide(p, now());
  BOOST_TEST_REQUIRE((d.Action == EdgeAction::Forward));
  BOOST_TEST(d.Upstream->Record.Name == "i-1");
  Directory.removeUpstream("i-1", now());
  BOOST_TEST((PacketForwarder.decide(p, now()).Action == EdgeAction::Forward));
  advance(seconds(3));
  BOOST_TEST((PacketForwarder.decide(p, now()).Action == EdgeAction::Reset));
}

BOOST_AUTO_TEST_CASE(CrashedUpstreamWhoseAddressIsReusedResetsItsFlows) {
  start({record("i-1", 1)});
  const auto p = data(1, tagOf("i-1", seconds(1000)));
  PacketForwarder.decide(p, now());
  auto other = record("i-2", 1);
  other.StartedAt += seconds(5);
  Directory.putUpstream(other, now());
  advance(milliseconds(200));
  BOOST_TEST((PacketForwarder.decide(p, now()).Action == EdgeAction::Forward));
  advance(milliseconds(400));
  BOOST_TEST(
      (PacketForwarder.decide(p, now()).Reason == EdgeReason::UpstreamGone));
  // The record of the crashed upstream is still there.
  BOOST_TEST((Directory.goneReason(*Directory.find(p.Tag), now()) ==
              GoneReason::AddressTaken));
}

BOOST_AUTO_TEST_CASE(FlowOpenedBeforeRestartAfterExpiryIsKnownIsNotReset) {
  auto r = record("i-1", 1);
  start({r});
  const auto port = openAnswered();
  const auto before = tagOf(r.Name, r.StartedAt);
  Directory.removeUpstream(r.Name, now());
  advance(seconds(1));
  r.StartedAt += seconds(9);
  Directory.putUpstream(r, now());
  advance(seconds(3));
  BOOST_TEST((PacketForwarder.decide(data(port, before, 100), now()).Action ==
              EdgeAction::Forward));
}

BOOST_AUTO_TEST_CASE(ResetsPacketWithoutRouteButNeverAReset) {
  start({record("i-1", 1)});
  auto p = opening(1);
  p.Flow.Service.Port = 444;
  const auto d = PacketForwarder.decide(p, now());
  BOOST_TEST((d.Action == EdgeAction::Reset));
  BOOST_TEST((d.Reason == EdgeReason::NoRoute));
  p.Opens = false;
  p.Resets = true;
  BOOST_TEST((PacketForwarder.decide(p, now()).Action == EdgeAction::Drop));
}

BOOST_AUTO_TEST_CASE(ResetsFlowOfRemovedRoute) {
  start({record("i-1", 1)});
  const auto port = openAnswered();
  EdgeConfiguration c;
  c.Version = 2;
  Directory.setConfiguration(c, now());
  const auto d =
      PacketForwarder.decide(data(port, tagOf("i-1", seconds(1000))), now());
  BOOST_TEST((d.Action == EdgeAction::Reset));
}

// An instance that had not read a new route yet reset the flows that others had
// opened on it.
BOOST_AUTO_TEST_CASE(OpenFlowOnUnknownRouteGoesOn) {
  start({record("i-1", 1)});
  auto p = data(1, tagOf("i-1", seconds(1000)));
  p.Flow.Service.Port = 444;
  const auto d = PacketForwarder.decide(p, now());
  BOOST_TEST((d.Action == EdgeAction::Forward));
  BOOST_TEST((d.Reason == EdgeReason::Tagged));
  p = data(2, UpstreamTag{99});
  p.Flow.Service.Port = 444;
  BOOST_TEST((PacketForwarder.decide(p, now()).Action == EdgeAction::Drop));
}

BOOST_AUTO_TEST_CASE(ResetsOpeningWithoutUpstream) {
  start({});
  const auto d = PacketForwarder.decide(opening(1), now());
  BOOST_TEST((d.Action == EdgeAction::Reset));
  BOOST_TEST((d.Reason == EdgeReason::NoUpstream));
}

BOOST_AUTO_TEST_CASE(ResetsFlowsOfUnresponsiveUpstream) {
  start({record("i-1", 1), record("i-2", 2)});
  const auto unresponsive = tagOf("i-1", seconds(1000));
  // The instance sees these flows first after their handshakes, as after a
  // restart.
  for (std::uint16_t port = 1; port <= 4; ++port)
    PacketForwarder.decide(data(port, unresponsive, 100), now());
  const auto retransmitAll = [&] {
    auto last = EdgeAction::Drop;
    for (std::uint16_t port = 1; port <= 4; ++port)
      last =
          PacketForwarder.decide(data(port, unresponsive, 100), now()).Action;
    return last;
  };
  advance(milliseconds(200));
  BOOST_TEST((retransmitAll() == EdgeAction::Forward));
  advance(milliseconds(380));
  openAnswered();
  openAnswered();
  advance(milliseconds(20));
  BOOST_TEST((retransmitAll() == EdgeAction::Reset));
}

BOOST_AUTO_TEST_CASE(DataQueuedInProcessIsNotARetransmission) {
  start({record("i-1", 1)});
  const auto tag = tagOf("i-1", seconds(1000));
  std::vector<std::uint16_t> ports;
  ports.reserve(4);
  for (int i = 0; i < 4; ++i)
    ports.push_back(openAnswered());
  advance(milliseconds(200));
  // Data and its retransmission are read together.
  for (const auto it : ports)
    for (int copy = 0; copy < 2; ++copy)
      PacketForwarder.decide(data(it, tag, 100), now());
  BOOST_TEST(Estimates.failures(*Directory.find(tag)) == 0U);
}

BOOST_AUTO_TEST_CASE(SingleRetransmittingFlowIsNeverReset) {
  start({record("i-1", 1)});
  const auto port = openAnswered();
  const auto tag = tagOf("i-1", seconds(1000));
  for (int i = 0; i < 30; ++i) {
    const auto d = PacketForwarder.decide(data(port, tag), now());
    BOOST_TEST((d.Action == EdgeAction::Forward));
    advance(milliseconds(200));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
