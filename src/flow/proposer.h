/// \file
/// Which upstreams a data centre should use for the new flows of each service,
/// from configuration and health. A pure function; the hysteresis comes from
/// the weights in use, which it is given.
#ifndef BORAGEBRIDGE_FLOW_PROPOSER_H
#define BORAGEBRIDGE_FLOW_PROPOSER_H

#include "boragebridge/blackboard.h"
#include "flow/slot_table.h"

#include <functional>

namespace boragebridge {

/// Weight of the fastest upstream of a service; others are relative to it.
inline constexpr std::uint16_t FullWeight = 64;

/// Says that an upstream's address may not be used yet.
using QuarantineCheck = std::function<bool(const Upstream &)>;

/// What is wanted for one service.
struct WantedPlacement {
  std::vector<WeightedUpstream> Upstreams;
  /// An upstream in use must get no new flow: not a matter of weights.
  bool Urgent = false;
};

/// The upstreams of \p service, grouped once for each configuration revision.
using ServiceUpstreams =
    std::unordered_map<ServiceId, std::vector<const Upstream *>>;
auto groupUpstreams(const Configuration &cfg) -> ServiceUpstreams;

/// The upstreams of one service out of \p all for data centre \p dc: those in
/// service here, or of other data centres when there are none. When under
/// half of them are fit, all are used, since the signal is then more likely
/// wrong than the upstreams. Weights that differ from \p inUse by little stay.
auto wantedPlacement(const Configuration &cfg, const HealthView &health,
                     DataCentreId dc, std::span<const Upstream *const> all,
                     std::span<const WeightedUpstream> inUse,
                     const QuarantineCheck &quarantined) -> WantedPlacement;

} // namespace boragebridge

#endif
