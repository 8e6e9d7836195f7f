/// \file
/// Log events of the packet edge.
#ifndef BORAGEBRIDGE_EDGE_EDGE_EVENTS_H
#define BORAGEBRIDGE_EDGE_EDGE_EVENTS_H

#include "boragebridge/event_log.h"

namespace boragebridge::events {

inline constexpr LogEvent FlowOpened{2300, Severity::Info, "flow_opened"};
inline constexpr LogEvent FlowReset{2301, Severity::Info, "flow_reset"};
inline constexpr LogEvent PacketRefused{2302, Severity::Warning,
                                        "packet_refused"};
inline constexpr LogEvent UpstreamChanged{2303, Severity::Info,
                                          "upstream_changed"};
inline constexpr LogEvent UpstreamMissing{2304, Severity::Info,
                                          "upstream_missing"};
inline constexpr LogEvent RecordRefused{2305, Severity::Warning,
                                        "record_refused"};
inline constexpr LogEvent EdgeConfigurationInForce{
    2306, Severity::Info, "edge_configuration_in_force"};
inline constexpr LogEvent DataCentresWithdrawn{2307, Severity::Info,
                                               "data_centres_withdrawn"};
inline constexpr LogEvent EdgeReady{2308, Severity::Info, "edge_ready"};
inline constexpr LogEvent UpstreamSuspected{2309, Severity::Warning,
                                            "upstream_suspected"};
inline constexpr LogEvent MemberRegistered{2310, Severity::Info,
                                           "member_registered"};
inline constexpr LogEvent ProcessPaused{2311, Severity::Warning,
                                        "process_paused"};
inline constexpr LogEvent SettingsReloaded{2312, Severity::Info,
                                           "settings_reloaded"};
inline constexpr LogEvent ListenFailed{2314, Severity::Error, "listen_failed"};
inline constexpr LogEvent ViewAdopted{2315, Severity::Warning, "view_adopted"};
inline constexpr LogEvent MemberExpired{2316, Severity::Info, "member_expired"};
inline constexpr LogEvent UpstreamsListed{2317, Severity::Info,
                                          "upstreams_listed"};
inline constexpr LogEvent UpstreamLookedUp{2318, Severity::Info,
                                           "upstream_looked_up"};
inline constexpr LogEvent PressureChanged{2319, Severity::Warning,
                                          "pressure_changed"};
inline constexpr LogEvent OpeningTurnedAway{2320, Severity::Info,
                                            "opening_turned_away"};
inline constexpr LogEvent EdgeConfigurationOlder{2321, Severity::Warning,
                                                 "edge_configuration_older"};
inline constexpr LogEvent ParentLost{2313, Severity::Warning, "parent_lost"};

} // namespace boragebridge::events

#endif
