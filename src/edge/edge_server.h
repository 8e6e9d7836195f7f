/// \file
/// The packet edge as a process: one thread and one event loop around the
/// parts that decide. Receives callers' packets, keeps its views of the store,
/// answers readiness checks and metrics, and stops in order.
#ifndef BORAGEBRIDGE_EDGE_EDGE_SERVER_H
#define BORAGEBRIDGE_EDGE_EDGE_SERVER_H

#include "edge/edge_adapter.h"
#include "store/store_dialect.h"

#include "absl/status/status.h"

#include <functional>
#include <memory>

namespace boragebridge {

/// Everything that the process is started with.
struct EdgeSettings {
  std::string InstanceName;
  DataCentreId DataCentre{};
  /// UDP, from callers.
  Endpoint Packets;
  /// HTTP, from those who ask whether the instance is ready.
  Endpoint Readiness;
  /// HTTP; port 0: no metrics are served.
  Endpoint Metrics;
  Endpoint Store;
  /// HTTP, from other instances that read this one's views; port 0: none does.
  Endpoint Mirror;
  /// Mirrors of other instances, for a start without the store.
  std::vector<Endpoint> Seeds;
  /// Processor time that the process has, in thousandths of a core.
  unsigned Strength = 0;
  /// The limit of a cold upstream: its rate times the factor plus the slack.
  double ColdFactor = 1;
  double ColdSlack = 0;
  /// From the order to stop to the end of the process; flows go on meanwhile.
  Duration StopDelay = std::chrono::milliseconds(2200);
};

/// How to speak with the platform.
struct EdgeAdapter {
  std::shared_ptr<const PacketFormat> Packets;
  std::shared_ptr<const RecordFormat> Records;
  std::shared_ptr<const StoreDialect> Store;
};

/// Runs until SIGTERM or SIGINT. \p reload is called at SIGHUP and returns
/// the settings to log. Unavailable when an address cannot be bound.
auto runEdge(const EdgeSettings &settings, const EdgeAdapter &adapter,
             const std::function<absl::Status()> &reload) -> absl::Status;

} // namespace boragebridge

#endif
