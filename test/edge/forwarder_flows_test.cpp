// How the forwarder tells flows apart: the transmissions of one opening, and
// the flows of one port.
#include <boost/test/unit_test.hpp>

#include "edge_fixture.h"

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_FIXTURE_TEST_SUITE(EdgeForwarderFlows, EdgeFixture)

// Two upstreams answered the transmissions of an opening. The caller took the
// tag of the later answer, and an instance that had not seen the opening sent
// the open flow to the upstream that did not have it (review/9).
BOOST_AUTO_TEST_CASE(FlowIsOfferedToOneUpstreamOnly) {
  start({record("i-1", 1), record("i-2", 2), record("i-3", 3)});
  Forwarder other(Directory, Estimates, Policy);
  // Whether each transmission comes through the other instance.
  for (unsigned way = 0; way < 8; ++way) {
    std::set<std::string> offered;
    const auto port = NextPort++;
    for (std::uint32_t copy = 0; copy < 3; ++copy) {
      auto &instance = (way >> copy & 1U) != 0 ? other : PacketForwarder;
      const auto d = instance.decide(opening(port, copy), now());
      if (d.Action == EdgeAction::Forward)
        offered.insert(d.Upstream->Record.Name);
      else
        BOOST_TEST((d.Action == EdgeAction::Reset));
      for (int i = 0; i < 20; ++i) {
        Time.advance(milliseconds(10));
        PacketForwarder.tick(now());
        other.tick(now());
      }
    }
    BOOST_TEST(offered.size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(OpeningThatIsNotAnsweredIsResetAndTheNextGoesElsewhere) {
  start({record("i-1", 1), record("i-2", 2)});
  const auto first = PacketForwarder.decide(opening(1), now());
  advance(milliseconds(200));
  const auto second = PacketForwarder.decide(opening(1, 1), now());
  BOOST_TEST((second.Action == EdgeAction::Reset));
  BOOST_TEST((second.Reason == EdgeReason::OpeningFailed));
  BOOST_TEST(second.Upstream == first.Upstream);
  BOOST_TEST(openedTo() != first.Upstream->Record.Name);
}

BOOST_AUTO_TEST_CASE(RetransmittedOpeningStaysWhereNoOtherUpstreamIsBetter) {
  start({record("i-1", 1), record("i-2", 2)});
  const auto first = PacketForwarder.decide(opening(1), now());
  const auto *other = PacketForwarder.decide(opening(2), now()).Upstream;
  BOOST_TEST_REQUIRE(other != first.Upstream);
  advance(milliseconds(200));
  // Neither upstream has answered.
  const auto second = PacketForwarder.decide(opening(1, 1), now());
  BOOST_TEST((second.Reason == EdgeReason::OpenedAgain));
  BOOST_TEST(second.Upstream == first.Upstream);
}

BOOST_AUTO_TEST_CASE(RetransmittedOpeningThatWasNotSeenBeforeIsReset) {
  start({record("i-1", 1)});
  const auto d = PacketForwarder.decide(opening(1, 1), now());
  BOOST_TEST((d.Action == EdgeAction::Reset));
  BOOST_TEST((d.Reason == EdgeReason::UnknownOpening));
  // An earlier flow of the port does not make it known.
  const auto port = openAnswered();
  auto p = opening(port, 1);
  p.Sequence += 77'000;
  BOOST_TEST(
      (PacketForwarder.decide(p, now()).Reason == EdgeReason::UnknownOpening));
}

// An open flow was sent to the upstream of an earlier flow of its port, which
// reset it (review/6), long before the earlier flow could be forgotten. Its
// end came through this instance or another one.
BOOST_AUTO_TEST_CASE(FlowOnAPortThatIsUsedAgainSoonGoesToItsOwnUpstream) {
  start({record("i-1", 1), record("i-2", 2)});
  const auto first = tagOf("i-1", seconds(1000));
  const auto second = tagOf("i-2", seconds(1000));
  for (const auto isEndSeen : {false, true})
    for (const auto gap : {milliseconds(0), milliseconds(700),
                           milliseconds(6000), milliseconds(14'000)}) {
      const auto port = NextPort++;
      PacketForwarder.decide(data(port, first), now());
      if (isEndSeen) {
        auto end = data(port, first, 100, 1500);
        end.Finishes = true;
        PacketForwarder.decide(end, now());
      }
      advance(gap);
      const auto d =
          PacketForwarder.decide(data(port, second, 100, 1500), now());
      BOOST_TEST_REQUIRE((d.Action == EdgeAction::Forward));
      BOOST_TEST(d.Upstream->Record.Name == "i-2");
    }
}

// A caller that begins each flow with the same number: the opening of the later
// flow is not a retransmission of the earlier one.
BOOST_AUTO_TEST_CASE(OpeningOnAPortThatIsUsedAgainChoosesItsOwnUpstream) {
  auto draining = record("i-1", 1);
  start({draining});
  const auto port = openAnswered();
  advance(seconds(6));
  draining.Draining = true;
  Directory.putUpstream(draining, now());
  Directory.putUpstream(record("i-2", 2), now());
  const auto d = PacketForwarder.decide(opening(port), now());
  BOOST_TEST_REQUIRE((d.Action == EdgeAction::Forward));
  BOOST_TEST(d.Upstream->Record.Name == "i-2");
}

// What an entry knew of an earlier flow of the port counted as data that its
// upstream had left without an answer.
BOOST_AUTO_TEST_CASE(EarlierFlowOfAPortIsNoEvidenceAgainstItsUpstream) {
  start({record("i-1", 1)});
  const auto tag = tagOf("i-1", seconds(1000));
  const auto *u = Directory.find(tag);
  for (std::uint16_t port = 1; port <= 5; ++port)
    PacketForwarder.decide(data(port, tag, 5'000'000, 5'000'000), now());
  advance(seconds(6));
  for (std::uint16_t port = 1; port <= 5; ++port)
    PacketForwarder.decide(data(port, tag), now());
  BOOST_TEST(Estimates.failures(*u) == 0U);
  BOOST_TEST(!Estimates.isSilent(*u, now()));
  BOOST_TEST(PacketForwarder.reusedPorts() == 5U);
}

BOOST_AUTO_TEST_CASE(DataAfterTheEndOfAFlowBelongsToALaterOne) {
  start({record("i-1", 1)});
  const auto tag = tagOf("i-1", seconds(1000));
  auto end = data(1, tag, 100);
  end.Finishes = true;
  PacketForwarder.decide(end, now());
  // The end of the flow again, and the last acknowledgement.
  PacketForwarder.decide(end, now());
  end.Length = 0;
  PacketForwarder.decide(end, now());
  BOOST_TEST(PacketForwarder.reusedPorts() == 0U);
  PacketForwarder.decide(data(1, tag, 5000), now());
  BOOST_TEST(PacketForwarder.reusedPorts() == 1U);
}

// The same, after the earlier flow was forgotten.
BOOST_AUTO_TEST_CASE(FlowOnAPortThatIsUsedAgainGoesToItsOwnUpstream) {
  start({record("i-1", 1), record("i-2", 2)});
  PacketForwarder.decide(data(1, tagOf("i-1", seconds(1000))), now());
  advance(seconds(16));
  const auto d =
      PacketForwarder.decide(data(1, tagOf("i-2", seconds(1000))), now());
  BOOST_TEST_REQUIRE((d.Action == EdgeAction::Forward));
  BOOST_TEST(d.Upstream->Record.Name == "i-2");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
