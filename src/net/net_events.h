/// \file
/// Log events of the transport.
#ifndef BORAGEBRIDGE_NET_NET_EVENTS_H
#define BORAGEBRIDGE_NET_NET_EVENTS_H

#include "boragebridge/event_log.h"

namespace boragebridge::events {

inline constexpr LogEvent PeerStreamMalformed{4000, Severity::Warning,
                                              "peer_stream_malformed"};
inline constexpr LogEvent PeerConnectionStalled{4001, Severity::Warning,
                                                "peer_connection_silent"};
inline constexpr LogEvent PeerConnectionLimit{4002, Severity::Error,
                                              "peer_connection_limit"};

} // namespace boragebridge::events

#endif
