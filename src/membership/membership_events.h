/// \file
/// Log events of membership.
#ifndef BORAGEBRIDGE_MEMBERSHIP_MEMBERSHIP_EVENTS_H
#define BORAGEBRIDGE_MEMBERSHIP_MEMBERSHIP_EVENTS_H

#include "boragebridge/event_log.h"

namespace boragebridge::events {

inline constexpr LogEvent PeerSuspected{1000, Severity::Warning,
                                        "peer_suspected"};
inline constexpr LogEvent PeerDead{1001, Severity::Warning, "peer_dead"};
inline constexpr LogEvent PeerAlive{1002, Severity::Info, "peer_alive"};
inline constexpr LogEvent PeerLeaving{1003, Severity::Info, "peer_leaving"};
inline constexpr LogEvent SuspicionRefuted{1004, Severity::Warning,
                                           "suspicion_refuted"};
inline constexpr LogEvent PeerTableFull{1005, Severity::Error,
                                        "peer_table_full"};

} // namespace boragebridge::events

#endif
