/// \file
/// Which upstreams, with which weights, a data centre should use for the new
/// flows of each service, computed from configuration and health. The functions
/// are pure; for hysteresis they are given the weights in use.
#ifndef BORAGEBRIDGE_FLOW_PROPOSER_H
#define BORAGEBRIDGE_FLOW_PROPOSER_H

#include "boragebridge/blackboard.h"
#include "flow/slot_table.h"

#include <functional>

namespace boragebridge {

/// The weight of the fastest upstream of a service; the others' are relative to
/// it.
inline constexpr std::uint16_t FullWeight = 64;

/// Returns true while the address of an upstream may not be used.
using QuarantineCheck = std::function<bool(const Upstream &)>;

/// The upstreams and weights that one service should use.
struct WantedPlacement {
  std::vector<WeightedUpstream> Upstreams;
  /// At least one upstream in use must get no new flow, so that the change is
  /// more than one of weights.
  bool Urgent = false;
};

/// The upstreams of each service.
using ServiceUpstreams =
    std::unordered_map<ServiceId, std::vector<const Upstream *>>;
/// Groups the upstreams of \p cfg by service. The pointers are into \p cfg.
auto groupUpstreams(const Configuration &cfg) -> ServiceUpstreams;

/// Chooses from \p all, the upstreams of one service, for data centre \p dc.
/// Considers active upstreams that are neither withdrawn nor \p quarantined:
/// those of \p dc, or those of other data centres when \p dc has none or only
/// unfit ones while another has a fit one. When fewer than half of the chosen
/// upstreams are fit, all of them are used, since the health data is then more
/// likely to be wrong than the upstreams. A weight that differs little from the
/// one \p inUse is kept.
auto wantedPlacement(const Configuration &cfg, const HealthView &health,
                     DataCentreId dc, std::span<const Upstream *const> all,
                     std::span<const WeightedUpstream> inUse,
                     const QuarantineCheck &quarantined) -> WantedPlacement;

} // namespace boragebridge

#endif
