/// \file
/// The packet edge as a process: one thread and one event loop around the
/// parts that decide. Receives callers' packets, keeps its views of the store,
/// answers readiness checks and metrics, and stops in order.
#ifndef BORAGEBRIDGE_EDGE_EDGE_SERVER_H
#define BORAGEBRIDGE_EDGE_EDGE_SERVER_H

#include "edge/edge_adapter.h"
#include "store/store_dialect.h"

#include "absl/status/statusor.h"

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
  unsigned Capacity = 0;
  /// The limit of a cold upstream: its rate times the factor plus the slack.
  double ColdFactor = 1;
  double ColdSlack = 0;
  /// From the order to stop to the end of the process; flows go on meanwhile.
  Duration StopDelay = std::chrono::milliseconds(2200);

  auto operator==(const EdgeSettings &) const -> bool = default;
};

/// Reads the settings again; an error leaves those in force.
using ReadEdgeSettings = std::function<absl::StatusOr<EdgeSettings>()>;

/// How to speak with the platform.
struct EdgeAdapter {
  std::shared_ptr<const PacketFormat> Packets;
  std::shared_ptr<const RecordFormat> Records;
  std::shared_ptr<const StoreDialect> Store;
};

/// Runs until SIGTERM or SIGINT. \p readSettings is called at SIGHUP and every
/// few seconds, since settings may change without a signal; a change of the
/// store, the seeds, the cold limits or the stop delay takes effect at once,
/// one of a name or of an own address with the next start. Unavailable when an
/// address cannot be bound.
auto runEdge(const EdgeSettings &settings, const EdgeAdapter &adapter,
             const ReadEdgeSettings &readSettings) -> absl::Status;

} // namespace boragebridge

#endif
