#include "edge_model/rules.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge::edge_model {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A world that delivers nothing.
class NullWorld final : public ModelWorld {
public:
  auto now() const -> TimePoint override { return Time; }
  auto random() -> RandomSource & override { return Random; }
  auto after(Duration, std::function<void()>) -> void override {}
  auto sendToEdge(DataCentreId, CallerPacket) -> void override {}
  auto sendToCaller(const Reply &) -> void override {}
  auto onFlowAccepted(const ModelUpstream &, const CallerPacket &)
      -> void override {}
  auto onFlowPacket(const ModelUpstream &, const CallerPacket &, bool)
      -> void override {}
  auto onWorkStarted(Request &) -> void override {}
  auto onRequestEnded(const Request &, bool) -> void override {}

  TimePoint Time{std::chrono::hours(1)};
  SeededRandom Random{1};
};

struct RulesFixture {
  RulesFixture() {
    EdgeConfiguration c;
    c.Version = 1;
    c.Routes = {{"r", Address, {{Service, 1}}}};
    Checker.onRoutes(c, World.Time);
    World.Time += seconds(10);
  }
  auto now() const -> TimePoint { return World.Time; }
  auto advance(Duration d) -> void { World.Time += d; }
  auto makeUpstream(const std::string &name, ServiceId service)
      -> std::shared_ptr<ModelUpstream> {
    UpstreamRecord r;
    r.Name = name;
    r.Service = service;
    r.DataCentre = DataCentre;
    return std::make_shared<ModelUpstream>(World, r, UpstreamOptions{});
  }
  auto makePacket(bool opens) const -> CallerPacket {
    CallerPacket p;
    p.Header.Flow = {{1, 2}, Address};
    p.Header.Opens = opens;
    p.Header.Sequence = opens ? 1 : 2;
    p.SentAt = now();
    return p;
  }
  auto acceptFlow(const ModelUpstream &u) -> void {
    Checker.checkOpening(u, makePacket(true), "edge-0", now());
  }
  /// Makes the flow of makePacket() an open flow of \p u.
  auto establishFlow(ModelUpstream &u) -> void {
    u.receive(makePacket(true));
    u.receive(makePacket(false));
    Checker.checkPacket(u, makePacket(false), true, now());
  }
  auto count(Rule r) const -> std::uint64_t { return Checker.count(r); }

  const Endpoint Address{7, 443};
  const ServiceId Service = idFromName<ServiceId>("s");
  const DataCentreId DataCentre = idFromName<DataCentreId>("d");
  NullWorld World;
  RuleChecker Checker;
  std::shared_ptr<ModelUpstream> Upstream = makeUpstream("u", Service);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EdgeModelRules, RulesFixture)

BOOST_AUTO_TEST_CASE(NewFlowAtDrainingUpstreamIsDetected) {
  Checker.onDrainAccepted("u", now());
  advance(milliseconds(2900));
  acceptFlow(*Upstream);
  BOOST_TEST(count(Rule::Drain) == 0U);
  advance(milliseconds(200));
  acceptFlow(*Upstream);
  BOOST_TEST(count(Rule::Drain) == 1U);
}

BOOST_AUTO_TEST_CASE(InstanceIsExemptUntilItHasRecoveredFromFault) {
  Checker.onDrainAccepted("u", now());
  advance(seconds(4));
  Checker.faults().begin("edge-0");
  acceptFlow(*Upstream);
  Checker.faults().end("edge-0", now());
  advance(seconds(3));
  acceptFlow(*Upstream);
  BOOST_TEST(count(Rule::Drain) == 0U);
  advance(seconds(2));
  acceptFlow(*Upstream);
  BOOST_TEST(count(Rule::Drain) == 1U);
}

BOOST_AUTO_TEST_CASE(NewFlowInWithdrawnDataCentreIsDetected) {
  Checker.onWithdrawn(DataCentre, true, now());
  advance(milliseconds(5100));
  acceptFlow(*Upstream);
  BOOST_TEST(count(Rule::Withdrawal) == 1U);
  Checker.onWithdrawn(DataCentre, false, now());
  acceptFlow(*Upstream);
  BOOST_TEST(count(Rule::Withdrawal) == 1U);
}

BOOST_AUTO_TEST_CASE(NewFlowAtWrongServiceIsDetected) {
  acceptFlow(*makeUpstream("v", idFromName<ServiceId>("other")));
  BOOST_TEST(count(Rule::Service) == 1U);
}

BOOST_AUTO_TEST_CASE(OutdatedRoutesAreDetected) {
  Checker.checkReset(makePacket(true), "edge-0", EdgeReason::NoRoute, now());
  BOOST_TEST(count(Rule::Configuration) == 1U);
  EdgeConfiguration empty;
  empty.Version = 2;
  Checker.onRoutes(empty, now());
  advance(milliseconds(3100));
  acceptFlow(*Upstream);
  BOOST_TEST(count(Rule::Configuration) == 2U);
}

BOOST_AUTO_TEST_CASE(TooManyNewFlowsAtColdUpstreamAreDetected) {
  Upstream->setCold(seconds(4));
  for (int i = 0; i < 5; ++i)
    acceptFlow(*Upstream);
  BOOST_TEST(count(Rule::Cold) == 0U);
  acceptFlow(*Upstream);
  BOOST_TEST(count(Rule::Cold) == 1U);
}

BOOST_AUTO_TEST_CASE(ResetOfFlowWithRunningUpstreamIsDetected) {
  establishFlow(*Upstream);
  Checker.checkReset(makePacket(false), "edge-0",
                     EdgeReason::UpstreamUnresponsive, now());
  BOOST_TEST(count(Rule::Reset) == 1U);
  Upstream->setState(UpstreamState::Unresponsive);
  Checker.checkReset(makePacket(false), "edge-0",
                     EdgeReason::UpstreamUnresponsive, now());
  BOOST_TEST(count(Rule::Reset) == 1U);
}

BOOST_AUTO_TEST_CASE(MisroutedPacketsAreDetected) {
  establishFlow(*Upstream);
  const auto other = makeUpstream("v", Service);
  for (int i = 0; i < 3; ++i) {
    Checker.checkPacket(*other, makePacket(false), false, now());
    advance(milliseconds(900));
  }
  BOOST_TEST(count(Rule::FlowAffinity) == 0U);
  advance(milliseconds(300));
  Checker.checkPacket(*other, makePacket(false), false, now());
  BOOST_TEST(count(Rule::FlowAffinity) == 1U);
}

BOOST_AUTO_TEST_CASE(SecondRunOfNonIdempotentRequestIsDetected) {
  Request r;
  r.Runs = 2;
  Checker.checkRun(r, now());
  BOOST_TEST(count(Rule::AtMostOnce) == 0U);
  r.Idempotent = false;
  Checker.checkRun(r, now());
  BOOST_TEST(count(Rule::AtMostOnce) == 1U);
}

BOOST_AUTO_TEST_CASE(RuleNamesAreUnique) {
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < static_cast<std::size_t>(Rule::Count); ++i)
    names.insert(toString(static_cast<Rule>(i)));
  BOOST_TEST(names.size() == static_cast<std::size_t>(Rule::Count));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge::edge_model
