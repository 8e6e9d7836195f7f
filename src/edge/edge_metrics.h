/// \file
/// Metrics of an edge process: what happened to packets, what was read of the
/// store, and how current the views are. Those of load and memory are in
/// load_report.h and memory_gauges.h.
///
/// Not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_EDGE_METRICS_H
#define BORAGEBRIDGE_EDGE_EDGE_METRICS_H

#include "boragebridge/metrics.h"
#include "edge/edge_views.h"
#include "edge/forwarder.h"
#include "net/datagram_socket.h"

namespace boragebridge {

/// Totals that the process counts itself.
struct EdgeTotals {
  /// Datagrams that are no packet of a caller.
  std::uint64_t Malformed = 0;
  /// Calls that only check on watches and on the store.
  std::uint64_t Polls = 0;
  /// Lists of the store that may be out of date.
  std::uint64_t Snapshots = 0;
};

/// Sets the counters of packets in \p out to their present values.
auto setPacketMetrics(MetricRegistry &out, const Forwarder &forwarder,
                      const DatagramCounts &datagrams, const EdgeTotals &totals)
    -> void;

/// Sets the counters of calls to the store and to mirrors in \p out.
auto setReadMetrics(MetricRegistry &out, const MirroredPlatform &platform,
                    const EdgeTotals &totals) -> void;

/// Sets the metrics of the views and of the configuration in \p out.
auto setViewMetrics(MetricRegistry &out, const EdgeViews &views,
                    const UpstreamDirectory &directory, TimePoint now) -> void;

} // namespace boragebridge

#endif
