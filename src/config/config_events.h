/// \file
/// Log events of the configuration controller.
#ifndef BORAGEBRIDGE_CONFIG_CONFIG_EVENTS_H
#define BORAGEBRIDGE_CONFIG_CONFIG_EVENTS_H

#include "boragebridge/event_log.h"

namespace boragebridge::events {

inline constexpr LogEvent ConfigurationInForce{1100, Severity::Info,
                                               "configuration_in_force"};
inline constexpr LogEvent ChangeAccepted{1101, Severity::Info,
                                         "change_accepted"};
inline constexpr LogEvent ChangeNotAccepted{1102, Severity::Warning,
                                            "change_not_accepted"};
inline constexpr LogEvent ChangeInDoubt{1103, Severity::Warning,
                                        "change_in_doubt"};
inline constexpr LogEvent StoreIsOlder{1104, Severity::Error, "store_is_older"};
inline constexpr LogEvent ConfigurationRefused{1105, Severity::Error,
                                               "configuration_refused"};
inline constexpr LogEvent ReadyToServe{1106, Severity::Info, "ready_to_serve"};

} // namespace boragebridge::events

#endif
