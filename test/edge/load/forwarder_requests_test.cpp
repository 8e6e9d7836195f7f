#include <boost/test/unit_test.hpp>

#include "../edge_fixture.h"

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A forwarder that reports requests and recognises refusals.
struct RequestCountingFixture : EdgeFixture {
  static constexpr std::uint32_t RefusalBytes = 200;

  RequestCountingFixture() { start({record("i-1", 1)}); }
  auto acknowledgement(std::uint16_t port, std::uint32_t requests,
                       std::uint32_t acknowledged) const -> FlowPacket {
    auto p =
        data(port, tagOf("i-1", seconds(1000)), 100 * requests, acknowledged);
    p.Length = 0;
    return p;
  }
  auto request(std::uint16_t port, std::uint32_t n, std::uint32_t acknowledged)
      -> void {
    LoadForwarder.decide(
        data(port, tagOf("i-1", seconds(1000)), 100 * n, acknowledged), now());
  }
  auto inProgress() const -> double {
    return Load.limits().inProgress(
        *Directory.find(tagOf("i-1", seconds(1000))), now());
  }

  LoadControl Load;
  Forwarder LoadForwarder{
      Directory, Estimates, Policy, {.MaxRefusalBytes = RefusalBytes}, &Load};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EdgeForwarderRequests, RequestCountingFixture)

BOOST_AUTO_TEST_CASE(CountsEachRequestOfAFlow) {
  LoadForwarder.decide(opening(1), now());
  request(1, 0, 500);
  BOOST_TEST(inProgress() == 1);
  Time.advance(milliseconds(30));
  LoadForwarder.decide(acknowledgement(1, 1, 1500), now());
  LoadForwarder.decide(acknowledgement(1, 1, 2500), now());
  BOOST_TEST(inProgress() < 0.01);
  request(1, 1, 2500);
  BOOST_TEST(inProgress() > 0.9);
  LoadForwarder.decide(acknowledgement(1, 2, 2500 + RefusalBytes), now());
  BOOST_TEST(Load.counts().Answered == 1U);
  BOOST_TEST(Load.counts().Refused == 1U);
  BOOST_TEST(inProgress() < 0.01);
}

// The caller acknowledges a short answer with its next request only.
BOOST_AUTO_TEST_CASE(LateAcknowledgementShowsNoResponseTime) {
  LoadForwarder.decide(opening(1), now());
  request(1, 0, 500);
  Time.advance(seconds(3));
  const auto &u = *Directory.find(tagOf("i-1", seconds(1000)));
  const auto before = Load.limits().responseTime(u, now());
  request(1, 1, 900);
  BOOST_TEST((Load.limits().responseTime(u, now()) == before));
  BOOST_TEST(Load.counts().Answered == 1U);
  BOOST_TEST(Load.counts().Late == 0U);
  BOOST_TEST(inProgress() > 0.9);
}

// A caller may wait before it acknowledges an answer of one packet, but not if
// it ends the flow, or if the answer is longer.
BOOST_AUTO_TEST_CASE(DelayOfAnAcknowledgementIsNotResponseTime) {
  Forwarder delayed(Directory, Estimates, Policy,
                    {.MaxRefusalBytes = RefusalBytes,
                     .MaxAckDelay = milliseconds(45),
                     .SinglePacketBytes = 1200},
                    &Load);
  const auto &u = *Directory.find(tagOf("i-1", seconds(1000)));
  const auto answer = [&](std::uint16_t port, std::uint32_t bytes, bool ends) {
    delayed.decide(opening(port), now());
    delayed.decide(data(port, u.Tag), now());
    Time.advance(milliseconds(75));
    auto p = acknowledgement(port, 1, 500 + bytes);
    p.Finishes = ends;
    delayed.decide(p, now());
  };
  answer(1, 1000, false);
  BOOST_TEST((Load.limits().responseTime(u, now()) < milliseconds(31)));
  answer(2, 1000, true);
  const auto afterEnd = Load.limits().responseTime(u, now());
  BOOST_TEST((afterEnd > milliseconds(35)));
  answer(3, 2400, false);
  BOOST_TEST((Load.limits().responseTime(u, now()) > afterEnd));
}

// A refusal comes sooner than any response, and would make a full upstream look
// like a fast one.
BOOST_AUTO_TEST_CASE(RefusalIsNoResponseTime) {
  const auto &u = *Directory.find(tagOf("i-1", seconds(1000)));
  const auto before = Estimates.expectedTime(u, now() + seconds(9));
  for (std::uint16_t port = 1; port < 20; ++port) {
    LoadForwarder.decide(opening(port), now());
    request(port, 0, 500);
    Time.advance(milliseconds(1));
    auto p = acknowledgement(port, 1, 500 + RefusalBytes);
    p.Finishes = true;
    LoadForwarder.decide(p, now());
  }
  BOOST_TEST((Estimates.expectedTime(u, now() + seconds(9)) >= before));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
