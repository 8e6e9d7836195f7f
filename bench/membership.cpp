#include "experiments.h"
#include "fakes/fleet.h"
#include "membership/membership_controller.h"

#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <algorithm>
#include <ctime>
#include <iostream>

namespace boragebridge::bench {

namespace {

using namespace std::chrono_literals;

/// Long enough for the membership updates of the start to have spread to every
/// instance.
constexpr Duration WarmUp = 90s;
constexpr Duration SteadyTime = 20s;
constexpr Duration DetectionLimit = 15s;
constexpr std::size_t KilledInstances = 3;

auto makeMembershipOnly(const ControllerContext &ctx) -> ControllerList {
  ControllerList all;
  auto platform = std::make_shared<BudgetedPlatform>(ctx);
  all.push_back(makeMembershipController(ctx, std::move(platform)));
  return all;
}

auto secondsOf(Duration d) -> double {
  return std::chrono::duration<double>(d).count();
}

/// The figures of one fleet size.
struct MembershipFigures {
  std::size_t Instances = 0;
  std::uint64_t FalseSuspicions = 0;
  double BytesPerInstanceSecond = 0;
  double CpuPercentOfCore = 0;
  double DetectionMean = 0;
  double DetectionMax = 0;
};

/// Measures false suspicions, traffic and processor time of a fleet without
/// faults, then the time to detect killed instances.
class MembershipRun {
public:
  MembershipRun(std::uint64_t seed, std::size_t n) : Fleet(options(seed)) {
    static const std::vector<std::string> dcs{"palermo", "catania", "siracusa",
                                              "trapani"};
    for (std::size_t k = 0; k < n; ++k)
      Fleet.addInstance(nameOf(k), dcs[k % dcs.size()]);
    Result.Instances = n;
  }

  auto run() -> MembershipFigures {
    Fleet.run(WarmUp);
    measureSteadyState();
    for (std::size_t k = 0; k < KilledInstances; ++k)
      measureDetection(k);
    Result.DetectionMean /= KilledInstances;
    return Result;
  }

private:
  static auto options(std::uint64_t seed) -> fakes::FleetOptions {
    fakes::FleetOptions opt;
    opt.Seed = seed;
    opt.MakeControllers = makeMembershipOnly;
    return opt;
  }
  static auto nameOf(std::size_t k) -> std::string {
    return "e" + std::to_string(k);
  }

  auto counterSum(const std::string &metric) -> std::uint64_t {
    std::uint64_t n = 0;
    for (auto *it : Fleet.running())
      n += it->metrics().counterValue(metric);
    return n;
  }

  auto bytes() -> std::uint64_t {
    std::uint64_t n = 0;
    for (auto *it : Fleet.running())
      n += Fleet.Network.bytesSent(it->identity().PeerAddress);
    return n;
  }

  auto measureSteadyState() -> void {
    const auto n = static_cast<double>(Result.Instances);
    const auto bytesBefore = bytes();
    const auto suspicions = counterSum("membership_suspicions_total");
    const auto begin = std::clock();
    Fleet.run(SteadyTime);
    const auto cpu = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    constexpr double Percent = 100;
    Result.CpuPercentOfCore = Percent * cpu / secondsOf(SteadyTime) / n;
    Result.BytesPerInstanceSecond =
        static_cast<double>(bytes() - bytesBefore) / secondsOf(SteadyTime) / n;
    Result.FalseSuspicions =
        counterSum("membership_suspicions_total") - suspicions;
  }

  auto allConsiderDead(InstanceId id) -> bool {
    const auto all = Fleet.running();
    return std::all_of(all.begin(), all.end(), [id](auto *it) {
      const auto view = it->board().Membership.read();
      const auto *m = view->find(id);
      return m == nullptr || m->State == MemberState::Dead;
    });
  }

  auto measureDetection(std::size_t k) -> void {
    const auto id = idFromName<InstanceId>(nameOf(k));
    Fleet.kill(nameOf(k));
    const auto begin = Fleet.Time.now();
    while (!allConsiderDead(id) && Fleet.Time.now() - begin < DetectionLimit)
      Fleet.run(50ms);
    const auto seconds = secondsOf(Fleet.Time.now() - begin);
    Result.DetectionMean += seconds;
    Result.DetectionMax = std::max(Result.DetectionMax, seconds);
  }

  fakes::Fleet Fleet;
  MembershipFigures Result;
};

auto toJson(const MembershipFigures &f) -> boost::json::object {
  return {{"instances", f.Instances},
          {"false_suspicions", f.FalseSuspicions},
          {"bytes_per_instance_second", f.BytesPerInstanceSecond},
          {"cpu_percent_of_core_per_instance", f.CpuPercentOfCore},
          {"seconds_to_detect_mean", f.DetectionMean},
          {"seconds_to_detect_max", f.DetectionMax}};
}

} // namespace

auto runMembership(int argc, char **argv) -> int {
  cxxopts::Options opt("boragebench membership",
                       "Cost and speed of membership by size of the fleet");
  opt.add_options()("seed", "seed",
                    cxxopts::value<std::uint64_t>()->default_value("1"))(
      "instances", "one size; 0: 8, 32, 128 and 512",
      cxxopts::value<std::size_t>()->default_value("0"))("help", "help");
  const auto args = opt.parse(argc, argv);
  if (args.count("help") != 0) {
    std::cout << opt.help();
    return 0;
  }
  std::vector<std::size_t> sizes{8, 32, 128, 512};
  if (const auto n = args["instances"].as<std::size_t>(); n != 0)
    sizes = {n};
  std::vector<MembershipFigures> all;
  boost::json::array list;
  for (auto n : sizes) {
    all.push_back(MembershipRun(args["seed"].as<std::uint64_t>(), n).run());
    list.push_back(toJson(all.back()));
    std::cout << boost::json::serialize(list.back()) << "\n";
  }
  const auto &first = all.front();
  const auto &last = all.back();
  const auto span = static_cast<double>(last.Instances - first.Instances);
  const auto slope =
      span == 0
          ? 0
          : (last.BytesPerInstanceSecond - first.BytesPerInstanceSecond) / span;
  std::cout << boost::json::serialize(boost::json::object{
                   {"experiment", "membership"},
                   {"seed", args["seed"].as<std::uint64_t>()},
                   {"sizes", std::move(list)},
                   {"bytes_per_instance_second_slope", slope}})
            << "\n";
  return std::any_of(all.begin(), all.end(),
                     [](const auto &f) { return f.FalseSuspicions != 0; })
             ? 1
             : 0;
}

} // namespace boragebridge::bench
