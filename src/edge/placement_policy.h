/// \file
/// The strategy by which Forwarder places new flows. LoadAwarePolicy is the one
/// in use, on top of Picker; others serve as baselines in experiments.
#ifndef BORAGEBRIDGE_EDGE_PLACEMENT_POLICY_H
#define BORAGEBRIDGE_EDGE_PLACEMENT_POLICY_H

#include "boragebridge/random.h"
#include "edge/upstream_directory.h"

namespace boragebridge {

/// Why an upstream was chosen, in order of preference from Best to Missing, or
/// why none was.
enum class PickReason : std::uint8_t {
  Best,
  Cold,
  Avoided,
  Missing,
  /// No upstream can take the flow.
  None,
  /// The upstreams are full, and the flow was turned away.
  Full,
};

auto toString(PickReason r) -> std::string_view;

struct Pick {
  /// Null if no upstream can take the flow.
  const UpstreamLifetime *Upstream = nullptr;
  PickReason Reason = PickReason::None;
};

/// A new flow that needs an upstream.
struct Opening {
  const RouteRecord &Route;
  /// The packet may have been sent before, so the flow may be open already.
  bool IsRetransmission = false;
};

/// Gives the lowest number at each draw, so that the random factors of all
/// upstreams are equal. Safe to use from any thread.
class EqualFactors final : public RandomSource {
public:
  auto next() -> std::uint64_t override { return 0; }
};

/// An expected response time, not rounded to a whole Duration, so that costs
/// compare exactly.
using ExactTime = std::chrono::duration<double, Duration::period>;

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

  /// Chooses an upstream for \p o. The policy accounts for the choice as if the
  /// flow had been sent.
  virtual auto pick(const Opening &o, TimePoint now) -> Pick = 0;
  /// Whether an upstream other than \p u, and not suspected, can take a new
  /// flow of \p route. Accounts for nothing.
  virtual auto hasOther(const RouteRecord &route, const UpstreamLifetime &u,
                        TimePoint now) const -> bool = 0;
  /// A retransmitted opening packet goes to \p u, which was chosen before.
  virtual auto onRetransmitted(const UpstreamLifetime &u, TimePoint now)
      -> void = 0;
};

} // namespace boragebridge

#endif
