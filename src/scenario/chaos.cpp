#include "scenario/chaos.h"

#include <array>

namespace boragebridge::scenario {

namespace {

/// The verbs that begin and end a fault. Both get the same argument. An empty
/// End: the fault ends by itself.
struct Fault {
  std::string_view Begin;
  std::string_view End;
};

constexpr std::array Faults{Fault{"kill", "join"},
                            Fault{"pause", "resume"},
                            Fault{"leave", "join"},
                            Fault{"die", "revive"},
                            Fault{"cold", ""},
                            Fault{"shed", "accept"},
                            Fault{"crossed", "prompt"},
                            Fault{"late", "prompt"},
                            Fault{"doubled", "prompt"},
                            Fault{"drain", "activate"},
                            Fault{"withdraw", "return"},
                            Fault{"partition", "heal"},
                            Fault{"platform", "platform"}};

auto chaosTopology(const ChaosOptions &opt) -> Topology {
  Topology t;
  t.Seed = opt.Seed;
  return t;
}

/// Generates the events of one run.
class EventGenerator {
public:
  explicit EventGenerator(const ChaosOptions &opt)
      : Options(opt), InitialTopology(chaosTopology(opt)), Random(opt.Seed) {}

  auto generate() -> std::vector<Event> {
    for (std::size_t n = 0; n < Options.Steps; ++n) {
      At += Random.jitter(Options.MeanInterval);
      addStep();
    }
    while (!ActiveFaults.empty()) {
      At += Random.jitter(Options.MeanInterval);
      end(ActiveFaults.begin()->first);
    }
    return std::move(Events);
  }

private:
  auto addStep() -> void {
    const auto n = Random.below(Faults.size());
    if (ActiveFaults.contains(n))
      return end(n);
    const auto &fault = Faults.at(n);
    const auto *verb = findVerb(fault.Begin);
    const auto argument = draw(verb->Argument);
    // An instance or upstream has at most one fault at a time.
    for (const auto &[other, activeArgument] : ActiveFaults)
      if (activeArgument == argument)
        return;
    Events.push_back({At, verb, argument});
    if (!fault.End.empty())
      ActiveFaults[n] = argument;
  }

  auto end(std::size_t n) -> void {
    const auto *verb = findVerb(Faults.at(n).End);
    auto argument = ActiveFaults.at(n);
    if (verb->Argument == ArgumentKind::NewInstance)
      argument += "@" + argument.substr(0, argument.rfind('-'));
    if (verb->Argument == ArgumentKind::PlatformState)
      argument = "up";
    Events.push_back({At, verb, argument});
    ActiveFaults.erase(n);
  }

  auto pick(const std::vector<std::string> &all) -> std::string {
    return all[Random.below(all.size())];
  }

  auto draw(ArgumentKind kind) -> std::string {
    switch (kind) {
    case ArgumentKind::Upstream:
      return pick(upstreamsOf(InitialTopology));
    case ArgumentKind::DataCentre:
      return pick(InitialTopology.DataCentres);
    case ArgumentKind::DataCentrePair:
      return InitialTopology.DataCentres[0] + "/" +
             InitialTopology.DataCentres[1];
    case ArgumentKind::PlatformState:
      return pick({"down", "slow", "losing"});
    case ArgumentKind::Instance:
    case ArgumentKind::NewInstance:
      break;
    }
    return pick(instancesOf(InitialTopology));
  }

  const ChaosOptions &Options;
  Topology InitialTopology;
  SeededRandom Random;
  Duration At{};
  std::map<std::size_t, std::string> ActiveFaults;
  std::vector<Event> Events;
};

auto traceOf(SystemWorld &world) -> std::string {
  std::string trace;
  for (const auto &it : allMeasures())
    trace += std::string(it.Name) + "=" +
             std::to_string(static_cast<std::uint64_t>(it.Read(world))) + " ";
  return trace;
}

} // namespace

auto generateEvents(const ChaosOptions &opt) -> std::vector<Event> {
  return EventGenerator(opt).generate();
}

auto playChaos(const ChaosOptions &opt, const std::vector<Event> &events)
    -> ChaosResult {
  constexpr Duration EndTime = std::chrono::seconds(10);
  ChaosResult r;
  r.Events = events;
  SystemWorld world(chaosTopology(opt));
  world.setLoad(opt.Traffic);
  world.settle();
  const auto begin = world.now();
  for (const auto &it : events) {
    world.run(begin + it.At - world.now());
    r.Violations = findViolations(world);
    if (!r.Violations.empty())
      break;
    it.Action->Act(world, it.Argument);
    ++r.EventsPlayed;
  }
  if (r.Violations.empty()) {
    world.run(EndTime);
    r.Violations = findViolations(world);
  }
  r.Trace = traceOf(world);
  return r;
}

auto shrinkEvents(const ChaosOptions &opt, const ChaosResult &failed,
                  std::size_t tries) -> ChaosResult {
  auto best = failed;
  best.Events.resize(best.EventsPlayed);
  const auto invariant =
      best.Violations.front().substr(0, best.Violations.front().find(':'));
  for (std::size_t at = best.Events.size(); at-- > 0 && tries > 0; --tries) {
    auto fewer = best.Events;
    fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(at));
    auto r = playChaos(opt, fewer);
    if (r.Violations.empty() ||
        !r.Violations.front().starts_with(invariant + ":"))
      continue;
    r.Events.resize(r.EventsPlayed);
    at = std::min(at, r.Events.size());
    best = std::move(r);
  }
  return best;
}

} // namespace boragebridge::scenario
