/// \file
/// Derives the speeds of a service's upstreams from the latencies of their
/// answers.
#ifndef BORAGEBRIDGE_HEALTH_SPEED_H
#define BORAGEBRIDGE_HEALTH_SPEED_H

#include <chrono>
#include <cstdint>
#include <vector>

namespace boragebridge {

/// The inputs of one upstream.
struct SpeedSource {
  /// From the configuration, in percent of an ordinary host.
  std::uint32_t ConfiguredPercent = 100;
  /// Mean latency when the upstream is warm; zero if not measured.
  std::chrono::microseconds Latency{};
};

/// Returns the speed of each of \p all, in percent of an ordinary host. The
/// latencies give the ratios between the measured upstreams; the configured
/// speeds of the same upstreams give the scale, so that the scale cannot drift.
/// An upstream that is not measured keeps its configured speed.
auto deriveSpeeds(const std::vector<SpeedSource> &all) -> std::vector<double>;

} // namespace boragebridge

#endif
