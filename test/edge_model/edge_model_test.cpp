#include "edge_model/edge_model.h"
#include "edge_model/faults.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge::edge_model {

using std::chrono::seconds;

namespace {

constexpr Duration TimeBefore = seconds(5);
constexpr Duration TimeAfter = seconds(12);

/// Injects \p all after TimeBefore without faults, and reports every violation
/// of a rule as an error.
auto expectNoViolations(const EdgeModelOptions &opt,
                        const std::vector<PlannedFault> &all, Duration length)
    -> void {
  EdgeModel model(opt);
  model.run(TimeBefore);
  planFaults(model, all);
  model.run(length + TimeAfter);
  for (const auto &it : model.rules().violations())
    BOOST_ERROR("seed " << opt.Seed << ": " << toString(it.Broken) << ": "
                        << it.Details);
  BOOST_TEST(model.outcome().Requests > 0U);
}

auto expectNoViolationsWithMixedFaults(std::uint64_t seed,
                                       std::size_t faultCount) -> void {
  constexpr Duration Length = seconds(25);
  expectNoViolations({.Seed = seed}, drawFaults(seed, faultCount, Length),
                     Length);
}

} // namespace

BOOST_AUTO_TEST_SUITE(EdgeModelRuns)

BOOST_AUTO_TEST_CASE(FaultFreeInstallationServesEveryRequest) {
  EdgeModel model({.Seed = 3});
  model.run(seconds(12));
  model.stopCallers();
  model.run(seconds(8));
  const auto &o = model.outcome();
  BOOST_TEST(o.Requests > 1000U);
  BOOST_TEST(o.Served == o.Requests);
  BOOST_TEST(model.rules().total() == 0U);
}

BOOST_AUTO_TEST_CASE(SameSeedGivesSameRun) {
  const auto runModel = [] {
    EdgeModel model({.Seed = 4});
    planFaults(model, drawFaults(4, 4, seconds(5)));
    model.run(seconds(8));
    return std::pair(model.outcome().Served, model.outcome().ResponseTime);
  };
  BOOST_TEST((runModel() == runModel()));
}

// 295 instances started at once cost 3,450 calls to the store on quiet-1 of
// cenacolo-bridge-large. Each needs one call to register and few more, as the
// fleet reads the store by its mirror trees. A restart needs no call but for
// the members; readers of a restarted parent read from another one.
BOOST_AUTO_TEST_CASE(LargeFleetStartsWithFewStoreCalls) {
  constexpr std::size_t Instances = 300;
  constexpr double MaxCallsPerStart = 4;
  EdgeModel model({.Seed = 5,
                   .Instances = Instances,
                   .DataCentres = 6,
                   .Upstreams = 600,
                   .RequestsPerUpstream = 1});
  model.run(seconds(6));
  BOOST_TEST(model.storeCalls() < MaxCallsPerStart * Instances);
  const auto before = model.storeCalls();
  constexpr std::size_t Restarted = 60;
  constexpr double MaxCallsPerRestart = 2;
  for (std::size_t i = 0; i < Restarted; ++i) {
    model.kill(i);
    model.run(std::chrono::milliseconds(50));
    model.start(i);
  }
  model.run(seconds(1));
  BOOST_TEST(model.storeCalls() - before < MaxCallsPerRestart * Restarted);
  BOOST_TEST(model.rules().total() == 0U);
}

BOOST_AUTO_TEST_CASE(EachFaultKindAloneBreaksNoRule) {
  for (const auto &it : allFaultKinds())
    BOOST_TEST_CONTEXT(it.Name) {
      constexpr Duration Length = seconds(6);
      expectNoViolations({.Seed = 11}, drawFaults(11, 2, Length, &it), Length);
    }
}

BOOST_AUTO_TEST_CASE(MixedFaultsBreakNoRule) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed)
    expectNoViolationsWithMixedFaults(seed, 8);
}

// In the runs of these seeds the store does not respond for about a second, and
// waiting watches are lost. The bounds of the rules must hold nevertheless.
BOOST_AUTO_TEST_CASE(WatchesLostInShortStoreOutageBreakNoRule) {
  expectNoViolationsWithMixedFaults(1104, 10);
  expectNoViolationsWithMixedFaults(1235, 10);
}

BOOST_AUTO_TEST_CASE(RestoresOfTheStoreAmongOtherFaultsBreakNoRule) {
  constexpr Duration Length = seconds(20);
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    auto plan = drawFaults(seed, 5, Length);
    addRestores(plan, seed, 2, Length);
    expectNoViolations({.Seed = seed}, plan, Length);
  }
}

// The first seeds that break a rule when views are not compared, lost answers
// not asked for, or tags of forgotten lifetimes not forwarded (review/11, 15
// and 12).
BOOST_AUTO_TEST_CASE(FaultsThatTheReviewFoundBreakNoRule) {
  const std::vector<std::pair<const char *, std::vector<std::uint64_t>>> all{
      {"parents_in_storm", {6, 17, 22}},
      {"lose_watch_answers", {1, 6, 7}},
      {"restart_upstreams", {6, 16, 26}}};
  constexpr Duration Length = seconds(5);
  for (const auto &[name, seeds] : all) {
    const auto *kind = findFaultKind(name);
    for (const auto seed : seeds)
      expectNoViolations({.Seed = seed}, drawFaults(seed, 1, Length, kind),
                         Length);
  }
}

// The model gave the address of a draining upstream to another one, although
// the upstream had started again there.
BOOST_AUTO_TEST_CASE(UpstreamThatStartsAgainKeepsItsAddress) {
  constexpr Duration Length = seconds(25);
  constexpr std::uint64_t Seed = 563149;
  auto plan = drawFaults(Seed, 8, Length);
  addRestores(plan, Seed, 1, Length);
  addLaterFaults(plan, Seed, 2, Length);
  expectNoViolations({.Seed = Seed}, plan, Length);
}

BOOST_AUTO_TEST_CASE(LaterKindsAmongOtherFaultsBreakNoRule) {
  constexpr Duration Length = seconds(20);
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    auto plan = drawFaults(seed, 5, Length);
    addLaterFaults(plan, seed, 2, Length);
    expectNoViolations({.Seed = seed}, plan, Length);
  }
}

// Records had lapsed, and none was written again.
BOOST_AUTO_TEST_CASE(UpstreamsThatServeWithoutRecordsKeepTheirFlows) {
  const auto *kind = findFaultKind("lose_records");
  for (std::uint64_t seed = 1; seed <= 4; ++seed)
    expectNoViolations({.Seed = seed}, {{kind, seconds(1), seconds(12), seed}},
                       seconds(13));
}

BOOST_AUTO_TEST_CASE(InstancesThatStartWithoutRecordsOfUpstreamsResetNoFlow) {
  EdgeModel model({.Seed = 12});
  model.run(TimeBefore);
  model.setRecordsMissing(0, true);
  model.run(seconds(3));
  for (std::size_t i = 0; i < model.instances(); ++i) {
    model.roll(i);
    model.run(seconds(3));
  }
  model.run(seconds(10));
  BOOST_TEST(model.rules().count(Rule::Reset) == 0U);
  BOOST_TEST(model.rules().total() == 0U);
}

BOOST_AUTO_TEST_CASE(SingleInstanceInSingleDataCentreBreaksNoRule) {
  constexpr Duration Length = seconds(6);
  expectNoViolations(
      {.Seed = 5, .Instances = 1, .DataCentres = 1, .Upstreams = 5},
      drawFaults(5, 3, Length), Length);
}

// The model must detect a deliberate defect: a placement policy that does not
// limit the flows of cold upstreams.
BOOST_AUTO_TEST_CASE(PlacementThatIgnoresColdUpstreamsIsDetected) {
  EdgeModel model({.Seed = 6, .PlacementPolicy = "random"});
  model.run(TimeBefore);
  model.returnCold(0);
  model.run(seconds(8));
  BOOST_TEST(model.rules().count(Rule::Cold) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge::edge_model
