/// \file
/// Simple ways to place new flows, to compare Picker with in one run: none of
/// them suspects an upstream or spares a cold one.
#ifndef BORAGEBRIDGE_EDGE_MODEL_BASELINE_PLACEMENT_H
#define BORAGEBRIDGE_EDGE_MODEL_BASELINE_PLACEMENT_H

#include "edge/placement_policy.h"
#include "edge/upstream_estimates.h"

#include <memory>
#include <string_view>

namespace boragebridge::edge_model {

/// What a placement works with. Every reference outlives it.
struct PlacementContext {
  const UpstreamDirectory &Directory;
  UpstreamEstimates &Estimates;
  RandomSource &Random;
};

auto baselineNames() -> std::vector<std::string_view>;
/// The baseline called \p name; null for a name that is none of these.
auto makeBaseline(std::string_view name, const PlacementContext &ctx)
    -> std::unique_ptr<PlacementPolicy>;

} // namespace boragebridge::edge_model

#endif
