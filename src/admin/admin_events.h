/// \file
/// Log events of the administration API.
#ifndef BORAGEBRIDGE_ADMIN_ADMIN_EVENTS_H
#define BORAGEBRIDGE_ADMIN_ADMIN_EVENTS_H

#include "boragebridge/event_log.h"

namespace boragebridge::events {

inline constexpr LogEvent AdminRequestRefused{1400, Severity::Warning,
                                              "admin_request_refused"};
inline constexpr LogEvent AdminKeysReplaced{1401, Severity::Info,
                                            "admin_keys_replaced"};

} // namespace boragebridge::events

#endif
