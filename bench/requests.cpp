#include "blind_forwarder.h"
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

constexpr Duration SteadyTime = seconds(4);
constexpr Duration FaultTime = seconds(12);
constexpr Duration RecoveryTime = seconds(10);
constexpr Duration CompletionTime = seconds(6);
constexpr Duration LoadStep = milliseconds(5);
/// Load of the steady callers, which submit before, during and after the
/// faults, as a share of the capacity.
constexpr double BaseLoad = 0.6;
/// Requests per slot that the storm callers keep in progress. In the storm
/// scenario, all callers ignore the retry-after hint and retransmit every 20
/// ms.
constexpr double StormPerSlot = 4;
constexpr std::size_t SteadyCallers = 40;
constexpr std::size_t StormCallers = 40;

/// Injects the faults of one scenario at random times and ends each after a
/// random time.
class FaultInjector {
public:
  FaultInjector(RequestWorld &world, std::string scenario, std::uint64_t seed)
      : World(world), Scenario(std::move(scenario)), Random(seed),
        NextFault(world.now()) {}

  auto tick() -> void {
    runScheduled();
    if (World.now() < NextFault)
      return;
    NextFault = World.now() + Random.jitter(seconds(3));
    inject(Scenario);
  }

  /// Ends all faults immediately and injects no more.
  auto endAll() -> void {
    NextFault = TimePoint::max();
    while (!Scheduled.empty()) {
      auto f = std::move(Scheduled.begin()->second);
      Scheduled.erase(Scheduled.begin());
      f();
    }
  }

private:
  auto inject(const std::string &kind) -> void {
    static const std::map<std::string_view, void (FaultInjector::*)()> kinds{
        {"kill", &FaultInjector::kill},
        {"pause", &FaultInjector::pause},
        {"partition", &FaultInjector::partition},
        {"stop", &FaultInjector::stop},
        {"host", &FaultInjector::failHost},
        {"mixed", &FaultInjector::injectRandomFault},
    };
    auto it = kinds.find(kind);
    if (it != kinds.end())
      (this->*it->second)();
  }

  auto injectRandomFault() -> void {
    static constexpr std::array<const char *, 5> Kinds{
        "kill", "pause", "partition", "stop", "host"};
    inject(Kinds[Random.below(Kinds.size())]);
  }

  auto kill() -> void {
    const auto name = pickInstance();
    if (name.empty())
      return;
    World.kill(name);
    schedule(Random.jitter(seconds(2)), [this, name] { World.restart(name); });
  }

  auto pause() -> void {
    const auto name = pickInstance();
    if (name.empty())
      return;
    World.setPaused(name, true);
    schedule(Random.jitter(seconds(4)), [this, name] {
      if (World.fleet().isRunning(name))
        World.setPaused(name, false);
    });
  }

  auto partition() -> void {
    const auto &all = World.configuration().DataCentres;
    const auto isolated = all[Random.below(all.size())].Name;
    for (const auto &dc : all)
      if (dc.Name != isolated)
        World.setCut(isolated, dc.Name, true);
    schedule(Random.jitter(seconds(5)), [this, isolated] {
      for (const auto &dc : World.configuration().DataCentres)
        if (dc.Name != isolated)
          World.setCut(isolated, dc.Name, false);
    });
  }

  /// Stops an instance as planned; it restarts as a new incarnation.
  auto stop() -> void {
    const auto name = pickInstance();
    if (name.empty())
      return;
    World.beginStop(name);
    waitForStop(name);
  }

  auto waitForStop(const std::string &name) -> void {
    schedule(milliseconds(200), [this, name] {
      if (World.fleet().isRunning(name) && NextFault != TimePoint::max())
        waitForStop(name);
      else if (!World.fleet().isRunning(name))
        World.restart(name);
    });
  }

  auto failHost() -> void {
    const auto n = Random.below(World.hostCount());
    auto &host = World.host(n);
    if (Random.below(2) == 0) {
      host.turnCold(World.now());
      return;
    }
    host.kill(World.now());
    schedule(Random.jitter(seconds(3)),
             [this, n] { World.host(n).restart(World.now()); });
  }

  /// Returns a random usable instance, or an empty name when fewer than three
  /// are usable.
  auto pickInstance() -> std::string {
    std::vector<std::string> usable;
    for (const auto &name : World.instanceNames())
      if (World.isUsable(name))
        usable.push_back(name);
    if (usable.size() < 3)
      return {};
    return usable[Random.below(usable.size())];
  }

  auto schedule(Duration d, std::function<void()> f) -> void {
    Scheduled.emplace(World.now() + d, std::move(f));
  }

  auto runScheduled() -> void {
    while (!Scheduled.empty() && Scheduled.begin()->first <= World.now()) {
      auto f = std::move(Scheduled.begin()->second);
      Scheduled.erase(Scheduled.begin());
      f();
    }
  }

  RequestWorld &World;
  std::string Scenario;
  SeededRandom Random;
  TimePoint NextFault;
  std::multimap<TimePoint, std::function<void()>> Scheduled;
};

/// The figures of one run. Goodput, the offered load, the upload share and the
/// latency quantiles cover the time of the faults, RecoverySeconds the time
/// after it, the rest the whole run.
struct RequestFigures {
  fakes::WorldReport Report;
  double Goodput = 0;
  double UploadAnsweredShare = 0;
  double OfferedOverCapacity = 0;
  double InternalRetryShare = 0;
  double RecoverySeconds = 0;
  double P50 = 0;
  double P99 = 0;
  double P999 = 0;
  /// Requests with outcome unknown that did run.
  std::uint64_t UnknownThatRan = 0;
};

/// Returns the seconds from \p from to the end of the last second with less
/// than 95% of its requests out of \p ids answered; 0 when there is none.
auto findRecovery(const RequestWorld &w, const std::vector<std::uint64_t> &ids,
                  TimePoint from, TimePoint to) -> double {
  constexpr double MinAnsweredShare = 0.95;
  double recovered = 0;
  for (auto at = from; at + seconds(1) <= to; at += seconds(1)) {
    std::size_t submitted = 0;
    std::size_t answered = 0;
    for (auto id : ids) {
      const auto &r = w.requests()[id];
      if (r.Submitted < at || r.Submitted >= at + seconds(1))
        continue;
      ++submitted;
      answered += r.Kind == OutcomeKind::Answered && r.IsEnded ? 1 : 0;
    }
    if (static_cast<double>(answered) <
        MinAnsweredShare * static_cast<double>(submitted))
      recovered = std::chrono::duration<double>(at + seconds(1) - from).count();
  }
  return recovered;
}

/// Returns the share of the requests \p ids submitted in [from, to) that were
/// answered; 1 when none was submitted.
auto answeredShare(const RequestWorld &w, const std::vector<std::uint64_t> &ids,
                   TimePoint from, TimePoint to) -> double {
  double submitted = 0;
  double answered = 0;
  for (auto id : ids) {
    const auto &r = w.requests()[id];
    if (r.Submitted < from || r.Submitted >= to)
      continue;
    ++submitted;
    answered += r.Kind == OutcomeKind::Answered && r.IsEnded ? 1 : 0;
  }
  return submitted == 0 ? 1 : answered / submitted;
}

auto runScenario(const std::string &scenario, std::uint64_t seed,
                 bool isBaseline) -> RequestFigures {
  auto opt = deploymentOptions("cenacolo", seed);
  opt.Callers = SteadyCallers + StormCallers;
  const auto isStorm = scenario == "storm";
  if (isStorm) {
    opt.CallerOptions.HonourRetryAfter = false;
    opt.CallerOptions.Retransmit = milliseconds(20);
    opt.CallerOptions.RetransmitMax = milliseconds(20);
  }
  if (isBaseline)
    opt.MakeControllers = makeBlindForwarder;
  RequestWorld w(opt);
  const auto booking = RequestWorld::booking();
  const auto uploads = RequestWorld::uploads();
  OpenLoad steady(w, booking, 0, SteadyCallers, seed + 1);
  OpenLoad upload(w, uploads, 0, SteadyCallers, seed + 2);
  ClosedLoad storm(w, booking, SteadyCallers, StormCallers);
  auto runFor = [&](Duration d, auto onStep) {
    const auto end = w.now() + d;
    while (w.now() < end) {
      onStep();
      steady.tick();
      upload.tick();
      storm.tick();
      w.run(LoadStep);
    }
  };
  auto nothing = [] {};
  w.run(RequestWorld::WarmUp);
  steady.setRate(BaseLoad * w.capacity(booking));
  upload.setRate(BaseLoad * w.capacity(uploads));
  runFor(SteadyTime, nothing);

  const auto faultsFrom = w.now();
  const auto packetsBefore = w.counter("request_packets_total");
  // A booking occupies a slot for 0.2 s (see deploymentOptions()), so this is
  // the number of booking slots.
  const auto slots = w.capacity(booking) * 0.2;
  if (isStorm)
    storm.setInProgress(static_cast<std::size_t>(slots * StormPerSlot));
  FaultInjector faults(w, scenario, seed + 3);
  runFor(FaultTime, [&] { faults.tick(); });
  const auto faultsTo = w.now();
  const auto offered = w.counter("request_packets_total") - packetsBefore;
  storm.setInProgress(0);
  faults.endAll();
  runFor(RecoveryTime, nothing);
  const auto recoveryTo = w.now();
  steady.setRate(0);
  upload.setRate(0);
  runFor(CompletionTime, nothing);

  RequestFigures f;
  f.Report = w.report();
  const auto time = std::chrono::duration<double>(FaultTime).count();
  const auto capacity = w.capacity(booking);
  f.Goodput = answeredPerSecond(w, booking, faultsFrom, faultsTo) / capacity;
  f.OfferedOverCapacity = static_cast<double>(offered) / time / capacity;
  f.UploadAnsweredShare =
      answeredShare(w, upload.submitted(), faultsFrom, faultsTo);
  const auto executes = w.counter("request_executes_total");
  f.InternalRetryShare =
      static_cast<double>(w.counter("request_own_retries_total")) /
      static_cast<double>(std::max<std::uint64_t>(1, executes));
  f.RecoverySeconds = findRecovery(w, steady.submitted(), faultsTo, recoveryTo);
  f.P50 = latencyQuantile(w, faultsFrom, faultsTo, 0.5);
  f.P99 = latencyQuantile(w, faultsFrom, faultsTo, 0.99);
  f.P999 = latencyQuantile(w, faultsFrom, faultsTo, 0.999);
  for (const auto &r : w.requests())
    f.UnknownThatRan +=
        r.IsEnded && r.Kind == OutcomeKind::Unknown && r.Runs > 0 ? 1 : 0;
  return f;
}

auto toJson(const RequestFigures &f) -> boost::json::object {
  return {{"runs_over_limit", f.Report.RunsOverLimit},
          {"false_refusals", f.Report.FalseRefusals},
          {"mixed_answers", f.Report.WrongAnswers},
          {"slots_over_limit", f.Report.SlotsOverLimit},
          {"cold_over_limit", f.Report.ColdOverLimit},
          {"submitted", f.Report.Submitted},
          {"answered", f.Report.Answered},
          {"refused", f.Report.Refused},
          {"unknown", f.Report.Unknown},
          {"unknown_that_ran", f.UnknownThatRan},
          {"already_run", f.Report.AlreadyRun},
          {"offered_over_capacity", f.OfferedOverCapacity},
          {"goodput_over_capacity", f.Goodput},
          {"upload_answered_share", f.UploadAnsweredShare},
          {"own_retry_share", f.InternalRetryShare},
          {"recovery_seconds", f.RecoverySeconds},
          {"latency_p50_ms", f.P50},
          {"latency_p99_ms", f.P99},
          {"latency_p999_ms", f.P999}};
}

} // namespace

auto runRequests(int argc, char **argv) -> int {
  cxxopts::Options options("boragebench requests",
                           "At most once, refusals and goodput under faults");
  options.add_options()("seed", "Seed of the run",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "scenario", "storm, kill, pause, partition, stop or mixed",
      cxxopts::value<std::string>()->default_value("mixed"))(
      "no-baseline",
      "Leave out the blindly forwarding baseline")("help", "Show the options");
  const auto args = options.parse(argc, argv);
  if (args.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  const auto scenario = args["scenario"].as<std::string>();
  const auto seed = args["seed"].as<std::uint64_t>();
  const auto f = runScenario(scenario, seed, false);
  auto root = toJson(f);
  root["experiment"] = "requests";
  root["scenario"] = scenario;
  root["seed"] = seed;
  if (args.count("no-baseline") == 0)
    root["baseline"] = toJson(runScenario(scenario, seed, true));
  std::cout << boost::json::serialize(root) << '\n';
  const auto &r = f.Report;
  return r.RunsOverLimit + r.FalseRefusals + r.WrongAnswers +
                     r.SlotsOverLimit ==
                 0
             ? 0
             : 1;
}

} // namespace boragebridge::bench
