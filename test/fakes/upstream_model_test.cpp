#include "fakes/upstream_model.h"

#include "boragebridge/clock.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;

namespace boragebridge::fakes {

namespace {

constexpr ServiceId Booking{7};
constexpr Endpoint BookingAddress{1, 80};

struct ModelFixture {
  ManualClock Time;
  UpstreamModel Host{{.Service = Booking,
                      .ServiceAddress = BookingAddress,
                      .StartsCold = false},
                     Time.now()};

  auto work(std::uint64_t n) const -> ExecuteRequest {
    return {.Key = {CallerId{1}, n}, .Service = Booking, .Work = 50ms};
  }
  auto execute(const ExecuteRequest &r) -> void { Host.execute(Time.now(), r); }
  auto pollAfter(Duration d) -> std::vector<ExecuteResult> {
    Time.advance(d);
    return Host.poll(Time.now());
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamModelTest, ModelFixture)

BOOST_AUTO_TEST_CASE(RefusesBeyondItsSlots) {
  for (auto n : {1, 2, 3})
    execute(work(n));
  auto r = pollAfter(50ms);
  BOOST_TEST_REQUIRE(r.size() == 3);
  BOOST_TEST((r[0].Kind == ResultKind::Refused));
  BOOST_TEST((r[1].Kind == ResultKind::Answer));
  BOOST_TEST(Host.counts().OverLimit == 1);
}

BOOST_AUTO_TEST_CASE(SlowHostTakesLongerAndStopsAtTheDeadline) {
  Host.setSpeed(50);
  execute(work(1));
  BOOST_TEST(pollAfter(99ms).empty());
  BOOST_TEST(pollAfter(1ms).size() == 1);
  auto late = work(2);
  late.Deadline = 60ms;
  execute(late);
  auto r = pollAfter(60ms);
  BOOST_TEST_REQUIRE(r.size() == 1);
  BOOST_TEST((r[0].Kind == ResultKind::DeadlineExceeded));
}

BOOST_AUTO_TEST_CASE(ColdHostCrashesUnderLoadAndWarmsByAnswering) {
  Host.turnCold(Time.now());
  for (std::uint64_t n = 0; n <= UpstreamModel::ColdTolerance; ++n)
    execute(work(n));
  BOOST_TEST(Host.counts().Crashes == 1);
  execute(work(100));
  BOOST_TEST(
      (Host.poll(Time.now()).back().Reason == RefusalReason::Unavailable));
  Time.advance(UpstreamModel::CrashRecoveryTime);
  for (std::uint64_t n = 0; n < UpstreamModel::AnswersToWarm; ++n) {
    execute(work(200 + n));
    pollAfter(100ms);
  }
  BOOST_TEST(!Host.isCold());
}

BOOST_AUTO_TEST_CASE(SwappedAnswersKeepTheirKeys) {
  Host.setFaults(AnswerFaults{.Swapped = true});
  execute(work(1));
  Time.advance(1ms);
  execute(work(2));
  auto r = pollAfter(50ms);
  BOOST_TEST_REQUIRE(r.size() == 2);
  BOOST_TEST(r[0].Key.Number == 2);
  BOOST_TEST(r[1].Key.Number == 1);
}

BOOST_AUTO_TEST_CASE(CountsRepeatedRunsMisdeliveryAndLatePackets) {
  execute(work(1));
  execute(work(1));
  BOOST_TEST(Host.counts().RepeatedRuns == 1);
  auto other = work(2);
  other.Service = ServiceId{8};
  execute(other);
  BOOST_TEST(Host.counts().Misdelivered == 1);
  Host.expectNoPackets(Time.now());
  Host.onFlow(Time.now(), PacketKind::FlowData, {{9, 9}, BookingAddress});
  BOOST_TEST(Host.counts().PacketsAfterWithdrawal == 1);
}

BOOST_AUTO_TEST_CASE(RestartLosesFlowsAndChangesTheIncarnation) {
  const FlowKey flow{{9, 9}, BookingAddress};
  const auto before = Host.report(Time.now());
  BOOST_TEST((Host.onFlow(Time.now(), PacketKind::FlowOpen, flow) ==
              FlowAnswer::Accepted));
  Host.restart(Time.now());
  BOOST_TEST((Host.onFlow(Time.now(), PacketKind::FlowData, flow) ==
              FlowAnswer::Reset));
  BOOST_TEST((Host.report(Time.now())->IncarnationNumber !=
              before->IncarnationNumber));
  BOOST_TEST(Host.isCold());
}

BOOST_AUTO_TEST_CASE(ReportFaultsTakeEffect) {
  Host.setFaults(ReportFaults{.Lag = 1s});
  execute(work(1));
  BOOST_TEST(Host.report(Time.now())->ActiveRequests == 0);
  Host.setFaults(ReportFaults{.ClaimsFull = true});
  BOOST_TEST(Host.report(Time.now())->Cold);
  Host.setFaults(ReportFaults{.Missing = true});
  BOOST_TEST(!Host.report(Time.now()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge::fakes
