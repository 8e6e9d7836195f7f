/// \file
/// What operators see of the decisions under load: metrics and log lines.
///
/// Not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_LOAD_LOAD_REPORT_H
#define BORAGEBRIDGE_EDGE_LOAD_LOAD_REPORT_H

#include "boragebridge/event_log.h"
#include "boragebridge/metrics.h"
#include "edge/flow_packet.h"
#include "edge/load/load_aware_policy.h"

namespace boragebridge {

/// The names of the parts in use, separated by commas; "none" if there are
/// none.
auto toString(const LoadParts &p) -> std::string;

/// Sets the gauges and counters of \p load in \p out. \p parts are those in
/// use.
auto setLoadMetrics(MetricRegistry &out, const LoadControl &load,
                    const LoadParts &parts) -> void;

/// Writes a line for each service whose pressure began or ended since the last
/// call.
auto logPressureChanges(EventLog &log, LoadControl &load, TimePoint now)
    -> void;

/// Writes why the flow that \p p opens was turned away. Precondition: it was
/// the last one that \p policy turned away.
auto logTurnedAway(EventLog &log, const FlowPacket &p,
                   const LoadAwarePolicy &policy, Duration viewAge) -> void;

} // namespace boragebridge

#endif
