/// \file
/// Log events of the connections between instances.
#ifndef BORAGEBRIDGE_NET_NET_EVENTS_H
#define BORAGEBRIDGE_NET_NET_EVENTS_H

#include "boragebridge/event_log.h"

namespace boragebridge::events {

/// A connection is closed because of a malformed stream or a refused frame.
inline constexpr LogEvent PeerStreamMalformed{4000, Severity::Warning,
                                              "peer_stream_malformed"};
/// A connection is closed because it makes no progress.
inline constexpr LogEvent PeerConnectionStalled{4001, Severity::Warning,
                                                "peer_connection_silent"};
/// A connection is closed because MaxAccepted connections are open.
inline constexpr LogEvent PeerConnectionLimit{4002, Severity::Error,
                                              "peer_connection_limit"};

} // namespace boragebridge::events

#endif
