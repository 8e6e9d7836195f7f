/// \file
/// Events of the flow module; docs/LOGS.md explains them.
#ifndef BORAGEBRIDGE_FLOW_FLOW_EVENTS_H
#define BORAGEBRIDGE_FLOW_FLOW_EVENTS_H

#include "boragebridge/event_log.h"

namespace boragebridge::events {

inline constexpr LogEvent PlacementOutdated{2000, Severity::Warning,
                                            "placement_outdated"};
inline constexpr LogEvent PlacementCurrent{2001, Severity::Info,
                                           "placement_current"};
inline constexpr LogEvent GenerationAnnounced{2002, Severity::Info,
                                              "generation_announced"};
inline constexpr LogEvent GenerationActivated{2003, Severity::Info,
                                              "generation_activated"};
inline constexpr LogEvent GenerationUnacknowledged{2004, Severity::Warning,
                                                   "generation_unacknowledged"};
inline constexpr LogEvent StalledFlowReset{2005, Severity::Warning,
                                           "silent_flow_reset"};
inline constexpr LogEvent RecordsHandedOver{2006, Severity::Info,
                                            "records_handed_over"};

} // namespace boragebridge::events

#endif
