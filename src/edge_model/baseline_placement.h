/// \file
/// Simple placement policies to compare Picker with. None of them detects a
/// suspect upstream or limits the flows that a cold upstream gets.
#ifndef BORAGEBRIDGE_EDGE_MODEL_BASELINE_PLACEMENT_H
#define BORAGEBRIDGE_EDGE_MODEL_BASELINE_PLACEMENT_H

#include "edge/placement_policy.h"
#include "edge/upstream_estimates.h"

#include <memory>
#include <string_view>

namespace boragebridge::edge_model {

/// The dependencies of a placement policy. Every reference must outlive the
/// policy.
struct PlacementContext {
  const UpstreamDirectory &Directory;
  UpstreamEstimates &Estimates;
  RandomSource &Random;
};

/// Returns the names that makeBaseline() accepts.
auto baselineNames() -> std::vector<std::string_view>;
/// Makes the baseline policy called \p name. Returns null for an unknown name.
auto makeBaseline(std::string_view name, const PlacementContext &ctx)
    -> std::unique_ptr<PlacementPolicy>;

} // namespace boragebridge::edge_model

#endif
