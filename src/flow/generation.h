/// \file
/// A generation: the upstreams and weights of one service that the instances of
/// a data centre agree to use from its activation on.
#ifndef BORAGEBRIDGE_FLOW_GENERATION_H
#define BORAGEBRIDGE_FLOW_GENERATION_H

#include "flow/slot_table.h"

namespace boragebridge {

/// Identifies a generation. Unique for each proposal, since the proposer's
/// incarnation is part of it. Later generations compare greater.
struct GenerationId {
  Revision Config{};
  std::uint64_t Counter = 0;
  Incarnation Proposer{};
  auto operator<=>(const GenerationId &) const = default;
  /// True for the value that means "no generation".
  auto isNone() const -> bool { return Counter == 0; }
};

/// The content of a generation for one service.
struct Generation {
  GenerationId Id;
  std::uint32_t Slots = 0;
  std::vector<WeightedUpstream> Upstreams;
  auto operator==(const Generation &) const -> bool = default;
};

/// The placement of a service as one instance has it, in the form that peers
/// exchange.
struct PlacementState {
  ServiceId Service{};
  /// The generations kept for the service, oldest first.
  std::vector<Generation> Chain;
  GenerationId Active;
  /// For each slot, 0 or 1 + the position in Chain of the generation that the
  /// slot is settled from. Empty when it is 0 for all slots.
  std::vector<std::uint8_t> SettledFrom;
};

} // namespace boragebridge

#endif
