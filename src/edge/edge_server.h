/// \file
/// The process of the packet edge: one thread with one event loop. Receives
/// callers' packets, keeps the views of the store up to date, answers readiness
/// checks, serves metrics, and shuts down gracefully.
#ifndef BORAGEBRIDGE_EDGE_EDGE_SERVER_H
#define BORAGEBRIDGE_EDGE_EDGE_SERVER_H

#include "edge/edge_adapter.h"
#include "edge/load/load_parts.h"
#include "store/store_dialect.h"

#include "absl/status/statusor.h"

#include <functional>
#include <memory>

namespace boragebridge {

/// The settings of the process.
struct EdgeSettings {
  std::string InstanceName;
  DataCentreId DataCentre{};
  /// UDP address that callers send packets to.
  Endpoint Packets;
  /// HTTP address of the readiness check.
  Endpoint Readiness;
  /// HTTP address of the metrics; port 0: no metrics are served.
  Endpoint Metrics;
  Endpoint Store;
  /// HTTP address at which other instances read this one's views; port 0: the
  /// views are not served.
  Endpoint Mirror;
  /// Mirrors of other instances, for a start while the store is unavailable.
  std::vector<Endpoint> Seeds;
  /// The whole fleet starts for the first time.
  bool IsNewFleet = false;
  /// Processor time available to the process, in thousandths of a core.
  unsigned Capacity = 0;
  /// The limit of a cold upstream is its rate times ColdFactor plus ColdSlack.
  double ColdFactor = 1;
  double ColdSlack = 0;
  /// Time from the stop signal to the end of the process; flows continue
  /// meanwhile.
  Duration StopDelay = std::chrono::milliseconds(2200);
  /// What decides under load. A change takes effect at the next start.
  LoadParts Parts;

  auto operator==(const EdgeSettings &) const -> bool = default;
};

/// Reads the settings again. After an error the current settings stay in force.
using ReadEdgeSettings = std::function<absl::StatusOr<EdgeSettings>()>;

/// The platform's formats and its store dialect.
struct EdgeAdapter {
  std::shared_ptr<const PacketFormat> Packets;
  std::shared_ptr<const RecordFormat> Records;
  std::shared_ptr<const StoreDialect> Store;
};

/// Runs until SIGTERM or SIGINT. \p readSettings is called at SIGHUP and every
/// few seconds, since settings may change without a signal. A change of the
/// store, the seeds, the cold limits or the stop delay takes effect at once; a
/// change of a name or of one of this instance's addresses takes effect at the
/// next start. Returns Unavailable if an address cannot be bound.
auto runEdge(const EdgeSettings &settings, const EdgeAdapter &adapter,
             const ReadEdgeSettings &readSettings) -> absl::Status;

} // namespace boragebridge

#endif
