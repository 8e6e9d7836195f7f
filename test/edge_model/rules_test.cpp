#include "edge_model/rules.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge::edge_model {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A world in which nothing is delivered.
class SilentWorld final : public ModelWorld {
public:
  auto now() const -> TimePoint override { return Time; }
  auto random() -> RandomSource & override { return Random; }
  auto after(Duration, std::function<void()>) -> void override {}
  auto sendToEdge(DataCentreId, CallerPacket) -> void override {}
  auto sendToCaller(const Reply &) -> void override {}
  auto onOpening(const ModelUpstream &, const CallerPacket &) -> void override {
  }
  auto onPacket(const ModelUpstream &, const CallerPacket &, bool)
      -> void override {}
  auto onRun(Request &) -> void override {}
  auto onOutcome(const Request &, bool) -> void override {}

  TimePoint Time{std::chrono::hours(1)};
  SeededRandom Random{1};
};

struct RulesFixture {
  RulesFixture() {
    EdgeConfiguration c;
    c.Version = 1;
    c.Routes = {{"r", Address, {{Service, 1}}}};
    Judge.onRoutes(c, World.Time);
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
  auto packet(bool opens) const -> CallerPacket {
    CallerPacket p;
    p.Header.Flow = {{1, 2}, Address};
    p.Header.Opens = opens;
    p.Header.Sequence = opens ? 1 : 2;
    p.SentAt = now();
    return p;
  }
  auto open(const ModelUpstream &u) -> void {
    Judge.judgeOpening(u, packet(true), "edge-0", now());
  }
  /// \p u holds the flow of packet() as an open one from now on.
  auto hold(ModelUpstream &u) -> void {
    u.receive(packet(true));
    u.receive(packet(false));
    Judge.judgePacket(u, packet(false), true, now());
  }
  auto count(Rule r) const -> std::uint64_t { return Judge.count(r); }

  const Endpoint Address{7, 443};
  const ServiceId Service = idFromName<ServiceId>("s");
  const DataCentreId DataCentre = idFromName<DataCentreId>("d");
  SilentWorld World;
  Rules Judge;
  std::shared_ptr<ModelUpstream> Host = makeUpstream("u", Service);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EdgeModelRules, RulesFixture)

BOOST_AUTO_TEST_CASE(OpeningLongAfterTheNoticeBreaksDrain) {
  Judge.onDrainAccepted("u", now());
  advance(milliseconds(2900));
  open(*Host);
  BOOST_TEST(count(Rule::Drain) == 0U);
  advance(milliseconds(200));
  open(*Host);
  BOOST_TEST(count(Rule::Drain) == 1U);
}

BOOST_AUTO_TEST_CASE(DisturbedInstanceIsExcusedUntilItHasBeenCalm) {
  Judge.onDrainAccepted("u", now());
  advance(seconds(4));
  Judge.disturbances().begin("edge-0");
  open(*Host);
  Judge.disturbances().end("edge-0", now());
  advance(seconds(3));
  open(*Host);
  BOOST_TEST(count(Rule::Drain) == 0U);
  advance(seconds(2));
  open(*Host);
  BOOST_TEST(count(Rule::Drain) == 1U);
}

BOOST_AUTO_TEST_CASE(OpeningInAWithdrawnDataCentreBreaksWithdrawal) {
  Judge.onWithdrawn(DataCentre, true, now());
  advance(milliseconds(5100));
  open(*Host);
  BOOST_TEST(count(Rule::Withdrawal) == 1U);
  Judge.onWithdrawn(DataCentre, false, now());
  open(*Host);
  BOOST_TEST(count(Rule::Withdrawal) == 1U);
}

BOOST_AUTO_TEST_CASE(OpeningAtAnotherServiceIsFound) {
  open(*makeUpstream("v", idFromName<ServiceId>("other")));
  BOOST_TEST(count(Rule::Service) == 1U);
}

BOOST_AUTO_TEST_CASE(DroppedRouteThatIsServedAndNewRouteThatIsRefusedAreFound) {
  Judge.judgeReset(packet(true), "edge-0", EdgeReason::NoRoute, now());
  BOOST_TEST(count(Rule::Configuration) == 1U);
  EdgeConfiguration empty;
  empty.Version = 2;
  Judge.onRoutes(empty, now());
  advance(milliseconds(3100));
  open(*Host);
  BOOST_TEST(count(Rule::Configuration) == 2U);
}

BOOST_AUTO_TEST_CASE(ColdUpstreamBearsAFewOpeningsASecond) {
  Host->setCold(seconds(4));
  for (int i = 0; i < 5; ++i)
    open(*Host);
  BOOST_TEST(count(Rule::Cold) == 0U);
  open(*Host);
  BOOST_TEST(count(Rule::Cold) == 1U);
}

BOOST_AUTO_TEST_CASE(ResetOfAFlowWhoseUpstreamLivesIsFound) {
  hold(*Host);
  Judge.judgeReset(packet(false), "edge-0", EdgeReason::UpstreamUnresponsive,
                   now());
  BOOST_TEST(count(Rule::Reset) == 1U);
  Host->setState(UpstreamState::Dark);
  Judge.judgeReset(packet(false), "edge-0", EdgeReason::UpstreamUnresponsive,
                   now());
  BOOST_TEST(count(Rule::Reset) == 1U);
}

BOOST_AUTO_TEST_CASE(PacketsThatGoAsideForLongAreFound) {
  hold(*Host);
  const auto other = makeUpstream("v", Service);
  for (int i = 0; i < 3; ++i) {
    Judge.judgePacket(*other, packet(false), false, now());
    advance(milliseconds(900));
  }
  BOOST_TEST(count(Rule::Aside) == 0U);
  advance(milliseconds(300));
  Judge.judgePacket(*other, packet(false), false, now());
  BOOST_TEST(count(Rule::Aside) == 1U);
}

BOOST_AUTO_TEST_CASE(SecondRunOfARequestThatMayNotBeRepeatedIsFound) {
  Request r;
  r.Runs = 2;
  Judge.judgeRun(r, now());
  BOOST_TEST(count(Rule::Once) == 0U);
  r.Idempotent = false;
  Judge.judgeRun(r, now());
  BOOST_TEST(count(Rule::Once) == 1U);
}

BOOST_AUTO_TEST_CASE(EachRuleHasANameOfItsOwn) {
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < static_cast<std::size_t>(Rule::Count); ++i)
    names.insert(toString(static_cast<Rule>(i)));
  BOOST_TEST(names.size() == static_cast<std::size_t>(Rule::Count));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge::edge_model
