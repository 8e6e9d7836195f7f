/// \file
/// A generation: the upstreams and weights of one service that a data centre's
/// instances agree to use from some moment on.
#ifndef BORAGEBRIDGE_FLOW_GENERATION_H
#define BORAGEBRIDGE_FLOW_GENERATION_H

#include "flow/slot_table.h"

namespace boragebridge {

/// Names one generation. No two proposals share one, since the proposer's
/// incarnation is part of it. Later ones compare greater.
struct GenerationId {
  Revision Config{};
  std::uint64_t Counter = 0;
  Incarnation Proposer{};
  auto operator<=>(const GenerationId &) const = default;
  /// True for the value that stands for "no generation".
  auto isNone() const -> bool { return Counter == 0; }
};

/// The content of a generation for one service.
struct Generation {
  GenerationId Id;
  std::uint32_t Slots = 0;
  std::vector<WeightedUpstream> Upstreams;
  auto operator==(const Generation &) const -> bool = default;
};

/// What one instance knows of a service, in the form that peers exchange.
struct PlacementState {
  ServiceId Service{};
  std::vector<Generation> Chain;
  GenerationId Active;
  /// For each slot 0, or 1 + the position in Chain that it is settled from.
  /// Empty: 0 for all.
  std::vector<std::uint8_t> SettledFrom;
};

} // namespace boragebridge

#endif
