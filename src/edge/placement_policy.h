/// \file
/// Where new flows go: the strategy that Forwarder asks. Picker is the one in
/// use; others serve as baselines in experiments.
#ifndef BORAGEBRIDGE_EDGE_PLACEMENT_POLICY_H
#define BORAGEBRIDGE_EDGE_PLACEMENT_POLICY_H

#include "boragebridge/random.h"
#include "edge/upstream_directory.h"

namespace boragebridge {

/// Why an upstream was chosen; the order of preference.
enum class PickReason : std::uint8_t { Best, Cold, Avoided, Missing, None };

auto toString(PickReason r) -> std::string_view;

struct Pick {
  /// Null: no upstream can take the flow.
  const UpstreamLifetime *Upstream = nullptr;
  PickReason Reason = PickReason::None;
};

/// Index of one of the services of \p route, drawn by their weights.
auto chooseService(const RouteRecord &route, RandomSource &random)
    -> std::size_t;

/// Implementations are used by one thread.
class PlacementPolicy {
public:
  PlacementPolicy() = default;
  PlacementPolicy(const PlacementPolicy &) = delete;
  auto operator=(const PlacementPolicy &) -> PlacementPolicy & = delete;
  virtual ~PlacementPolicy() = default;

  /// Chooses for a new flow of \p route; never \p except, unless nothing else
  /// is left. The choice counts as made.
  virtual auto pick(const RouteRecord &route, const UpstreamLifetime *except,
                    TimePoint now) -> Pick = 0;
  /// A copy of the opening packet of a flow goes to \p u, chosen before.
  virtual auto onRetransmitted(const UpstreamLifetime &u, TimePoint now)
      -> void = 0;
};

} // namespace boragebridge

#endif
