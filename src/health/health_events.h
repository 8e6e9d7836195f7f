/// \file
/// Log events of the health module.
#ifndef BORAGEBRIDGE_HEALTH_HEALTH_EVENTS_H
#define BORAGEBRIDGE_HEALTH_HEALTH_EVENTS_H

#include "boragebridge/event_log.h"

namespace boragebridge::events {

inline constexpr LogEvent UpstreamCold{2200, Severity::Warning,
                                       "upstream_cold"};
inline constexpr LogEvent UpstreamWarming{2201, Severity::Info,
                                          "upstream_warming"};
inline constexpr LogEvent UpstreamReady{2202, Severity::Info, "upstream_ready"};
inline constexpr LogEvent UpstreamUnfit{2203, Severity::Warning,
                                        "upstream_unfit"};
inline constexpr LogEvent HealthFloorReached{2204, Severity::Error,
                                             "health_floor_reached"};
inline constexpr LogEvent HealthFloorLeft{2205, Severity::Info,
                                          "health_floor_left"};

} // namespace boragebridge::events

#endif
