#include "edge/upstream_tag.h"

namespace boragebridge {

auto tagOf(std::string_view name, std::chrono::milliseconds startedAt)
    -> UpstreamTag {
  const auto hash =
      hashPair(hashName(name), static_cast<std::uint64_t>(startedAt.count()));
  const auto folded = static_cast<std::uint32_t>(hash ^ (hash >> 32));
  return UpstreamTag{folded == 0 ? 1 : folded};
}

} // namespace boragebridge
