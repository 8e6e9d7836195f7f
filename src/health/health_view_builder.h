/// \file
/// The HealthView that follows from the registry: what is believed of each
/// upstream, its speed, and the floor that keeps every service in use.
#ifndef BORAGEBRIDGE_HEALTH_HEALTH_VIEW_BUILDER_H
#define BORAGEBRIDGE_HEALTH_HEALTH_VIEW_BUILDER_H

#include "health/ownership.h"
#include "health/upstream_registry.h"

namespace boragebridge {

/// Smallest share of a service's active upstreams that is kept in use. Below
/// it, unfit ones are used again: first those whose packet path did not fall
/// silent; the others only when nothing else is left.
inline constexpr double MinimumUsableShare = 0.5;
/// Ramp of a cold upstream: the trickle of new flows that may warm it.
inline constexpr double ColdRamp = 0.02;
/// A new owner lets the former one's work end before it admits any to a cold
/// upstream.
inline constexpr Duration NewOwnerDelay = std::chrono::milliseconds(500);

/// A view and what to tell operators of it.
struct BuiltView {
  HealthView View;
  /// Services at the floor.
  std::vector<ServiceId> AtFloor;
  std::size_t Cold = 0;
  std::size_t Unfit = 0;
  /// Time alone may change the view: something is cold or warming.
  bool ChangesWithTime = false;
};

/// Builds the view at time \p now. While \p isSynchronized is false, this
/// instance does not know yet what the others know, and admits nothing to a
/// cold upstream.
auto buildHealthView(const UpstreamRegistry &all, const Ownership &roles,
                     bool isSynchronized, TimePoint now) -> BuiltView;

} // namespace boragebridge

#endif
