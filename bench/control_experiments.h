/// \file
/// Entry points of the control plane's experiments.
#ifndef BORAGEBRIDGE_BENCH_CONTROL_EXPERIMENTS_H
#define BORAGEBRIDGE_BENCH_CONTROL_EXPERIMENTS_H

namespace boragebridge::bench {

auto runMembership(int argc, char **argv) -> int;
auto runConfig(int argc, char **argv) -> int;

} // namespace boragebridge::bench

#endif
