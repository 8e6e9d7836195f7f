// Shows how flows are placed: the slots of a service are assigned to its
// upstreams in proportion to their weights, and a change of one weight moves
// few more slots than necessary.
#include "flow/slot_table.h"

#include <algorithm>
#include <iostream>

using namespace boragebridge;

static auto countOf(const std::vector<UpstreamPosition> &table,
                    UpstreamPosition n) -> std::ptrdiff_t {
  return std::count(table.begin(), table.end(), n);
}

auto main() -> int {
  const auto service = idFromName<ServiceId>("booking");
  std::vector<WeightedUpstream> upstreams;
  for (const auto *name : {"fast", "ordinary", "slow"})
    upstreams.push_back({idFromName<UpstreamId>(name), 100});
  upstreams[0].Weight = 200;
  upstreams[2].Weight = 50;

  const auto slots = slotCountFor(upstreams.size());
  const auto before = buildSlotTable(service, upstreams, slots);
  upstreams[2].Weight = 100;
  const auto after = buildSlotTable(service, upstreams, slots);

  std::uint32_t moved = 0;
  for (std::uint32_t i = 0; i < slots; ++i)
    moved += before[i] != after[i] ? 1 : 0;
  for (UpstreamPosition n = 0; n < 3; ++n)
    std::cout << "upstream " << n << ": " << countOf(before, n) << " slots, "
              << countOf(after, n) << " after the change\n";
  const auto gained = countOf(after, 2) - countOf(before, 2);
  std::cout << moved << " of " << slots << " slots moved, " << gained
            << " had to\n";
  return 0;
}
