/// \file
/// Builds the HealthView from the registry: the fitness and the speed of each
/// upstream, and the floor, which keeps a minimum share of each service's
/// upstreams usable.
#ifndef BORAGEBRIDGE_HEALTH_HEALTH_VIEW_BUILDER_H
#define BORAGEBRIDGE_HEALTH_HEALTH_VIEW_BUILDER_H

#include "health/ownership.h"
#include "health/upstream_registry.h"

namespace boragebridge {

/// Smallest share of a service's active upstreams that is kept usable (the
/// floor). Below it, unfit upstreams are used again: first those that are unfit
/// because of unanswered probes; those with timeouts on the packet path only
/// when no other upstream is left.
inline constexpr double MinimumUsableShare = 0.5;
/// Ramp of a cold upstream: the small share of new flows that warms it up.
inline constexpr double ColdRamp = 0.02;
/// Time that a new owner waits before it admits work to a cold upstream, so
/// that work from the former owner can end.
inline constexpr Duration NewOwnerDelay = std::chrono::milliseconds(500);

/// A view and what is reported to operators about it.
struct BuiltView {
  HealthView View;
  /// Services that are at the floor, in ascending order.
  std::vector<ServiceId> AtFloor;
  std::size_t Cold = 0;
  std::size_t Unfit = 0;
  /// Whether time alone may change the view, because an upstream is cold or
  /// warming.
  bool ChangesWithTime = false;
};

/// Builds the view at time \p now. While \p isSynchronized is false, this
/// instance has not received the statuses of the other instances yet, and
/// admits nothing to a cold upstream.
auto buildHealthView(const UpstreamRegistry &all, const Ownership &roles,
                     bool isSynchronized, TimePoint now) -> BuiltView;

} // namespace boragebridge

#endif
