/// \file
/// Speeds of a service's upstreams from the latencies of their answers.
#ifndef BORAGEBRIDGE_HEALTH_SPEED_H
#define BORAGEBRIDGE_HEALTH_SPEED_H

#include <chrono>
#include <cstdint>
#include <vector>

namespace boragebridge {

/// What is known of one upstream.
struct SpeedSource {
  /// From the configuration, in percent of an ordinary host.
  std::uint32_t ConfiguredPercent = 100;
  /// Mean latency when warm; zero: not measured.
  std::chrono::microseconds Latency{};
};

/// The speed of each of \p all, in percent of an ordinary host. Latencies give
/// the ratios between the measured ones; the configured speeds of those give
/// the scale, so that it cannot drift. One that is not measured keeps its
/// configured speed.
auto deriveSpeeds(const std::vector<SpeedSource> &all) -> std::vector<double>;

} // namespace boragebridge

#endif
