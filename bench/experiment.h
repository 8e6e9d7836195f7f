/// \file
/// The experiments of boragebench. Each lives in its own file, parses its own
/// arguments with cxxopts, prints progress and tables, and ends with one line
/// of JSON. The same seed gives the same figures (wall-clock ones aside).
#ifndef BORAGEBRIDGE_BENCH_EXPERIMENT_H
#define BORAGEBRIDGE_BENCH_EXPERIMENT_H

#include <string_view>

namespace boragebridge::bench {

/// One subcommand of boragebench.
struct Experiment {
  std::string_view Name;
  std::string_view Help;
  /// Gets the arguments after the subcommand's name in argv[1] on. Returns the
  /// exit status: 0 when every target it checks was met.
  int (*Run)(int argc, char **argv);
};

} // namespace boragebridge::bench

#endif
