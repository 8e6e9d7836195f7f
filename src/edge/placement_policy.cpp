#include "edge/placement_policy.h"

namespace boragebridge {

auto toString(PickReason r) -> std::string_view {
  switch (r) {
  case PickReason::Best:
    return "best";
  case PickReason::Cold:
    return "cold";
  case PickReason::Avoided:
    return "avoided";
  case PickReason::Missing:
    return "missing";
  case PickReason::None:
    return "none";
  case PickReason::Full:
    return "full";
  }
  return "unknown";
}

auto chooseService(const RouteRecord &route, RandomSource &random)
    -> std::size_t {
  if (route.Services.size() == 1)
    return 0;
  std::uint64_t total = 0;
  for (const auto &it : route.Services)
    total += it.Weight;
  auto left = total == 0 ? 0 : random.below(total);
  for (std::size_t i = 0; i < route.Services.size(); ++i) {
    if (left < route.Services[i].Weight)
      return i;
    left -= route.Services[i].Weight;
  }
  return 0;
}

} // namespace boragebridge
