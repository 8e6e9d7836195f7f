/// \file
/// The entry points of the experiments; see experiment.h for what each does.
#ifndef BORAGEBRIDGE_BENCH_EXPERIMENTS_H
#define BORAGEBRIDGE_BENCH_EXPERIMENTS_H

namespace boragebridge::bench {

auto runDeparture(int argc, char **argv) -> int;
auto runReport(int argc, char **argv) -> int;
auto runRequests(int argc, char **argv) -> int;

} // namespace boragebridge::bench

#endif
