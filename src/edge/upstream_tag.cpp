#include "edge/upstream_tag.h"

namespace boragebridge {

/// Number of the lower bits of a tag, which come from the start.
static constexpr unsigned StartBits = 8;

static auto namePartOf(std::uint64_t nameHash) -> std::uint32_t {
  const auto folded = static_cast<std::uint32_t>(nameHash ^ (nameHash >> 32));
  return folded >> StartBits;
}

auto namePartOf(UpstreamTag tag) -> std::uint32_t {
  return static_cast<std::uint32_t>(tag) >> StartBits;
}

auto tagOf(std::string_view name, std::chrono::milliseconds startedAt)
    -> UpstreamTag {
  const auto nameHash = hashName(name);
  const auto startHash =
      hashPair(nameHash, static_cast<std::uint64_t>(startedAt.count()));
  constexpr std::uint32_t StartMask = (1U << StartBits) - 1;
  const auto tag = namePartOf(nameHash) << StartBits |
                   (static_cast<std::uint32_t>(startHash >> 32) & StartMask);
  return UpstreamTag{tag == 0 ? 1 : tag};
}

} // namespace boragebridge
