/// \file
/// The interface of the experiments of boragebench. Each experiment has a
/// source file of its own, parses its own arguments with cxxopts, prints
/// progress and tables, and ends with one line of JSON. The same seed gives the
/// same figures, except those measured on the wall clock or in processor time.
#ifndef BORAGEBRIDGE_BENCH_EXPERIMENT_H
#define BORAGEBRIDGE_BENCH_EXPERIMENT_H

#include <string_view>

namespace boragebridge::bench {

/// One subcommand of boragebench.
struct Experiment {
  std::string_view Name;
  std::string_view Help;
  /// Runs the experiment. argv[0] is the subcommand's name, argv[1] the first
  /// argument after it. Returns the exit status of the process: 0 when every
  /// target that the experiment checks was met.
  int (*Run)(int argc, char **argv);
};

} // namespace boragebridge::bench

#endif
