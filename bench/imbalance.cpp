#include "experiments.h"
#include "scenario/system_world.h"

#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <algorithm>
#include <array>
#include <iostream>

namespace boragebridge::bench {

namespace {

using scenario::SystemWorld;

/// Use of each booking host over one window, relative to its own speed.
struct Window {
  double MaxOverMean = 0;
  double P99OverMean = 0;
};

/// Hosts of speeds 1:8, some with reports that lag, lie or go missing, and
/// eight instances in one data centre.
class Imbalance {
public:
  explicit Imbalance(std::uint64_t seed) : World(makeTopology(seed)) {
    constexpr std::array<std::uint32_t, 4> Speeds{25, 50, 100, 200};
    const auto names = World.hostNames();
    for (std::size_t n = 0; n < names.size(); ++n) {
      auto &host = World.host(names[n]);
      host.setSpeed(Speeds.at(n % Speeds.size()));
      host.setFaults(reportFaults(n));
    }
    World.setLoad({Requests, 0, 0});
    World.settle();
  }

  auto run(Duration window) -> Window {
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
    std::sort(use.begin(), use.end());
    double sum = 0;
    for (auto v : use)
      sum += v;
    const auto mean = sum / static_cast<double>(use.size());
    const auto rank =
        static_cast<std::size_t>(0.99 * static_cast<double>(use.size() - 1));
    return {use.back() / mean, use[rank] / mean};
  }

  auto turnCold() -> void {
    World.host(World.hostNames().front()).turnCold(World.now());
  }
  auto world() -> SystemWorld & { return World; }

  /// Requests a second: about three quarters of what the hosts bear.
  static constexpr double Requests = 400;

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
      "help", "this text");
  const auto args = options.parse(argc, argv);
  if (args.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  const auto seed = args["seed"].as<std::uint64_t>();
  Imbalance bench(seed);
  boost::json::array overTime;
  Window last;
  for (auto n = 0; n < Windows; ++n) {
    if (n == Windows / 2)
      bench.turnCold();
    last = bench.run(WindowTime);
    std::cout << "window " << n << ": max/mean " << last.MaxOverMean
              << std::endl;
    overTime.push_back(last.MaxOverMean);
  }
  auto &world = bench.world();
  const auto report = world.requests().report();
  const auto falls = world.hostSum(&fakes::UpstreamCounts::Falls);
  std::cout << boost::json::serialize(boost::json::object{
                   {"experiment", "imbalance"},
                   {"seed", seed},
                   {"max_over_mean", last.MaxOverMean},
                   {"p99_over_mean", last.P99OverMean},
                   {"cold_over_limit", report.ColdOverLimit},
                   {"cold_falls", falls},
                   {"max_over_mean_over_time", std::move(overTime)},
                   {"submitted", report.Submitted},
                   {"answered", report.Answered},
                   {"refused", report.Refused}})
            << '\n';
  constexpr double Target = 1.1;
  return last.MaxOverMean <= Target && falls == 0 ? 0 : 1;
}

} // namespace boragebridge::bench
