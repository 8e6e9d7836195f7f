/// \file
/// The strategy by which Forwarder places new flows. Picker is the one in use;
/// others serve as baselines in experiments.
#ifndef BORAGEBRIDGE_EDGE_PLACEMENT_POLICY_H
#define BORAGEBRIDGE_EDGE_PLACEMENT_POLICY_H

#include "boragebridge/random.h"
#include "edge/upstream_directory.h"

namespace boragebridge {

/// Why an upstream was chosen, in order of preference.
enum class PickReason : std::uint8_t { Best, Cold, Avoided, Missing, None };

auto toString(PickReason r) -> std::string_view;

struct Pick {
  /// Null if no upstream can take the flow.
  const UpstreamLifetime *Upstream = nullptr;
  PickReason Reason = PickReason::None;
};

/// Index of one of the services of \p route, drawn at random by weight.
auto chooseService(const RouteRecord &route, RandomSource &random)
    -> std::size_t;

/// Each implementation is used by one thread.
class PlacementPolicy {
public:
  PlacementPolicy() = default;
  PlacementPolicy(const PlacementPolicy &) = delete;
  auto operator=(const PlacementPolicy &) -> PlacementPolicy & = delete;
  virtual ~PlacementPolicy() = default;

  /// Chooses an upstream for a new flow of \p route. Returns \p except only if
  /// there is no other. The policy accounts for the choice as if the flow had
  /// been sent.
  virtual auto pick(const RouteRecord &route, const UpstreamLifetime *except,
                    TimePoint now) -> Pick = 0;
  /// A retransmitted opening packet goes to \p u, which was chosen before.
  virtual auto onRetransmitted(const UpstreamLifetime &u, TimePoint now)
      -> void = 0;
};

} // namespace boragebridge

#endif
