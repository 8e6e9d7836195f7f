/// \file
/// Load generators for the simulated RequestWorld, and figures that several
/// request experiments use. For load on running processes see load_requests.h.
#ifndef BORAGEBRIDGE_BENCH_REQUEST_WORLD_LOAD_H
#define BORAGEBRIDGE_BENCH_REQUEST_WORLD_LOAD_H

#include "fakes/request_world.h"

#include <boost/json.hpp>

namespace boragebridge::bench {

/// Returns the size, service times and loss rates of a deployment: those of
/// "alliance" when \p name is "alliance", else those of "cenacolo".
auto deploymentOptions(const std::string &name, std::uint64_t seed)
    -> fakes::RequestWorldOptions;

/// An open-loop load generator: submits requests to one service at a mean rate
/// with exponentially distributed gaps, whether or not earlier ones have ended,
/// each from a random caller. Uses the callers [firstCaller, firstCaller +
/// callers) of the world.
class OpenLoad {
public:
  OpenLoad(fakes::RequestWorld &world, ServiceId s, std::size_t firstCaller,
           std::size_t callers, std::uint64_t seed);
  /// Sets the rate in requests per second; 0 stops the load.
  auto setRate(double perSecond) -> void;
  /// Submits the requests that are due by now.
  auto tick() -> void;
  /// Returns the indices in RequestWorld::requests() of the requests submitted
  /// so far.
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

/// A closed-loop load generator: submits a new request whenever fewer than the
/// set number are in progress.
class ClosedLoad {
public:
  ClosedLoad(fakes::RequestWorld &world, ServiceId s, std::size_t firstCaller,
             std::size_t callers);
  /// Sets the number of requests to keep in progress; 0 stops the load.
  auto setInProgress(std::size_t n) -> void { Target = n; }
  /// Replaces the requests that have ended.
  auto tick() -> void;

private:
  fakes::RequestWorld &World;
  ServiceId Service;
  std::size_t FirstCaller;
  std::size_t Callers;
  std::size_t Target = 0;
  std::vector<std::uint64_t> InProgress;
};

/// Returns the requests of \p s answered in [from, to), per second.
auto answeredPerSecond(const fakes::RequestWorld &w, ServiceId s,
                       TimePoint from, TimePoint to) -> double;
/// Returns the quantile \p q of the latencies, in milliseconds, of the requests
/// that were submitted in [from, to) and answered; 0 when there are none.
auto latencyQuantile(const fakes::RequestWorld &w, TimePoint from, TimePoint to,
                     double q) -> double;

} // namespace boragebridge::bench

#endif
