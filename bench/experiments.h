/// \file
/// The entry points of the experiments; see Experiment::Run in experiment.h for
/// their arguments and exit status, and main.cpp for what each measures.
#ifndef BORAGEBRIDGE_BENCH_EXPERIMENTS_H
#define BORAGEBRIDGE_BENCH_EXPERIMENTS_H

namespace boragebridge::bench {

auto runChaos(int argc, char **argv) -> int;
auto runConfig(int argc, char **argv) -> int;
auto runCost(int argc, char **argv) -> int;
auto runDeparture(int argc, char **argv) -> int;
auto runEdge(int argc, char **argv) -> int;
auto runFlows(int argc, char **argv) -> int;
auto runImbalance(int argc, char **argv) -> int;
auto runLoad(int argc, char **argv) -> int;
auto runMembership(int argc, char **argv) -> int;
auto runReport(int argc, char **argv) -> int;
auto runRequests(int argc, char **argv) -> int;
auto runSlopes(int argc, char **argv) -> int;

} // namespace boragebridge::bench

#endif
