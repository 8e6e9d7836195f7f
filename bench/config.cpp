#include "experiments.h"
#include "fakes/control_fleet.h"

#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <algorithm>
#include <cmath>
#include <iostream>

namespace boragebridge::bench {

namespace {

using namespace std::chrono_literals;

const std::vector<std::string> DataCentres{"palermo", "catania", "siracusa",
                                           "trapani"};
constexpr std::size_t Hosts = 20;
constexpr Duration FaultBegin = 30s;
constexpr Duration FaultEnd = 90s;
constexpr Duration LoadEnd = 120s;
constexpr Duration RecoveryTime = 40s;
constexpr Duration TakeEffectTarget = 3s;
constexpr Duration ReplaceInterval = 5s;
constexpr Duration ChangeInterval = 2s;

auto secondsOf(Duration d) -> double {
  return std::chrono::duration<double>(d).count();
}

/// Runs one scenario and checks that no revision goes back, no accepted change
/// is lost and no change reported as not accepted is stored.
class ConfigRun {
public:
  ConfigRun(std::string scenario, std::uint64_t seed, std::size_t n)
      : Scenario(std::move(scenario)), Instances(n), Random(seed), Fleet(seed) {
    Fleet.addInstances("e", n, DataCentres);
    Fleet.Nodes.run(3s);
    submit("e0",
           fakes::makeImport("sheet", fakes::makeSheet(Hosts, DataCentres)));
    step(3s);
    Begin = Fleet.Nodes.Time.now();
    CallsBefore = Fleet.Store.calls();
    BytesBefore = bytes();
  }

  auto run() -> int {
    while (elapsed() < LoadEnd) {
      applyFaults();
      submitRound();
      step(Random.jitter(ChangeInterval));
    }
    Fleet.Faults.LostAnswerShare = 0;
    Fleet.Faults.RefusedShare = 0;
    step(RecoveryTime);
    return report();
  }

private:
  struct Change {
    std::string Id;
    std::shared_ptr<const ChangeOutcome> Outcome;
    DataCentreId OriginDataCentre{};
    TimePoint AcceptedAt;
    bool IsAcceptanceSeen = false;
    bool HasTakenEffect = false;
  };

  auto elapsed() const -> Duration { return Fleet.Nodes.Time.now() - Begin; }
  auto nameOf(std::size_t k) const -> std::string {
    return "e" + std::to_string(k);
  }

  auto isFaulty() const -> bool {
    return elapsed() >= FaultBegin && elapsed() < FaultEnd;
  }

  auto applyFaults() -> void {
    if (Scenario == "outage" || Scenario == "replace-all")
      Fleet.Faults.Down = isFaulty();
    if (Scenario == "lost-answers") {
      Fleet.Faults.LostAnswerShare = 0.3;
      Fleet.Faults.RefusedShare = 0.1;
    }
    if (Scenario == "partition")
      isolateFirstDataCentre(isFaulty());
    if (Scenario == "replace-all" && isFaulty() &&
        elapsed() - FaultBegin >=
            ReplaceInterval * static_cast<std::int64_t>(ReplacedCount))
      replaceNext();
  }

  auto isolateFirstDataCentre(bool cut) -> void {
    const auto first = idFromName<DataCentreId>(DataCentres.front());
    for (const auto &it : DataCentres)
      if (it != DataCentres.front())
        Fleet.Nodes.Network.setCut(first, idFromName<DataCentreId>(it), cut);
    if (cut)
      Fleet.Faults.CutOff.insert(first);
    else
      Fleet.Faults.CutOff.clear();
  }

  auto replaceNext() -> void {
    const auto k = ReplacedCount++ % Instances;
    Fleet.Nodes.kill(nameOf(k));
    Fleet.Nodes.addInstance(nameOf(k), DataCentres[k % DataCentres.size()]);
  }

  auto submit(const std::string &instance, ChangeRequest request) -> void {
    Change c;
    c.Id = request.Id;
    c.OriginDataCentre = Fleet.Nodes.instance(instance).identity().DataCentre;
    c.Outcome = Fleet.submit(instance, std::move(request));
    Changes.push_back(std::move(c));
  }

  auto submitRound() -> void {
    const auto n = Scenario == "race" ? std::size_t{3} : std::size_t{1};
    for (std::size_t k = 0; k < n; ++k) {
      static constexpr std::array Kinds{OperationKind::Drain,
                                        OperationKind::Activate};
      const auto host = Random.below(Scenario == "race" ? 3 : Hosts);
      submit(
          nameOf(Random.below(Instances)),
          fakes::makeChange("c" + std::to_string(Changes.size()),
                            {{Kinds[Random.below(Kinds.size())],
                              "upstream/host-" + std::to_string(host), ""}}));
    }
  }

  auto step(Duration d) -> void {
    const auto end = Fleet.Nodes.Time.now() + d;
    while (Fleet.Nodes.Time.now() < end) {
      Fleet.Nodes.run(Instance::TickInterval);
      checkRevisions();
      updateChanges();
    }
  }

  /// Counts the instances that serve an older revision than an instance of the
  /// same name has served before. A replacement takes over the name of the
  /// instance that it replaces.
  auto checkRevisions() -> void {
    for (auto *it : Fleet.Nodes.running()) {
      if (!it->board().Readiness.read()->MayServe)
        continue;
      const auto n = it->board().Configuration.read()->RevisionNumber;
      auto &highest = HighestRevisions[it->identity().Name];
      if (n < highest)
        ++RevisionRegressions;
      highest = std::max(highest, n);
    }
  }

  /// Records when each accepted change was accepted and when it took effect.
  auto updateChanges() -> void {
    for (auto &c : Changes) {
      if (c.HasTakenEffect || c.Outcome->State != ChangeState::Accepted)
        continue;
      if (!c.IsAcceptanceSeen) {
        c.IsAcceptanceSeen = true;
        c.AcceptedAt = Fleet.Nodes.Time.now();
      }
      if (!hasTakenEffect(c))
        continue;
      c.HasTakenEffect = true;
      SecondsToTakeEffect.push_back(
          secondsOf(Fleet.Nodes.Time.now() - c.AcceptedAt));
    }
  }

  /// Returns true when the change has taken effect at every serving instance
  /// that is not partitioned from the instance that accepted it.
  auto hasTakenEffect(const Change &c) -> bool {
    const auto first = idFromName<DataCentreId>(DataCentres.front());
    const auto cut = !Fleet.Faults.CutOff.empty();
    const auto all = Fleet.Nodes.running();
    return std::all_of(all.begin(), all.end(), [&](auto *it) {
      const auto dataCentre = it->identity().DataCentre;
      const auto reachable =
          !cut || (dataCentre == first) == (c.OriginDataCentre == first);
      return !reachable || !it->board().Readiness.read()->MayServe ||
             it->board().Configuration.read()->RevisionNumber >=
                 c.Outcome->RevisionNumber;
    });
  }

  auto bytes() -> std::uint64_t {
    std::uint64_t n = 0;
    for (std::size_t k = 0; k < Instances; ++k)
      n += Fleet.Nodes.Network.bytesSent(
          Fleet.Nodes.instance(nameOf(k)).identity().PeerAddress);
    return n;
  }

  /// Returns the number of accepted changes that the store does not hold under
  /// their revision, or that some instance has not applied by the end of the
  /// run.
  auto countLost() -> std::size_t {
    Head head;
    if (!decodeHead(Fleet.Store.peek(std::string(HeadKey))->Value, head))
      return Changes.size();
    std::size_t lost = 0;
    for (const auto &c : Changes) {
      if (c.Outcome->State != ChangeState::Accepted)
        continue;
      const auto *record = head.findChange(c.Id);
      if (record == nullptr ||
          record->RevisionNumber != c.Outcome->RevisionNumber ||
          Fleet.lowestRevision() < c.Outcome->RevisionNumber)
        ++lost;
    }
    return lost;
  }

  /// Returns the number of changes that were reported as not accepted although
  /// the store holds them.
  auto countFalseRefusals() -> std::size_t {
    Head head;
    decodeHead(Fleet.Store.peek(std::string(HeadKey))->Value, head);
    return static_cast<std::size_t>(
        std::count_if(Changes.begin(), Changes.end(), [&](const auto &c) {
          return c.Outcome->State != ChangeState::Accepted &&
                 c.Outcome->State != ChangeState::Pending &&
                 head.findChange(c.Id) != nullptr;
        }));
  }

  auto countState(ChangeState s) const -> std::size_t {
    return static_cast<std::size_t>(
        std::count_if(Changes.begin(), Changes.end(),
                      [s](const auto &c) { return c.Outcome->State == s; }));
  }

  auto quantile(double q) const -> double {
    if (SecondsToTakeEffect.empty())
      return 0;
    const auto n = static_cast<double>(SecondsToTakeEffect.size() - 1);
    return SecondsToTakeEffect[static_cast<std::size_t>(std::lround(q * n))];
  }

  auto report() -> int {
    std::sort(SecondsToTakeEffect.begin(), SecondsToTakeEffect.end());
    const auto seconds = secondsOf(elapsed());
    const auto &now = Fleet.Store.calls();
    const auto rate = [seconds](std::uint64_t a, std::uint64_t b) {
      return static_cast<double>(a - b) / seconds;
    };
    const auto lost = countLost();
    const auto falseRefusals = countFalseRefusals();
    const auto accepted = countState(ChangeState::Accepted);
    std::cout << boost::json::serialize(boost::json::object{
                     {"experiment", "config"},
                     {"scenario", Scenario},
                     {"instances", Instances},
                     {"submitted", Changes.size()},
                     {"accepted", accepted},
                     {"conflicts", countState(ChangeState::Conflict)},
                     {"unreachable", countState(ChangeState::Unreachable)},
                     {"pending", countState(ChangeState::Pending)},
                     {"not_in_force", accepted - SecondsToTakeEffect.size()},
                     {"reverted", RevisionRegressions},
                     {"lost_accepted", lost},
                     {"false_refusals", falseRefusals},
                     {"seconds_to_force_p50", quantile(0.5)},
                     {"seconds_to_force_p99", quantile(0.99)},
                     {"seconds_to_force_max", quantile(1)},
                     {"store_calls_per_second",
                      {{"get", rate(now.Gets, CallsBefore.Gets)},
                       {"list", rate(now.Lists, CallsBefore.Lists)},
                       {"put", rate(now.Puts, CallsBefore.Puts)},
                       {"remove", rate(now.Removes, CallsBefore.Removes)},
                       {"watch", rate(now.Watches, CallsBefore.Watches)}}},
                     {"control_bytes_per_instance_second",
                      static_cast<double>(bytes() - BytesBefore) / seconds /
                          static_cast<double>(Instances)}})
              << "\n";
    const auto met = RevisionRegressions == 0 && lost == 0 &&
                     falseRefusals == 0 &&
                     accepted == SecondsToTakeEffect.size() &&
                     quantile(1) <= secondsOf(TakeEffectTarget);
    return met ? 0 : 1;
  }

  std::string Scenario;
  std::size_t Instances;
  SeededRandom Random;
  fakes::ControlFleet Fleet;
  TimePoint Begin;
  fakes::ObjectStoreCalls CallsBefore;
  std::uint64_t BytesBefore = 0;
  std::vector<Change> Changes;
  std::map<std::string, Revision> HighestRevisions;
  std::vector<double> SecondsToTakeEffect;
  std::size_t ReplacedCount = 0;
  std::uint64_t RevisionRegressions = 0;
};

} // namespace

auto runConfig(int argc, char **argv) -> int {
  constexpr int UsageError = 2;
  cxxopts::Options opt("boragebench config",
                       "Acceptance and spreading of changes under faults");
  opt.add_options()("seed", "seed",
                    cxxopts::value<std::uint64_t>()->default_value("1"))(
      "scenario",
      "normal, outage, lost-answers, partition, replace-all or race",
      cxxopts::value<std::string>()->default_value("normal"))(
      "instances", "size of the fleet",
      cxxopts::value<std::size_t>()->default_value("8"))("help", "help");
  const auto args = opt.parse(argc, argv);
  if (args.count("help") != 0) {
    std::cout << opt.help();
    return 0;
  }
  static constexpr std::array<std::string_view, 6> Scenarios{
      "normal", "outage", "lost-answers", "partition", "replace-all", "race"};
  const auto scenario = args["scenario"].as<std::string>();
  if (std::find(Scenarios.begin(), Scenarios.end(), scenario) ==
      Scenarios.end()) {
    std::cerr << "boragebench config: unknown scenario '" << scenario << "'\n";
    return UsageError;
  }
  return ConfigRun(scenario, args["seed"].as<std::uint64_t>(),
                   args["instances"].as<std::size_t>())
      .run();
}

} // namespace boragebridge::bench
