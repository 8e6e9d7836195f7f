#include "experiments.h"
#include "request_world_load.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <iostream>

namespace boragebridge::bench {

namespace {

using fakes::RequestWorld;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration TimeBeforeWithdrawal = seconds(10);
constexpr Duration WithdrawnTime = seconds(20);
constexpr Duration TimeAfterReturn = seconds(25);
constexpr Duration CompletionTime = seconds(8);
constexpr Duration LoadStep = milliseconds(5);
/// No packet may reach a withdrawn data centre later than this after its
/// withdrawal.
constexpr Duration PacketGracePeriod = seconds(5);
constexpr std::size_t Callers = 60;
constexpr double FullCapacityShare = 0.95;

/// The figures of one phase of the run: before the withdrawal, during it or
/// after it.
struct PhaseFigures {
  double GoodputOverCapacity = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Unknown = 0;
  double P50 = 0;
  double P99 = 0;
};

auto expectNoPacketsTo(RequestWorld &w, const std::string &dc,
                       std::optional<TimePoint> from) -> void {
  for (std::size_t n = 0; n < w.hostCount(); ++n)
    if (w.hostDataCentre(n) == dc)
      w.host(n).expectNoPackets(from);
}

auto turnHostsCold(RequestWorld &w, const std::string &dc) -> void {
  for (std::size_t n = 0; n < w.hostCount(); ++n)
    if (w.hostDataCentre(n) == dc)
      w.host(n).turnCold(w.now());
}

auto measure(const RequestWorld &w, TimePoint from, TimePoint to,
             double capacity) -> PhaseFigures {
  PhaseFigures p;
  p.GoodputOverCapacity =
      answeredPerSecond(w, RequestWorld::booking(), from, to) / capacity;
  p.P50 = latencyQuantile(w, from, to, 0.5);
  p.P99 = latencyQuantile(w, from, to, 0.99);
  for (const auto &r : w.requests()) {
    if (r.Submitted < from || r.Submitted >= to)
      continue;
    p.Refused += r.Kind == OutcomeKind::RefusedNotRun && r.IsEnded ? 1 : 0;
    p.Unknown += r.Kind == OutcomeKind::Unknown && r.IsEnded ? 1 : 0;
  }
  return p;
}

/// Returns the lowest goodput of any second in [from, to), relative to
/// \p capacity; at most 1.
auto worstSecond(const RequestWorld &w, TimePoint from, TimePoint to,
                 double capacity) -> double {
  double worst = 1;
  for (auto at = from; at + seconds(1) <= to; at += seconds(1))
    worst = std::min(worst, answeredPerSecond(w, RequestWorld::booking(), at,
                                              at + seconds(1)) /
                                capacity);
  return worst;
}

/// Returns the seconds from \p from to the end of the first one-second window
/// whose goodput reaches 95% of \p capacity; -1 when none does.
auto timeToCapacity(const RequestWorld &w, TimePoint from, TimePoint to,
                    double capacity) -> double {
  constexpr Duration Step = milliseconds(100);
  for (auto at = from; at + seconds(1) <= to; at += Step)
    if (answeredPerSecond(w, RequestWorld::booking(), at, at + seconds(1)) >=
        FullCapacityShare * capacity)
      return std::chrono::duration<double>(at + seconds(1) - from).count();
  return -1;
}

auto toJson(const PhaseFigures &p) -> boost::json::object {
  return {{"goodput_over_capacity", p.GoodputOverCapacity},
          {"refused", p.Refused},
          {"unknown", p.Unknown},
          {"latency_p50_ms", p.P50},
          {"latency_p99_ms", p.P99}};
}

} // namespace

auto runDeparture(int argc, char **argv) -> int {
  cxxopts::Options options("boragebench departure",
                           "A data centre leaves and returns in an opening");
  options.add_options()("seed", "Seed of the run",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "deployment", "cenacolo or alliance",
      cxxopts::value<std::string>()->default_value("alliance"))(
      "load", "Requests offered, as a share of the full capacity",
      cxxopts::value<double>()->default_value("1.3"))("help",
                                                      "Show the options");
  const auto args = options.parse(argc, argv);
  if (args.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  const auto seed = args["seed"].as<std::uint64_t>();
  const auto deployment = args["deployment"].as<std::string>();
  auto opt = deploymentOptions(deployment, seed);
  opt.Callers = Callers;
  RequestWorld w(opt);
  const auto booking = RequestWorld::booking();
  const auto full = w.capacity(booking);
  const auto share = 1.0 / static_cast<double>(opt.DataCentres.size());
  const auto reachable = full * (1 - share);
  const auto leaving = opt.DataCentres.front();
  OpenLoad load(w, booking, 0, Callers, seed + 1);
  auto runFor = [&](Duration d) {
    const auto end = w.now() + d;
    while (w.now() < end) {
      load.tick();
      w.run(LoadStep);
    }
  };
  w.run(RequestWorld::WarmUp);
  load.setRate(args["load"].as<double>() * full);
  runFor(seconds(4));
  const auto start = w.now();
  runFor(TimeBeforeWithdrawal);
  const auto withdrawnAt = w.now();
  w.setWithdrawn(leaving, true);
  expectNoPacketsTo(w, leaving, withdrawnAt + PacketGracePeriod);
  runFor(WithdrawnTime / 2);
  turnHostsCold(w, leaving);
  runFor(WithdrawnTime / 2);
  const auto returnedAt = w.now();
  expectNoPacketsTo(w, leaving, std::nullopt);
  w.setWithdrawn(leaving, false);
  runFor(TimeAfterReturn);
  const auto end = w.now();
  load.setRate(0);
  runFor(CompletionTime);

  const auto r = w.report();
  boost::json::object root;
  root["experiment"] = "departure";
  root["deployment"] = deployment;
  root["seed"] = seed;
  root["before"] = toJson(measure(w, start, withdrawnAt, full));
  root["away"] = toJson(measure(w, withdrawnAt, returnedAt, reachable));
  root["after"] = toJson(measure(w, returnedAt, end, full));
  root["packets_after_withdrawal"] = r.PacketsAfterWithdrawal;
  root["worst_second_away"] =
      worstSecond(w, withdrawnAt, returnedAt, reachable);
  root["worst_second_after"] = worstSecond(w, returnedAt, end, reachable);
  root["seconds_to_reachable_capacity"] =
      timeToCapacity(w, withdrawnAt, returnedAt, reachable);
  root["seconds_to_full_capacity"] = timeToCapacity(w, returnedAt, end, full);
  root["cold_over_limit"] = r.ColdOverLimit;
  root["slots_over_limit"] = r.SlotsOverLimit;
  root["runs_over_limit"] = r.RunsOverLimit;
  root["false_refusals"] = r.FalseRefusals;
  root["mixed_answers"] = r.WrongAnswers;
  std::cout << boost::json::serialize(root) << '\n';
  return r.PacketsAfterWithdrawal + r.RunsOverLimit + r.FalseRefusals +
                     r.WrongAnswers + r.SlotsOverLimit ==
                 0
             ? 0
             : 1;
}

} // namespace boragebridge::bench
