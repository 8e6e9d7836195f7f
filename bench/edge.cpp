#include "edge_model/baseline_placement.h"
#include "edge_model/faults.h"
#include "experiments.h"

#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <iostream>

namespace boragebridge::bench {

namespace json = boost::json;
using edge_model::EdgeModel;
using edge_model::Rule;

namespace {

/// Time before the first fault may begin.
constexpr Duration TimeBeforeFaults = std::chrono::seconds(5);
/// Time from the last moment at which a fault may begin until the callers stop.
constexpr Duration TimeAfterFaults = std::chrono::seconds(15);
/// Long enough for the requests in progress to end after the callers stop.
constexpr Duration CompletionTime = std::chrono::seconds(8);

struct Arguments {
  edge_model::EdgeModelOptions Model;
  std::string Scenario;
  std::size_t Faults = 6;
  /// Restores of the store from a copy that mixed plans contain besides.
  std::size_t Restores = 1;
  /// Faults of the kinds that mixed plans do not draw from, besides.
  std::size_t LaterFaults = 1;
  Duration Length{};
  std::uint64_t Runs = 1;
};

/// The figures of one run, or the sums over several runs.
struct EdgeFigures {
  edge_model::ModelOutcome Outcome;
  std::array<std::uint64_t, static_cast<std::size_t>(Rule::Count)> Violations{};
  double StoreCalls = 0;
  std::chrono::duration<double> Time{};
  std::vector<std::uint64_t> FailedSeeds;

  auto add(EdgeModel &m, std::uint64_t seed, Duration length) -> void {
    const auto &o = m.outcome();
    Outcome.Requests += o.Requests;
    Outcome.Served += o.Served;
    Outcome.Late += o.Late;
    Outcome.ResponseTime += o.ResponseTime;
    Outcome.OpeningPackets += o.OpeningPackets;
    Outcome.RemoteOpeningPackets += o.RemoteOpeningPackets;
    for (std::size_t i = 0; i < Violations.size(); ++i)
      Violations.at(i) += m.rules().count(static_cast<Rule>(i));
    StoreCalls += m.storeCalls();
    Time += length;
    if (m.rules().total() > 0)
      FailedSeeds.push_back(seed);
  }
};

auto share(std::uint64_t part, std::uint64_t whole) -> double {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

auto toJson(const EdgeFigures &f, std::size_t instances) -> json::object {
  json::object broken;
  for (std::size_t i = 0; i < f.Violations.size(); ++i)
    if (f.Violations.at(i) > 0)
      broken[edge_model::toString(static_cast<Rule>(i))] = f.Violations.at(i);
  json::array seeds;
  for (const auto it : f.FailedSeeds)
    seeds.push_back(it);
  const auto &o = f.Outcome;
  // The mean response time in units of the mean service time of a request.
  const auto meanWork = edge_model::UpstreamOptions().MeanServiceTime;
  const auto cost = o.Served == 0
                        ? 0
                        : std::chrono::duration<double>(o.ResponseTime) /
                              std::chrono::duration<double>(meanWork) /
                              static_cast<double>(o.Served);
  return {{"rules_broken", std::move(broken)},
          {"broken_seeds", std::move(seeds)},
          {"asked", o.Requests},
          {"served", share(o.Served, o.Requests)},
          {"late", share(o.Late, o.Served)},
          {"relative_cost", cost},
          {"remote_openings", share(o.RemoteOpeningPackets, o.OpeningPackets)},
          {"store_calls_per_instance_second",
           f.StoreCalls / static_cast<double>(instances) / f.Time.count()}};
}

auto runSeed(const Arguments &a, std::uint64_t seed, EdgeFigures &sum) -> void {
  auto options = a.Model;
  options.Seed = seed;
  EdgeModel model(options);
  model.run(TimeBeforeFaults);
  const auto start = model.now();
  const auto *only = edge_model::findFaultKind(a.Scenario);
  auto plan = a.Scenario == "calm"
                  ? std::vector<edge_model::PlannedFault>{}
                  : edge_model::drawFaults(seed, a.Faults, a.Length, only);
  if (a.Scenario == "mixed")
    edge_model::addRestores(plan, seed, a.Restores, a.Length);
  if (a.Scenario == "mixed")
    edge_model::addLaterFaults(plan, seed, a.LaterFaults, a.Length);
  planFaults(model, plan);
  model.run(a.Length + TimeAfterFaults);
  model.stopCallers();
  model.run(CompletionTime);
  sum.add(model, seed,
          TimeBeforeFaults + a.Length + TimeAfterFaults + CompletionTime);
  if (model.rules().total() == 0)
    return;
  std::cout << "seed " << seed << ":\n";
  for (const auto &it : plan)
    std::cout << "  at " << std::chrono::duration<double>(it.At).count()
              << " s " << it.Kind->Name << " for "
              << std::chrono::duration<double>(it.ActiveTime).count() << " s\n";
  for (const auto &it : model.rules().violations())
    std::cout << "  broken at "
              << std::chrono::duration<double>(it.At - start).count() << " s "
              << toString(it.Broken) << ": " << it.Details << '\n';
  std::cout << std::flush;
}

auto runAllSeeds(const Arguments &a) -> EdgeFigures {
  EdgeFigures sum;
  for (std::uint64_t i = 0; i < a.Runs; ++i)
    runSeed(a, a.Model.Seed + i, sum);
  return sum;
}

auto isKnownScenario(const std::string &scenario) -> bool {
  return scenario == "calm" || scenario == "mixed" ||
         edge_model::findFaultKind(scenario) != nullptr;
}

auto makeOptions() -> cxxopts::Options {
  cxxopts::Options options(
      "boragebench edge",
      "The packet edge under troubles, on a model of its surroundings.");
  options.add_options()("seed", "first seed",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "runs", "seeds that are played, one after the other",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "instances", "instances of the edge",
      cxxopts::value<std::size_t>()->default_value("6"))(
      "data-centres", "data centres",
      cxxopts::value<std::size_t>()->default_value("3"))(
      "upstreams", "upstreams of all services",
      cxxopts::value<std::size_t>()->default_value("18"))(
      "load", "requests a second for each upstream",
      cxxopts::value<double>()->default_value("25"))(
      "scenario", "calm, mixed, or one kind of trouble",
      cxxopts::value<std::string>()->default_value("mixed"))(
      "troubles", "troubles of a run",
      cxxopts::value<std::size_t>()->default_value("6"))(
      "restores", "restores of the store from a copy besides, if mixed",
      cxxopts::value<std::size_t>()->default_value("1"))(
      "later",
      "troubles of the kinds that mixed plans do not draw from, besides, if "
      "mixed; 0 for the plans of earlier releases",
      cxxopts::value<std::size_t>()->default_value("1"))(
      "seconds", "time in which troubles begin",
      cxxopts::value<unsigned>()->default_value("25"))(
      "baselines", "play other ways to place flows as well")("help",
                                                             "this text");
  return options;
}

} // namespace

auto runEdge(int argc, char **argv) -> int {
  constexpr int UsageError = 2;
  auto options = makeOptions();
  const auto args = options.parse(argc, argv);
  if (args.count("help") != 0) {
    std::cout << options.help() << "\nKinds of trouble:\n";
    for (const auto &it : edge_model::allFaultKinds())
      std::cout << "  " << it.Name << '\n';
    return 0;
  }
  Arguments a;
  a.Model.Seed = args["seed"].as<std::uint64_t>();
  a.Model.Instances = args["instances"].as<std::size_t>();
  a.Model.DataCentres = args["data-centres"].as<std::size_t>();
  a.Model.Upstreams = args["upstreams"].as<std::size_t>();
  a.Model.RequestsPerUpstream = args["load"].as<double>();
  a.Scenario = args["scenario"].as<std::string>();
  a.Faults = args["troubles"].as<std::size_t>();
  a.Restores = args["restores"].as<std::size_t>();
  a.LaterFaults = args["later"].as<std::size_t>();
  a.Length = std::chrono::seconds(args["seconds"].as<unsigned>());
  a.Runs = args["runs"].as<std::uint64_t>();
  if (!isKnownScenario(a.Scenario) || a.Model.Instances == 0 ||
      a.Model.DataCentres == 0 || a.Model.Upstreams == 0) {
    std::cerr << "boragebench edge: unknown scenario '" << a.Scenario
              << "', or no instances, data centres or upstreams\n";
    return UsageError;
  }
  const auto product = runAllSeeds(a);
  auto out = toJson(product, a.Model.Instances);
  out["experiment"] = "edge";
  out["seed"] = a.Model.Seed;
  out["runs"] = a.Runs;
  out["scenario"] = a.Scenario;
  out["instances"] = a.Model.Instances;
  out["upstreams"] = a.Model.Upstreams;
  if (args.count("baselines") != 0) {
    json::object baselines;
    for (const auto name : edge_model::baselineNames()) {
      a.Model.PlacementPolicy = name;
      baselines[name] = toJson(runAllSeeds(a), a.Model.Instances);
    }
    out["baselines"] = std::move(baselines);
  }
  std::cout << json::serialize(out) << '\n';
  return product.FailedSeeds.empty() ? 0 : 1;
}

} // namespace boragebridge::bench
