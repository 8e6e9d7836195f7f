#include "experiment.h"
#include "experiments.h"

#include <array>
#include <iostream>
#include <string>

namespace boragebridge::bench {

static auto runVersion(int, char **) -> int {
  std::cout << "boragebench " BORAGEBRIDGE_VERSION "\n";
  return 0;
}

static constexpr std::array Experiments{
    Experiment{"load", "callers against running processes", runLoad},
    Experiment{"chaos", "random failures, all promises checked", runChaos},
    Experiment{"imbalance", "use of upstreams of unequal speed", runImbalance},
    Experiment{"edge", "the packet edge under troubles, on a model", runEdge},
    Experiment{"flows", "flows that break through changes and faults",
               runFlows},
    Experiment{"cost", "cost of a decision and of a generation", runCost},
    Experiment{"departure", "a data centre leaves and returns", runDeparture},
    Experiment{"requests", "at most once and goodput under faults",
               runRequests},
    Experiment{"config", "acceptance and spreading of changes under faults",
               runConfig},
    Experiment{"membership", "cost and speed of membership by size",
               runMembership},
    Experiment{"report", "write a page from the outputs of experiments",
               runReport},
    Experiment{"slopes", "growth of heap and processor time", runSlopes},
    Experiment{"--version", "print the version", runVersion},
};

static auto printUsage(std::ostream &out) -> void {
  out << "usage: boragebench EXPERIMENT [OPTIONS]\n\n";
  for (const auto &it : Experiments)
    out << "  " << it.Name << std::string(14 - it.Name.size(), ' ') << it.Help
        << '\n';
  out << "\nEach experiment has --help.\n";
}

static auto run(int argc, char **argv) -> int {
  constexpr int UsageError = 2;
  const std::string_view name = argc > 1 ? argv[1] : "";
  if (name == "--help" || name == "-h") {
    printUsage(std::cout);
    return 0;
  }
  for (const auto &it : Experiments)
    if (it.Name == name)
      return it.Run(argc - 1, argv + 1);
  std::cerr << "boragebench: unknown experiment '" << name << "'\n";
  printUsage(std::cerr);
  return UsageError;
}

} // namespace boragebridge::bench

auto main(int argc, char **argv) -> int {
  return boragebridge::bench::run(argc, argv);
}
