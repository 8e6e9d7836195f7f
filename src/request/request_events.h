/// \file
/// Log events of the request module; docs/LOGS.md is their catalogue.
#ifndef BORAGEBRIDGE_REQUEST_REQUEST_EVENTS_H
#define BORAGEBRIDGE_REQUEST_REQUEST_EVENTS_H

#include "boragebridge/event_log.h"

namespace boragebridge::events {

inline constexpr LogEvent LedgerHandedOver{3000, Severity::Info,
                                           "ledger_handed_over"};
inline constexpr LogEvent LedgerInherited{3001, Severity::Info,
                                          "ledger_inherited"};
inline constexpr LogEvent LedgerNotHandedOver{3002, Severity::Error,
                                              "ledger_not_handed_over"};
inline constexpr LogEvent TicketForged{3003, Severity::Warning,
                                       "ticket_forged"};

} // namespace boragebridge::events

#endif
