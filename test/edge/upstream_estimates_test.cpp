#include <boost/test/unit_test.hpp>

#include "edge_fixture.h"

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct UpstreamEstimatesFixture : EdgeFixture {
  UpstreamEstimatesFixture() {
    auto remote = record("i-3", 3);
    remote.DataCentre = RemoteDataCentre;
    auto remote2 = record("i-4", 4);
    remote2.DataCentre = RemoteDataCentre;
    auto remote3 = record("i-5", 5);
    remote3.DataCentre = RemoteDataCentre;
    start({record("i-1", 1), record("i-2", 2), remote, remote2, remote3});
  }
  auto upstream(const std::string &name) const -> const UpstreamLifetime & {
    return *Directory.find(tagOf(name, seconds(1000)));
  }
  auto recordFailure(const std::string &name) -> void {
    Estimates.onUnanswered(upstream(name), now());
  }
  /// A flow with no earlier retransmission retransmits data after \p waited.
  auto retransmit(const std::string &name, Duration waited) -> void {
    Estimates.onRetransmission(upstream(name), now() - waited, {}, now());
  }
  auto recordPromptAnswers() -> void {
    for (int i = 0; i < 2; ++i)
      Estimates.onAnswered(upstream("i-2"), milliseconds(5), now());
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EdgeUpstreamEstimates, UpstreamEstimatesFixture)

BOOST_AUTO_TEST_CASE(FailureAvoidsUpstreamTemporarily) {
  BOOST_TEST(!Estimates.isAvoided(upstream("i-1"), now()));
  recordFailure("i-1");
  BOOST_TEST(Estimates.isAvoided(upstream("i-1"), now()));
  BOOST_TEST(!Estimates.isAvoided(upstream("i-2"), now()));
  Time.advance(milliseconds(500));
  BOOST_TEST(!Estimates.isAvoided(upstream("i-1"), now()));
}

BOOST_AUTO_TEST_CASE(ReportsSuspectOnce) {
  recordFailure("i-1");
  recordFailure("i-1");
  const auto all = Estimates.takeSuspects();
  BOOST_TEST_REQUIRE(all.size() == 1U);
  BOOST_TEST((all.front() == tagOf("i-1", seconds(1000))));
  BOOST_TEST(Estimates.takeSuspects().empty());
}

BOOST_AUTO_TEST_CASE(FurtherFailuresExtendAvoidance) {
  recordFailure("i-1");
  recordFailure("i-1");
  Time.advance(milliseconds(500));
  BOOST_TEST(Estimates.isAvoided(upstream("i-1"), now()));
}

BOOST_AUTO_TEST_CASE(ProgressClearsFailures) {
  recordFailure("i-1");
  Time.advance(milliseconds(1));
  Estimates.onProgress(upstream("i-1"), now());
  BOOST_TEST(!Estimates.isAvoided(upstream("i-1"), now()));
  BOOST_TEST(Estimates.failures(upstream("i-1")) == 0U);
}

BOOST_AUTO_TEST_CASE(RetransmittingFlowCountsAsOneFailure) {
  Estimates.onRetransmission(upstream("i-1"), now(), {}, now());
  const auto before = now();
  Time.advance(milliseconds(300));
  Estimates.onRetransmission(upstream("i-1"), before, before, now());
  BOOST_TEST(Estimates.failures(upstream("i-1")) == 1U);
}

BOOST_AUTO_TEST_CASE(UnresponsiveNeedsSeveralLongWaitingFlows) {
  recordPromptAnswers();
  retransmit("i-1", milliseconds(600));
  retransmit("i-1", milliseconds(600));
  BOOST_TEST(!Estimates.isUnresponsive(upstream("i-1"), now()));
  retransmit("i-1", milliseconds(600));
  BOOST_TEST(Estimates.isUnresponsive(upstream("i-1"), now()));
  Time.advance(milliseconds(1));
  Estimates.onProgress(upstream("i-1"), now());
  BOOST_TEST(!Estimates.isUnresponsive(upstream("i-1"), now()));
}

BOOST_AUTO_TEST_CASE(FirstRetransmissionsAreNotUnresponsive) {
  recordPromptAnswers();
  for (int i = 0; i < 9; ++i)
    retransmit("i-1", milliseconds(200));
  BOOST_TEST(!Estimates.isUnresponsive(upstream("i-1"), now()));
}

BOOST_AUTO_TEST_CASE(CountsWaitingFlowOnce) {
  recordPromptAnswers();
  const auto first = now() - milliseconds(600);
  Estimates.onRetransmission(upstream("i-1"), first, first + milliseconds(200),
                             now());
  for (int i = 0; i < 5; ++i)
    Estimates.onRetransmission(upstream("i-1"), first, now(), now());
  BOOST_TEST(!Estimates.isUnresponsive(upstream("i-1"), now()));
}

// A configuration of 1,698 routes filled the link of an instance with little
// bandwidth, and every flow waited. Seen as a violation of FLOW in scenario
// trouble-1 of cenacolo-bridge-grown, seed 48461365.
BOOST_AUTO_TEST_CASE(CongestedLocalLinkIsNotUnresponsive) {
  for (int i = 0; i < 20; ++i) {
    Estimates.onAnswered(upstream("i-2"), milliseconds(300), now());
    retransmit("i-1", milliseconds(600));
    Time.advance(milliseconds(50));
    BOOST_TEST(!Estimates.isUnresponsive(upstream("i-1"), now()));
  }
}

// A rapid series of configurations filled the link of an instance with little
// bandwidth now and then. Flows waited while some handshakes in between were
// prompt. Seen as a violation of FLOW in scenario own-319 of
// cenacolo-bridge-grown.
BOOST_AUTO_TEST_CASE(WidespreadRetransmissionIsNotUnresponsive) {
  for (const auto *it : {"i-3", "i-4"})
    retransmit(it, milliseconds(200));
  for (int i = 0; i < 3; ++i) {
    recordPromptAnswers();
    retransmit("i-1", milliseconds(600));
  }
  BOOST_TEST(!Estimates.isUnresponsive(upstream("i-1"), now()));
  // The retransmissions of the other upstreams are outside the window by now.
  Time.advance(seconds(2));
  for (int i = 0; i < 3; ++i) {
    recordPromptAnswers();
    retransmit("i-1", milliseconds(600));
  }
  BOOST_TEST(Estimates.isUnresponsive(upstream("i-1"), now()));
}

// While instances are stopped in turn, packets after the handshake go to other
// instances. One opening every few seconds appeared unanswered for upstreams
// that this instance rarely uses. Seen as a violation of FLOW in scenario
// trouble-1 of cenacolo-bridge-grown.
BOOST_AUTO_TEST_CASE(UnansweredOpeningsAreNotUnresponsive) {
  for (int i = 0; i < 20; ++i) {
    recordFailure("i-1");
    Time.advance(milliseconds(400));
    BOOST_TEST(!Estimates.isUnresponsive(upstream("i-1"), now()));
  }
}

BOOST_AUTO_TEST_CASE(WaitingFlowsFarApartAreNotUnresponsive) {
  for (int i = 0; i < 20; ++i) {
    recordPromptAnswers();
    retransmit("i-1", milliseconds(600));
    Time.advance(seconds(1));
    BOOST_TEST(!Estimates.isUnresponsive(upstream("i-1"), now()));
  }
}

BOOST_AUTO_TEST_CASE(FailuresFarApartDoNotAddUp) {
  recordFailure("i-1");
  Time.advance(seconds(7));
  recordFailure("i-1");
  BOOST_TEST(Estimates.failures(upstream("i-1")) == 1U);
}

BOOST_AUTO_TEST_CASE(TwoSuspectsMakeDataCentreSuspected) {
  recordFailure("i-3");
  BOOST_TEST(!Estimates.isAvoided(upstream("i-5"), now()));
  recordFailure("i-4");
  BOOST_TEST(Estimates.isAvoided(upstream("i-5"), now()));
  BOOST_TEST(!Estimates.isAvoided(upstream("i-1"), now()));
}

BOOST_AUTO_TEST_CASE(ProgressClearsDataCentreSuspicion) {
  recordFailure("i-3");
  recordFailure("i-4");
  Time.advance(milliseconds(1));
  Estimates.onProgress(upstream("i-5"), now());
  BOOST_TEST(!Estimates.isAvoided(upstream("i-5"), now()));
  BOOST_TEST(Estimates.isAvoided(upstream("i-3"), now()));
}

BOOST_AUTO_TEST_CASE(LoadDecays) {
  Estimates.onRequestSent(upstream("i-1"), now());
  BOOST_TEST(Estimates.load(upstream("i-1"), now()) == 1.0);
  BOOST_TEST((Estimates.expectedTime(upstream("i-1"), now()) >
              Estimates.expectedTime(upstream("i-2"), now())));
  Time.advance(seconds(5));
  BOOST_TEST(Estimates.load(upstream("i-1"), now()) < 0.01);
}

BOOST_AUTO_TEST_CASE(SlowResponsesRaiseExpectedTime) {
  for (int i = 0; i < 50; ++i)
    Estimates.onResponse(upstream("i-1"), milliseconds(200));
  BOOST_TEST(
      (Estimates.expectedTime(upstream("i-1"), now()) > milliseconds(150)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
