/// \file
/// Log events common to all processes.
#ifndef BORAGEBRIDGE_LOGGING_PROCESS_EVENTS_H
#define BORAGEBRIDGE_LOGGING_PROCESS_EVENTS_H

#include "boragebridge/event_log.h"

namespace boragebridge::events {

inline constexpr LogEvent ProcessStarted{5000, Severity::Info,
                                         "process_started"};
inline constexpr LogEvent ProcessStopping{5001, Severity::Info,
                                          "process_stopping"};
inline constexpr LogEvent ProcessStopped{5002, Severity::Info,
                                         "process_stopped"};
/// A planned stop took longer than the `stop_limit` of the settings; the
/// process exits without finishing it.
inline constexpr LogEvent StopLimitReached{5003, Severity::Warning,
                                           "stop_limit_reached"};
/// StreamLog has dropped lines since its previous event of this kind.
inline constexpr LogEvent LinesDropped{5004, Severity::Warning,
                                       "lines_left_out"};

} // namespace boragebridge::events

#endif
