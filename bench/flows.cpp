#include "experiments.h"
#include "fakes/flow_world.h"
#include "flow_baselines.h"

#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <iostream>

namespace boragebridge::bench {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct FlowSettings {
  std::uint64_t Seed = 1;
  int Instances = 8;
  std::uint32_t Upstreams = 15;
  int Flows = 200000;
  std::string Scenario = "mixed";
};

/// One run of a scenario. Half of the flows are open before the first change;
/// the other half is opened during the changes, while slots are unsettled. Each
/// packet that reaches a running instance is also given to the baselines.
class FlowExperiment {
public:
  explicit FlowExperiment(FlowSettings s)
      : Settings(std::move(s)), World(Settings.Seed, options()) {
    World.PacketInterval = seconds(4);
    World.MaxConfigurationSkew = seconds(1);
    World.OnFabricPacket = [this](const std::string &name, const FlowKey &k,
                                  PacketKind kind) {
      onFabricPacket(name, k, kind);
    };
  }

  auto run() -> int {
    World.start(Settings.Instances, Settings.Upstreams);
    openFlows(Settings.Flows / 2, seconds(10));
    runFor(seconds(15));
    IsMeasuring = true;
    openFlows(Settings.Flows / 2, openingTime());
    const auto script = scripts().at(Settings.Scenario);
    (this->*script)();
    runFor(seconds(15));
    return report();
  }

  using Script = auto(FlowExperiment::*)() -> void;
  static auto scripts() -> const std::map<std::string, Script> & {
    static const std::map<std::string, Script> all{
        {"rolling", &FlowExperiment::rolling},
        {"drain", &FlowExperiment::drain},
        {"reweight", &FlowExperiment::reweight},
        {"kill", &FlowExperiment::kill},
        {"pause", &FlowExperiment::pause},
        {"mixed", &FlowExperiment::mixed}};
    return all;
  }

private:
  static auto options() -> FlowOptions {
    FlowOptions opt;
    opt.IdleTimeout = seconds(20);
    return opt;
  }

  /// Returns the time over which the second half of the flows is opened, at a
  /// rate of 5,000 new flows per second and instance.
  auto openingTime() const -> Duration {
    constexpr int FlowsPerInstanceSecond = 5000;
    return Duration(seconds(1)) * (Settings.Flows / 2) /
           (FlowsPerInstanceSecond * Settings.Instances);
  }

  auto openFlows(int n, Duration over) -> void {
    for (int i = 0; i < n; ++i)
      World.Nodes.Network.after(World.randomDelay(over),
                                [this] { World.open(); });
  }

  auto onFabricPacket(const std::string &name, const FlowKey &k,
                      PacketKind kind) -> void {
    ++FabricPackets;
    if (!World.Nodes.isRunning(name))
      return;
    const auto cfg = World.Nodes.instance(name).board().Configuration.read();
    for (auto &it : Baselines)
      it.onPacket(name, *cfg, k, kind);
  }

  auto runFor(Duration d) -> void {
    for (Duration done{}; done < d; done += seconds(1)) {
      World.run(seconds(1));
      if (IsMeasuring)
        sampleInstances();
    }
  }

  /// Samples the control bytes that each instance sent in the last second and
  /// the number of flow records that it holds.
  auto sampleInstances() -> void {
    for (auto *it : World.Nodes.running()) {
      const auto &name = it->identity().Name;
      const auto total = it->metrics().counterValue("flow_control_bytes_total");
      auto &traffic = TrafficByInstance[name];
      if (traffic.Seconds > 0) {
        const auto now = static_cast<double>(total - traffic.LastTotal);
        PeakControlBytes = std::max(PeakControlBytes, now);
        traffic.Sum += now;
      }
      traffic.LastTotal = total;
      ++traffic.Seconds;
      MaxRecords =
          std::max(MaxRecords, World.controller(name).home().records().size());
    }
  }

  /// Drains upstream u\p i and adds a new upstream in its place.
  auto replaceUpstream(int i) -> void {
    World.upstream("u" + std::to_string(i)).Mode = UpstreamMode::Draining;
    World.addUpstream("n" + std::to_string(i),
                      1000 + static_cast<std::uint32_t>(i));
    World.acceptConfiguration();
  }

  auto drain() -> void {
    replaceUpstream(0);
    runFor(seconds(15));
  }

  auto rolling() -> void {
    replaceUpstream(0);
    for (int i = 0; i < Settings.Instances; ++i) {
      const auto name = "i" + std::to_string(i);
      World.stop(name);
      runFor(seconds(2));
      removeFromBaselines(name);
      World.addInstance("r" + std::to_string(i));
      runFor(seconds(1));
    }
    replaceUpstream(1);
    runFor(seconds(5));
  }

  auto reweight() -> void {
    for (int round = 0; round < 2; ++round) {
      for (auto &u : World.Config.Upstreams)
        u.SpeedPercent =
            25 + static_cast<std::uint32_t>(World.Random.below(175));
      World.acceptConfiguration();
      runFor(seconds(12));
    }
  }

  auto kill() -> void {
    replaceUpstream(0);
    runFor(seconds(3));
    World.kill("i1", seconds(3));
    removeFromBaselines("i1");
    runFor(seconds(10));
  }

  auto pause() -> void {
    World.Nodes.setPaused("i2", true);
    replaceUpstream(0);
    runFor(seconds(8));
    World.Nodes.setPaused("i2", false);
    runFor(seconds(5));
  }

  auto mixed() -> void {
    World.Nodes.setPaused("i2", true);
    replaceUpstream(0);
    World.stop("i3");
    World.addInstance("x0");
    runFor(seconds(3));
    replaceUpstream(1);
    World.kill("i1", seconds(3));
    removeFromBaselines("i1");
    runFor(seconds(4));
    World.Nodes.setPaused("i2", false);
    World.upstream("u0").Mode = UpstreamMode::Active;
    World.acceptConfiguration();
    runFor(seconds(5));
    reweight();
  }

  auto removeFromBaselines(const std::string &name) -> void {
    for (auto &it : Baselines)
      it.removeInstance(name);
  }

  /// Returns the mean control bytes per second of the instance that sent most.
  auto maxMeanControlBytes() const -> double {
    double highest = 0;
    for (const auto &[name, it] : TrafficByInstance)
      if (it.Seconds > 1)
        highest = std::max(highest, it.Sum / (it.Seconds - 1));
    return highest;
  }

  auto report() -> int {
    auto sum = [this](const char *name) { return World.counterSum(name); };
    const auto relayed = static_cast<double>(sum("flow_packets_relayed_total"));
    boost::json::object root{
        {"experiment", "flows"},
        {"scenario", Settings.Scenario},
        {"seed", Settings.Seed},
        {"flows", World.Flows.size()},
        {"packets", FabricPackets},
        {"broken_flows", World.brokenFlows() - World.unavoidablyBroken()},
        {"broken_unavoidable", World.unavoidablyBroken()},
        {"not_established", static_cast<int>(World.Flows.size()) -
                                World.establishedFlows() - World.brokenFlows()},
        {"misdelivered", World.Misdelivered},
        {"relayed_share", relayed / static_cast<double>(FabricPackets)},
        {"control_bytes_per_instance_second", maxMeanControlBytes()},
        {"control_bytes_peak_second", PeakControlBytes},
        {"records_per_instance", MaxRecords},
        {"records_sent", sum("flow_records_sent_total")},
        {"records_dropped", sum("flow_records_dropped_total")},
        {"trials", sum("flow_trials_total")},
        {"trials_retried", sum("flow_trials_retried_total")}};
    const auto broken = [this](std::size_t n) {
      return boost::json::object{{"broken_flows", Baselines[n].brokenFlows()}};
    };
    root["baselines"] = boost::json::object{{"modulo", broken(0)},
                                            {"local_tracking", broken(1)},
                                            {"without_relaying", broken(2)}};
    std::cout << boost::json::serialize(root) << '\n';
    constexpr double MaxControlBytes = 5000;
    const auto isMet = World.brokenFlows() == 0 && World.Misdelivered == 0 &&
                       maxMeanControlBytes() < MaxControlBytes;
    return isMet ? 0 : 1;
  }

  struct ControlTraffic {
    std::uint64_t LastTotal = 0;
    double Sum = 0;
    int Seconds = 0;
  };

  FlowSettings Settings;
  fakes::FlowWorld World;
  std::vector<BaselineRun> Baselines{
      BaselineRun(BaselineMethod::Modulo),
      BaselineRun(BaselineMethod::LocalTracking),
      BaselineRun(BaselineMethod::WithoutRelaying)};
  std::map<std::string, ControlTraffic> TrafficByInstance;
  std::uint64_t FabricPackets = 0;
  double PeakControlBytes = 0;
  std::size_t MaxRecords = 0;
  bool IsMeasuring = false;
};

} // namespace

auto runFlows(int argc, char **argv) -> int {
  FlowSettings s;
  cxxopts::Options opt("boragebench flows",
                       "flows that break through planned changes and faults");
  opt.add_options()("seed", "seed of the run", cxxopts::value(s.Seed))(
      "instances", "instances at the start", cxxopts::value(s.Instances))(
      "upstreams", "upstreams at the start", cxxopts::value(s.Upstreams))(
      "flows", "flows, half of them opened during the change",
      cxxopts::value(s.Flows))(
      "scenario", "rolling, drain, reweight, kill, pause or mixed",
      cxxopts::value(s.Scenario))("help", "print this");
  const auto args = opt.parse(argc, argv);
  constexpr int MinInstances = 4;
  if (args.count("help") != 0 || s.Instances < MinInstances ||
      s.Upstreams < 2 || s.Flows < 2 ||
      !FlowExperiment::scripts().contains(s.Scenario)) {
    std::cout << opt.help();
    return args.count("help") != 0 ? 0 : 2;
  }
  return FlowExperiment(s).run();
}

} // namespace boragebridge::bench
