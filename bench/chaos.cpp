#include "scenario/chaos.h"
#include "experiments.h"

#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <iostream>

namespace boragebridge::bench {

auto runChaos(int argc, char **argv) -> int {
  constexpr std::size_t MaxShrinkRuns = 40;
  cxxopts::Options options(
      "boragebench chaos",
      "Composes random failures and checks all promises after each.");
  options.add_options()("seed", "seed of the run",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "steps", "events that are drawn",
      cxxopts::value<std::size_t>()->default_value("20"))("help", "this text");
  const auto args = options.parse(argc, argv);
  if (args.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  scenario::ChaosOptions opt;
  opt.Seed = args["seed"].as<std::uint64_t>();
  opt.Steps = args["steps"].as<std::size_t>();
  auto r = scenario::playChaos(opt, scenario::generateEvents(opt));
  const auto failed = !r.Violations.empty();
  if (failed) {
    std::cout << "invariant violated: " << r.Violations.front()
              << "; searching for a shorter sequence of events" << std::endl;
    r = scenario::shrinkEvents(opt, r, MaxShrinkRuns);
    std::cout << "events:\n";
    for (const auto &it : r.Events)
      std::cout << "  - " << scenario::toString(it) << std::endl;
  }
  boost::json::array violations;
  for (const auto &it : r.Violations)
    violations.push_back(boost::json::string(it));
  std::cout << boost::json::serialize(
                   boost::json::object{{"experiment", "chaos"},
                                       {"seed", opt.Seed},
                                       {"steps", opt.Steps},
                                       {"events", r.Events.size()},
                                       {"breaches", std::move(violations)},
                                       {"trace", r.Trace}})
            << '\n';
  return failed ? 1 : 0;
}

} // namespace boragebridge::bench
