/// \file
/// The upstream of each slot of a service: weighted rendezvous hashing with an
/// exact share of slots for each upstream. A pure function of its input, in
/// integer and exact IEEE arithmetic, so that all instances get one table.
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
using UpstreamIndex = std::uint16_t;

/// Slots of a service whose first generation has \p upstreams upstreams; a
/// power of two that stays with the service.
auto slotCountFor(std::size_t upstreams) -> std::uint32_t;

/// -log2((h + 1) / 2^64) in fixed point with 24 fractional bits; at least 1.
auto negativeLog2(std::uint64_t h) -> std::uint64_t;

/// The slots that each of \p all is to hold: the shares of \p slots in
/// proportion to the weights, rounded by largest remainder.
auto slotQuotas(std::span<const WeightedUpstream> all, std::uint32_t slots)
    -> std::vector<std::uint32_t>;

/// The index into \p all for each slot of \p service. Each upstream gets
/// exactly its quota: a slot that its best upstream has no room for goes to
/// its next best, so a change moves little more than it must. Empty when
/// \p all is empty. Precondition: identifiers in \p all differ, weights are
/// above 0, and there are fewer than 2^15.
auto buildSlotTable(ServiceId service, std::span<const WeightedUpstream> all,
                    std::uint32_t slots) -> std::vector<UpstreamIndex>;

} // namespace boragebridge

#endif
