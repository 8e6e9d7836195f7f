/// \file
/// Log events of the platform client.
#ifndef BORAGEBRIDGE_PLATFORM_PLATFORM_EVENTS_H
#define BORAGEBRIDGE_PLATFORM_PLATFORM_EVENTS_H

#include "boragebridge/event_log.h"

namespace boragebridge::events {

inline constexpr LogEvent PlatformLost{1300, Severity::Warning,
                                       "platform_lost"};
inline constexpr LogEvent PlatformBack{1301, Severity::Info, "platform_back"};

} // namespace boragebridge::events

#endif
