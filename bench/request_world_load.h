/// \file
/// Load on a RequestWorld and the figures that the request experiments share.
#ifndef BORAGEBRIDGE_BENCH_REQUEST_WORLD_LOAD_H
#define BORAGEBRIDGE_BENCH_REQUEST_WORLD_LOAD_H

#include "fakes/request_world.h"

#include <boost/json.hpp>

namespace boragebridge::bench {

/// The sizes of one user of the system.
auto deploymentOptions(const std::string &name, std::uint64_t seed)
    -> fakes::RequestWorldOptions;

/// Submits requests of one service at a mean rate, spread over the callers.
class OpenLoad {
public:
  OpenLoad(fakes::RequestWorld &world, ServiceId s, std::size_t firstCaller,
           std::size_t callers, std::uint64_t seed);
  /// Requests a second; 0 stops it.
  auto setRate(double perSecond) -> void;
  /// Submits what is due by now.
  auto tick() -> void;
  /// Identifiers of the requests submitted so far.
  auto submitted() const -> const std::vector<std::uint64_t> & {
    return Submitted;
  }

private:
  fakes::RequestWorld &World;
  ServiceId Service;
  std::size_t FirstCaller;
  std::size_t Callers;
  SeededRandom Random;
  double Rate = 0;
  TimePoint NextSubmission;
  std::vector<std::uint64_t> Submitted;
};

/// Keeps a number of requests in progress at all times.
class ClosedLoad {
public:
  ClosedLoad(fakes::RequestWorld &world, ServiceId s, std::size_t firstCaller,
             std::size_t callers);
  auto setInProgress(std::size_t n) -> void { Target = n; }
  auto tick() -> void;

private:
  fakes::RequestWorld &World;
  ServiceId Service;
  std::size_t FirstCaller;
  std::size_t Callers;
  std::size_t Target = 0;
  std::vector<std::uint64_t> InProgress;
};

/// Answers between two times, in requests a second.
auto answeredPerSecond(const fakes::RequestWorld &w, ServiceId s,
                       TimePoint from, TimePoint to) -> double;
/// Latencies in milliseconds of requests that were submitted in [from, to) and
/// answered: quantile \p q; 0 when there are none.
auto latencyQuantile(const fakes::RequestWorld &w, TimePoint from, TimePoint to,
                     double q) -> double;

} // namespace boragebridge::bench

#endif
