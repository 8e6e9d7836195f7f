#include "experiments.h"
#include "scenario/system_world.h"

#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <algorithm>
#include <array>
#include <iostream>
#include <numeric>

namespace boragebridge::bench {

namespace {

using scenario::SystemWorld;

/// Utilisation of the booking hosts in one window. The utilisation of a host is
/// its work done relative to its speed.
struct WindowUse {
  double MaxOverMean = 0;
  double P99OverMean = 0;
  /// Utilisation of each host over the mean, in the order of
  /// SystemWorld::hostNames().
  std::vector<double> OverMean;
};

/// A run with eight instances in one data centre and hosts whose speeds differ
/// by up to 1:8. Four in five hosts send load reports that are late, missing,
/// falsely idle or falsely full.
class ImbalanceRun {
public:
  ImbalanceRun(std::uint64_t seed, double rate) : World(makeTopology(seed)) {
    constexpr std::array<std::uint32_t, 4> Speeds{25, 50, 100, 200};
    const auto names = World.hostNames();
    for (std::size_t n = 0; n < names.size(); ++n) {
      auto &host = World.host(names[n]);
      host.setSpeed(Speeds.at(n % Speeds.size()));
      host.setFaults(reportFaults(n));
    }
    World.setLoad({rate, 0, 0});
    World.settle();
  }

  auto run(Duration window) -> WindowUse {
    std::vector<Duration> before;
    for (const auto &it : World.hostNames())
      before.push_back(World.host(it).counts().WorkDone);
    World.run(window);
    std::vector<double> use;
    std::size_t n = 0;
    for (const auto &it : World.hostNames()) {
      const auto &host = World.host(it);
      const auto work = host.counts().WorkDone - before[n++];
      use.push_back(std::chrono::duration<double>(work).count() /
                    host.options().SpeedPercent);
    }
    const auto mean = std::accumulate(use.begin(), use.end(), 0.0) /
                      static_cast<double>(use.size());
    for (auto &it : use)
      it /= mean;
    auto sorted = use;
    std::sort(sorted.begin(), sorted.end());
    const auto rank =
        static_cast<std::size_t>(0.99 * static_cast<double>(use.size() - 1));
    return {sorted.back(), sorted[rank], use};
  }

  /// Prints the speed and the fault of each host, and its utilisation in each
  /// of \p windows.
  auto printHosts(const std::vector<WindowUse> &windows) -> void {
    const auto names = World.hostNames();
    for (std::size_t n = 0; n < names.size(); ++n) {
      const auto &host = World.host(names[n]);
      std::cout << names[n] << " speed " << host.options().SpeedPercent
                << " faults " << n % 5 << ':';
      for (const auto &it : windows)
        std::cout << ' ' << it.OverMean[n];
      std::cout << '\n';
    }
  }
  auto turnCold() -> void {
    World.host(World.hostNames().front()).turnCold(World.now());
  }
  auto world() -> SystemWorld & { return World; }

private:
  static auto makeTopology(std::uint64_t seed) -> scenario::Topology {
    scenario::Topology t;
    t.Seed = seed;
    t.DataCentres = {"palermo"};
    t.Instances = 8;
    t.BookingHosts = 15;
    t.UploadHosts = 0;
    t.Callers = 32;
    return t;
  }
  static auto reportFaults(std::size_t n) -> fakes::ReportFaults {
    fakes::ReportFaults f;
    f.Lag = n % 5 == 1 ? std::chrono::seconds(10) : Duration{};
    f.Missing = n % 5 == 2;
    f.ClaimsIdle = n % 5 == 3;
    f.ClaimsFull = n % 5 == 4;
    return f;
  }

  SystemWorld World;
};

} // namespace

auto runImbalance(int argc, char **argv) -> int {
  constexpr int Windows = 6;
  constexpr Duration WindowTime = std::chrono::seconds(30);
  cxxopts::Options options("boragebench imbalance",
                           "Use of upstreams by their own speed.");
  options.add_options()("seed", "seed of the run",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "rate", "requests a second; 400 are three quarters of what hosts bear",
      cxxopts::value<double>()->default_value("400"))(
      "hosts", "print the use of each host")("help", "this text");
  const auto args = options.parse(argc, argv);
  if (args.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  const auto seed = args["seed"].as<std::uint64_t>();
  ImbalanceRun experiment(seed, args["rate"].as<double>());
  boost::json::array overTime;
  std::vector<WindowUse> windows;
  for (auto n = 0; n < Windows; ++n) {
    if (n == Windows / 2)
      experiment.turnCold();
    windows.push_back(experiment.run(WindowTime));
    std::cout << "window " << n << ": max/mean " << windows.back().MaxOverMean
              << std::endl;
    overTime.push_back(windows.back().MaxOverMean);
  }
  if (args.count("hosts") != 0)
    experiment.printHosts(windows);
  const auto &last = windows.back();
  auto &world = experiment.world();
  const auto report = world.requests().report();
  const auto crashes = world.sumOverHosts(&fakes::UpstreamCounts::Crashes);
  std::cout << boost::json::serialize(boost::json::object{
                   {"experiment", "imbalance"},
                   {"seed", seed},
                   {"max_over_mean", last.MaxOverMean},
                   {"p99_over_mean", last.P99OverMean},
                   {"cold_over_limit", report.ColdOverLimit},
                   {"cold_falls", crashes},
                   {"max_over_mean_over_time", std::move(overTime)},
                   {"submitted", report.Submitted},
                   {"answered", report.Answered},
                   {"refused", report.Refused}})
            << '\n';
  constexpr double Target = 1.1;
  return last.MaxOverMean <= Target && crashes == 0 ? 0 : 1;
}

} // namespace boragebridge::bench
