/// \file
/// Assigns the slots of a service to its upstreams by weighted rendezvous
/// hashing with an exact share of slots for each upstream. The functions are
/// pure and use integer and exact IEEE arithmetic, so that all instances
/// compute the same table.
#ifndef BORAGEBRIDGE_FLOW_SLOT_TABLE_H
#define BORAGEBRIDGE_FLOW_SLOT_TABLE_H

#include "boragebridge/types.h"

namespace boragebridge {

/// An upstream and its share of new flows relative to the others.
struct WeightedUpstream {
  UpstreamId Id{};
  std::uint16_t Weight = 1;
  auto operator==(const WeightedUpstream &) const -> bool = default;
};

/// Position of an upstream in the vector that a table was built from.
using UpstreamPosition = std::uint16_t;

/// The number of slots of a service whose first generation has \p upstreams
/// upstreams: a power of two. The number stays the same in later generations.
auto slotCountFor(std::size_t upstreams) -> std::uint32_t;

/// -log2((h + 1) / 2^64) in fixed point with 24 fractional bits; at least 1.
auto negativeLog2(std::uint64_t h) -> std::uint64_t;

/// The number of slots that each of \p all gets: \p slots in proportion to the
/// weights, rounded by the largest remainder method.
auto slotQuotas(std::span<const WeightedUpstream> all, std::uint32_t slots)
    -> std::vector<std::uint32_t>;

/// The index into \p all for each slot of \p service. Each upstream gets
/// exactly its quota: a slot whose best upstream is full goes to its next best
/// one, so that a change moves few more slots than necessary. Empty when \p all
/// is empty. Preconditions: identifiers in \p all differ, weights are above 0,
/// and there are fewer than 2^15 upstreams.
auto buildSlotTable(ServiceId service, std::span<const WeightedUpstream> all,
                    std::uint32_t slots) -> std::vector<UpstreamPosition>;

} // namespace boragebridge

#endif
