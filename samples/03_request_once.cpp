// Shows that a request that must not be repeated runs at most once, although
// its caller retries and the instance that holds its ledger is killed. Runs on
// a manual clock.
#include "fakes/request_world.h"

#include <iostream>

using namespace boragebridge;

static auto nameOf(OutcomeKind k) -> const char * {
  switch (k) {
  case OutcomeKind::Answered:
    return "answered";
  case OutcomeKind::RefusedNotRun:
    return "refused, not run";
  case OutcomeKind::Unknown:
    return "unknown";
  case OutcomeKind::AlreadyRun:
    return "already run";
  }
  return "";
}

auto main() -> int {
  fakes::RequestWorldOptions options;
  options.Seed = 3;
  options.CallerLoss = 0.2;
  fakes::RequestWorld world(options);
  world.run(fakes::RequestWorld::WarmUp);

  RequestSpec spec;
  spec.Service = fakes::RequestWorld::booking();
  spec.Deadline = std::chrono::seconds(5);
  for (std::size_t caller = 0; caller < 4; ++caller)
    world.submit(caller, spec);
  world.run(std::chrono::milliseconds(60));
  std::cout << "killing " << world.instanceNames().front() << '\n';
  world.kill(world.instanceNames().front());
  world.run(std::chrono::seconds(8));

  for (const auto &it : world.requests())
    std::cout << nameOf(it.Kind) << ", ran " << it.Runs << " time(s)\n";
  const auto report = world.report();
  std::cout << report.RunsOverLimit << " ran twice, " << report.FalseRefusals
            << " false refusals\n";
  return report.RunsOverLimit + report.FalseRefusals == 0 ? 0 : 1;
}
