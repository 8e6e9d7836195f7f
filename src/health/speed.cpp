#include "health/speed.h"

#include <cmath>

namespace boragebridge {

auto deriveSpeeds(const std::vector<SpeedSource> &all) -> std::vector<double> {
  double configured = 0;
  double rates = 0;
  for (const auto &it : all) {
    if (it.Latency.count() <= 0)
      continue;
    configured += it.ConfiguredPercent;
    rates += 1.0 / static_cast<double>(it.Latency.count());
  }
  std::vector<double> speeds;
  speeds.reserve(all.size());
  for (const auto &it : all) {
    if (it.Latency.count() <= 0) {
      speeds.push_back(it.ConfiguredPercent);
      continue;
    }
    const auto latency = static_cast<double>(it.Latency.count());
    speeds.push_back(std::round(configured / rates / latency));
  }
  return speeds;
}

} // namespace boragebridge
