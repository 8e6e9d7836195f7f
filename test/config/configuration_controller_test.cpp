#include "config/configuration_controller.h"

#include "fakes/control_fleet.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

namespace {

using namespace std::chrono_literals;

const std::vector<std::string> DataCentres{"palermo", "catania"};
constexpr Duration InForceLimit = 3s;

auto withdraw(const std::string &dc) -> Operation {
  return {OperationKind::Withdraw, "data_centre/" + dc, ""};
}

auto drain(const std::string &host) -> Operation {
  return {OperationKind::Drain, "upstream/" + host, ""};
}

/// Eight instances in two data centres, with a sheet of 20 hosts in force.
struct ConfigurationFixture {
  fakes::ControlFleet Fleet{11};

  ConfigurationFixture() {
    Fleet.addInstances("e", 8, DataCentres);
    Fleet.Nodes.run(3s);
    const auto o = Fleet.change(
        "e0", fakes::makeImport("sheet", fakes::makeSheet(20, DataCentres)),
        5s);
    BOOST_TEST_REQUIRE((o.State == ChangeState::Accepted), o.Detail);
    BOOST_TEST_REQUIRE((Fleet.timeToTakeEffect(o.RevisionNumber, InForceLimit) <
                        InForceLimit));
  }

  auto accept(const std::string &at, const std::string &id, const Operation &op)
      -> Revision {
    const auto o = Fleet.change(at, fakes::makeChange(id, {op}), 10s);
    BOOST_TEST_REQUIRE((o.State == ChangeState::Accepted), o.Detail);
    return o.RevisionNumber;
  }

  /// Submits change "c1" at e0 so that its write takes effect and the answer is
  /// lost. All further answers are lost, too.
  auto submitAndLoseAnswer() -> std::shared_ptr<const ChangeOutcome> {
    Fleet.Faults.Delay = 50ms;
    auto o = Fleet.submit("e0", fakes::makeChange("c1", {drain("host-1")}));
    const auto before = Fleet.Store.currentVersion("config/head");
    Fleet.Nodes.run(125ms); // The head has been read and its write sent.
    Fleet.Faults.LostAnswerShare = 1;
    Fleet.Nodes.run(100ms);
    BOOST_TEST_REQUIRE(Fleet.Store.currentVersion("config/head") > before);
    return o;
  }

  auto isInForceWithinLimit(Revision n) -> bool {
    return Fleet.timeToTakeEffect(n, InForceLimit) < InForceLimit;
  }

  auto current(const std::string &at) {
    return Fleet.Nodes.instance(at).board().Configuration.read();
  }

  auto stateOf(const std::shared_ptr<const ChangeOutcome> &o) {
    return static_cast<int>(o->State);
  }
};

auto toInt(ChangeState s) -> int { return static_cast<int>(s); }

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigurationDistribution, ConfigurationFixture)

BOOST_AUTO_TEST_CASE(ImportReachesEveryInstance) {
  Fleet.Nodes.run(Instance::TickInterval);
  for (auto *it : Fleet.Nodes.running()) {
    BOOST_TEST(it->board().Configuration.read()->Upstreams.size() == 20U);
    BOOST_TEST(it->board().Readiness.read()->MayServe);
  }
}

BOOST_AUTO_TEST_CASE(UrgentWithdrawalReachesAllWithinLimit) {
  BOOST_TEST(isInForceWithinLimit(accept("e3", "c1", withdraw("catania"))));
  for (auto *it : Fleet.Nodes.running())
    BOOST_TEST(it->board().Configuration.read()->isWithdrawn(
        idFromName<DataCentreId>("catania")));
}

BOOST_AUTO_TEST_CASE(ChangeReachesAllAfterAcceptingInstanceDies) {
  const auto n = accept("e3", "c1", withdraw("catania"));
  Fleet.Nodes.kill("e3");
  BOOST_TEST(isInForceWithinLimit(n));
}

BOOST_AUTO_TEST_CASE(ChangeReachesAllWithoutWatchAnswers) {
  Fleet.Faults.UnansweredWatches = true;
  Fleet.Nodes.run(5s);
  BOOST_TEST(isInForceWithinLimit(accept("e3", "c1", withdraw("catania"))));
}

BOOST_AUTO_TEST_CASE(WatchersSeeDirectStoreWrite) {
  Head head;
  BOOST_TEST_REQUIRE(decodeHead(Fleet.Store.peek("config/head")->Value, head));
  applyRecord(head, {"x",
                     "other",
                     "",
                     0,
                     Revision{raw(head.RevisionNumber) + 1},
                     {withdraw("palermo")}});
  const auto version = Fleet.Store.currentVersion("config/head");
  BOOST_TEST_REQUIRE(
      Fleet.Store.put("config/head", encodeHead(head), version).ok());
  BOOST_TEST(isInForceWithinLimit(head.RevisionNumber));
}

BOOST_AUTO_TEST_CASE(PartitionedDataCentreServesAndCatchesUp) {
  const auto a = idFromName<DataCentreId>("palermo");
  const auto b = idFromName<DataCentreId>("catania");
  Fleet.Nodes.Network.setCut(a, b, true);
  Fleet.Faults.CutOff.insert(b);
  Fleet.Nodes.run(10s);
  const auto refused =
      Fleet.change("e1", fakes::makeChange("c1", {drain("host-1")}), 20s);
  BOOST_TEST(toInt(refused.State) == toInt(ChangeState::Unreachable));
  BOOST_TEST(Fleet.Nodes.instance("e1").board().Readiness.read()->MayServe);
  const auto n = accept("e0", "c2", withdraw("palermo"));
  BOOST_TEST((current("e1")->RevisionNumber < n));
  Fleet.Nodes.Network.setCut(a, b, false);
  Fleet.Faults.CutOff.clear();
  Fleet.Nodes.run(15s);
  BOOST_TEST((Fleet.lowestRevision() >= n));
}

BOOST_AUTO_TEST_CASE(ServesThroughHourLongStoreOutage) {
  Fleet.Faults.Down = true;
  const auto before = Fleet.lowestRevision();
  Fleet.Nodes.run(std::chrono::minutes(60));
  const auto o =
      Fleet.change("e0", fakes::makeChange("c1", {drain("host-1")}), 20s);
  BOOST_TEST(toInt(o.State) == toInt(ChangeState::Unreachable));
  BOOST_TEST((Fleet.lowestRevision() == before));
  const auto calls = Fleet.Store.calls().Gets + Fleet.Store.calls().Watches;
  Fleet.Faults.Down = false;
  Fleet.Nodes.run(2s);
  // The eight instances do not call the store all at once: together they make
  // fewer than 24 calls.
  BOOST_TEST(Fleet.Store.calls().Gets + Fleet.Store.calls().Watches <
             calls + 24);
  Fleet.Nodes.run(13s);
  BOOST_TEST(isInForceWithinLimit(accept("e0", "c2", drain("host-1"))));
}

BOOST_AUTO_TEST_CASE(ReplacingAllInstancesDuringOutageKeepsRevision) {
  const auto n = accept("e3", "c1", withdraw("catania"));
  Fleet.Nodes.run(3s);
  Fleet.Faults.Down = true;
  for (auto k = 0; k < 8; ++k) {
    Fleet.Nodes.kill("e" + std::to_string(k));
    Fleet.Nodes.addInstance("e" + std::to_string(k),
                            DataCentres[static_cast<std::size_t>(k) % 2]);
    Fleet.Nodes.run(5s);
  }
  BOOST_TEST((Fleet.lowestRevision() == n));
  for (auto *it : Fleet.Nodes.running()) {
    BOOST_TEST(it->board().Readiness.read()->MayServe);
    BOOST_TEST(it->board().Configuration.read()->isWithdrawn(
        idFromName<DataCentreId>("catania")));
  }
}

BOOST_AUTO_TEST_CASE(NewInstanceServesOnlyWithConfiguration) {
  Fleet.Faults.Down = true;
  for (auto k = 0; k < 8; ++k)
    Fleet.Nodes.kill("e" + std::to_string(k));
  Fleet.Nodes.addInstance("new", "palermo");
  Fleet.Nodes.run(30s);
  BOOST_TEST(!Fleet.Nodes.instance("new").board().Readiness.read()->MayServe);
  Fleet.Faults.Down = false;
  Fleet.Nodes.run(15s);
  BOOST_TEST(Fleet.Nodes.instance("new").board().Readiness.read()->MayServe);
}

BOOST_AUTO_TEST_CASE(CountsHoldersAndListsMissing) {
  const auto n = accept("e0", "c1", drain("host-1"));
  Fleet.Nodes.run(3s);
  Fleet.setPaused("e5", true);
  const auto m = accept("e0", "c2", drain("host-2"));
  BOOST_TEST((m > n));
  Holders h;
  Fleet.config("e0").queryHolders(m, [&h](const auto &r) { h = r; });
  Fleet.Nodes.run(1s);
  BOOST_TEST(h.Live == 8U);
  BOOST_TEST(h.Holding == 7U);
  BOOST_TEST_REQUIRE(h.Missing.size() == 1U);
  BOOST_TEST(
      (h.Missing.front() == Fleet.Nodes.instance("e5").identity().PeerAddress));
}

BOOST_AUTO_TEST_CASE(MalformedFramesAreRefused) {
  auto &it = Fleet.Nodes.instance("e0");
  for (std::uint8_t k = 1; k <= 6; ++k)
    BOOST_TEST(!it.onPeerFrame({{},
                                {},
                                {},
                                messageKind(MessageFamily::Configuration, k),
                                Bytes(24, std::byte{0xEE})}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ConfigurationChanges, ConfigurationFixture)

BOOST_AUTO_TEST_CASE(LostAnswerOfAppliedWriteEndsAsAccepted) {
  const auto before = raw(Fleet.lowestRevision());
  auto o = submitAndLoseAnswer();
  Fleet.Nodes.run(3s);
  BOOST_TEST(stateOf(o) == toInt(ChangeState::Pending));
  Fleet.Faults.LostAnswerShare = 0;
  Fleet.Nodes.run(20s);
  BOOST_TEST(stateOf(o) == toInt(ChangeState::Accepted));
  BOOST_TEST(raw(o->RevisionNumber) == before + 1);
  BOOST_TEST(raw(Fleet.lowestRevision()) == before + 1);
}

// A write whose answer was lost may have taken effect, so the change must not
// be reported as refused.
BOOST_AUTO_TEST_CASE(InDoubtWriteStaysPending) {
  auto o = submitAndLoseAnswer();
  Fleet.Nodes.run(2s);
  Fleet.Faults.LostAnswerShare = 0;
  Fleet.Faults.Down = true;
  Fleet.Nodes.run(60s);
  BOOST_TEST(stateOf(o) == toInt(ChangeState::Pending));
  BOOST_TEST(Fleet.config("e0").isChangeOpen("c1"));
}

BOOST_AUTO_TEST_CASE(SameChangeAtTwoInstancesIsAppliedOnce) {
  const auto before = raw(Fleet.lowestRevision());
  const auto change = fakes::makeChange("c1", {drain("host-1")});
  auto a = Fleet.submit("e0", change);
  auto b = Fleet.submit("e1", change);
  Fleet.Nodes.run(3s);
  BOOST_TEST(stateOf(a) == toInt(ChangeState::Accepted));
  BOOST_TEST(stateOf(b) == toInt(ChangeState::Accepted));
  BOOST_TEST(raw(a->RevisionNumber) == before + 1);
  BOOST_TEST(raw(b->RevisionNumber) == before + 1);
}

BOOST_AUTO_TEST_CASE(ConcurrentChangesOfSameEntryConflict) {
  auto a = Fleet.submit("e0", fakes::makeChange("a", {drain("host-1")}));
  auto b = Fleet.submit(
      "e1",
      fakes::makeChange("b", {{OperationKind::Remove, "upstream/host-1", ""}}));
  Fleet.Nodes.run(3s);
  const auto &won = a->State == ChangeState::Accepted ? a : b;
  const auto &lost = a->State == ChangeState::Accepted ? b : a;
  BOOST_TEST(stateOf(won) == toInt(ChangeState::Accepted));
  BOOST_TEST(stateOf(lost) == toInt(ChangeState::Conflict));
  BOOST_TEST_REQUIRE(lost->Other.has_value());
  BOOST_TEST(lost->Other->Id == (won == a ? "a" : "b"));
}

BOOST_AUTO_TEST_CASE(ConcurrentChangesOfDifferentEntriesMerge) {
  std::vector<std::shared_ptr<const ChangeOutcome>> all;
  all.reserve(8);
  for (auto n = 0; n < 8; ++n)
    all.push_back(
        Fleet.submit("e" + std::to_string(n),
                     fakes::makeChange("c" + std::to_string(n),
                                       {drain("host-" + std::to_string(n))})));
  Fleet.Nodes.run(5s);
  for (const auto &it : all)
    BOOST_TEST(stateOf(it) == toInt(ChangeState::Accepted));
  const auto cfg = current("e0");
  for (auto n = 0; n < 8; ++n)
    BOOST_TEST(
        (cfg->findUpstream(idFromName<UpstreamId>("host-" + std::to_string(n)))
             ->Mode == UpstreamMode::Draining));
}

BOOST_AUTO_TEST_CASE(ImportKeepsUrgentWithdrawal) {
  accept("e0", "c1", withdraw("catania"));
  const auto o = Fleet.change(
      "e1", fakes::makeImport("s2", fakes::makeSheet(22, DataCentres)), 5s);
  BOOST_TEST(toInt(o.State) == toInt(ChangeState::Accepted));
  BOOST_TEST_REQUIRE(o.Kept.size() == 1U);
  BOOST_TEST(o.Kept.front() == "data_centre/catania withdraw");
  BOOST_TEST(isInForceWithinLimit(o.RevisionNumber));
  BOOST_TEST(current("e3")->isWithdrawn(idFromName<DataCentreId>("catania")));
  BOOST_TEST(current("e3")->Upstreams.size() == 22U);
}

BOOST_AUTO_TEST_CASE(LargeRemovalNeedsConfirmation) {
  auto import = fakes::makeImport("s2", fakes::makeSheet(10, DataCentres));
  auto o = Fleet.change("e1", import, 5s);
  BOOST_TEST(toInt(o.State) == toInt(ChangeState::NeedsConfirmation));
  BOOST_TEST(current("e1")->Upstreams.size() == 20U);
  import.Confirmed = true;
  o = Fleet.change("e1", import, 5s);
  BOOST_TEST(toInt(o.State) == toInt(ChangeState::Accepted));
}

BOOST_AUTO_TEST_CASE(AddedUpstreamKeepsRowWhenDrained) {
  accept("e0", "c1",
         {OperationKind::Add, "upstream/extra",
          "upstream,extra,,booking,palermo,10.9.0.1:80,2,2000,50,active"});
  accept("e1", "c2", drain("extra"));
  Fleet.Nodes.run(3s);
  const auto cfg = current("e2");
  const auto *it = cfg->findUpstream(idFromName<UpstreamId>("extra"));
  BOOST_TEST_REQUIRE(it != nullptr);
  BOOST_TEST((it->Mode == UpstreamMode::Draining));
  BOOST_TEST(it->SpeedPercent == 50U);
  accept("e1", "c3", {OperationKind::Clear, "upstream/extra", ""});
  Fleet.Nodes.run(3s);
  BOOST_TEST((current("e2")->findUpstream(idFromName<UpstreamId>("extra")) ==
              nullptr));
}

BOOST_AUTO_TEST_CASE(TeamChangesOnlyItsOwnServices) {
  auto change = fakes::makeChange("c1", {drain("host-1")});
  change.Team = "booking-team"; // host-1 belongs to the service uploads.
  auto o = Fleet.change("e0", change, 5s);
  BOOST_TEST(toInt(o.State) == toInt(ChangeState::Forbidden));
  change.Team = "uploads-team";
  o = Fleet.change("e0", change, 5s);
  BOOST_TEST(toInt(o.State) == toInt(ChangeState::Accepted));
  change = fakes::makeChange("c2", {withdraw("palermo")});
  change.Team = "uploads-team";
  o = Fleet.change("e0", change, 5s);
  BOOST_TEST(toInt(o.State) == toInt(ChangeState::Forbidden));
}

BOOST_AUTO_TEST_CASE(FullLogIsArchived) {
  fakes::ControlFleet one(12);
  one.addInstances("e", 1, DataCentres);
  one.Nodes.run(1s);
  one.change("e0", fakes::makeImport("s", fakes::makeSheet(2, DataCentres)),
             5s);
  for (std::size_t n = 0; n < LogLimit + 8; ++n) {
    const auto o = one.change(
        "e0", fakes::makeChange("c" + std::to_string(n), {drain("host-1")}),
        5s);
    BOOST_TEST_REQUIRE((o.State == ChangeState::Accepted), o.Detail);
    one.Nodes.run(300ms); // Keeps the instance within its call budget.
  }
  Head head;
  BOOST_TEST_REQUIRE(decodeHead(one.Store.peek("config/head")->Value, head));
  const auto *archive = one.Store.peek("config/log/1");
  BOOST_TEST_REQUIRE(archive != nullptr);
  std::vector<ChangeRecord> records;
  BOOST_TEST_REQUIRE(decodeRecords(archive->Value, records));
  BOOST_TEST(raw(records.back().RevisionNumber) + 1 ==
             raw(head.Log.front().RevisionNumber));
  BOOST_TEST(raw(head.RevisionNumber) == LogLimit + 9);
}

BOOST_AUTO_TEST_CASE(StoreRollbackKeepsInstanceRevision) {
  const auto old = Fleet.Store.peek("config/head")->Value;
  const auto n = accept("e0", "c1", withdraw("catania"));
  BOOST_TEST_REQUIRE(
      Fleet.Store
          .put("config/head", old, Fleet.Store.currentVersion("config/head"))
          .ok());
  Fleet.Nodes.run(10s);
  BOOST_TEST((Fleet.lowestRevision() == n));
  const auto o =
      Fleet.change("e1", fakes::makeChange("c2", {drain("host-1")}), 20s);
  BOOST_TEST(toInt(o.State) == toInt(ChangeState::Unreachable));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
