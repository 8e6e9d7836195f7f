#include "edge/flow_cache.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace boragebridge {

FlowCache::FlowCache(std::size_t flows)
    : Entries(std::max(std::bit_ceil(flows), Ways)),
      Mask(Entries.size() / Ways - 1) {}

auto FlowCache::bucketOf(const FlowKey &key) -> FlowEntry * {
  return &Entries[(hashFlow(key) & Mask) * Ways];
}

auto FlowCache::find(const FlowKey &key) -> FlowEntry * {
  auto *bucket = bucketOf(key);
  for (std::size_t i = 0; i < Ways; ++i)
    if (bucket[i].Used && bucket[i].Flow == key)
      return &bucket[i];
  return nullptr;
}

auto FlowCache::insert(const FlowKey &key, TimePoint now) -> FlowEntry & {
  auto *entry = find(key);
  if (entry == nullptr) {
    auto *bucket = bucketOf(key);
    entry = std::min_element(
        bucket, bucket + Ways, [](const FlowEntry &a, const FlowEntry &b) {
          return std::tie(a.Used, a.SeenAt) < std::tie(b.Used, b.SeenAt);
        });
  }
  *entry = FlowEntry{};
  entry->Flow = key;
  entry->Used = true;
  entry->OpenedAt = now;
  entry->SeenAt = now;
  return *entry;
}

} // namespace boragebridge
