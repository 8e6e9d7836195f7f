/// \file
/// The upstreams of the configuration and their state at this instance.
#ifndef BORAGEBRIDGE_HEALTH_UPSTREAM_REGISTRY_H
#define BORAGEBRIDGE_HEALTH_UPSTREAM_REGISTRY_H

#include "health/health_assessor.h"

#include <deque>
#include <optional>

namespace boragebridge {

/// What this instance observed of an upstream since its observations were last
/// applied or sent to the owner.
struct PendingObservations {
  std::uint32_t Answers = 0;
  Duration LatencySum{};
  std::uint32_t Timeouts = 0;
  std::uint32_t ShedRefusals = 0;
  /// Whether packets of flows came back; their latency is not measured.
  bool HasFlowAnswer = false;
  bool IsQueued = false;
};

/// One upstream and its state.
struct UpstreamEntry {
  Upstream Config;
  bool IsWithdrawn = false;
  HealthAssessor Assessor;
  PendingObservations Pending;
  /// Until this time, this instance treats the upstream as cold because of an
  /// observation of its own, without waiting for the owner's status.
  std::optional<TimePoint> ColdUntil;
  /// Version of the status when ColdUntil was set. A status with another
  /// version ends the treatment as cold.
  std::uint32_t ColdVersion = 0;
  /// When this instance became the owner; empty if it is not the owner.
  std::optional<TimePoint> OwnerSince;

  /// Returns true if the configuration allows new work for the upstream.
  auto isActive() const -> bool {
    return !IsWithdrawn && Config.Mode == UpstreamMode::Active;
  }
  auto isTreatedAsCold(TimePoint now) const -> bool;
  /// Treats the upstream as cold until the owner's next status, for at most
  /// TreatAsColdTime.
  auto treatAsCold(TimePoint now) -> void;

  static constexpr Duration TreatAsColdTime = std::chrono::seconds(2);
};

/// All upstreams. Not thread-safe.
class UpstreamRegistry {
public:
  /// Number of removed upstreams whose versions are kept, so that an old status
  /// cannot supersede the status of an upstream that is added again. The oldest
  /// version is evicted first.
  static constexpr std::size_t RemovedLimit = 4096;

  /// Applies \p cfg. An upstream starts as cold if it is new, its data centre
  /// is no longer withdrawn, or its address or service changed. Returns these
  /// upstreams.
  auto update(const Configuration &cfg, TimePoint now)
      -> std::vector<UpstreamId>;
  /// Returns the entry of \p id, or null if the upstream is not in the
  /// configuration.
  auto find(UpstreamId id) -> UpstreamEntry *;
  /// Returns the upstream that listens at \p e, or null if there is none.
  auto findByAddress(const Endpoint &e) -> UpstreamEntry *;
  /// Upstream identifiers in ascending order.
  auto ids() const -> const std::vector<UpstreamId> & { return Ids; }
  auto entries() const
      -> const std::unordered_map<UpstreamId, UpstreamEntry> & {
    return Entries;
  }

private:
  auto makeEntry(const Upstream &u, bool withdrawn, TimePoint now)
      -> UpstreamEntry;
  auto keepRemovedVersion(UpstreamId id, std::uint32_t version) -> void;
  auto rebuildIndex() -> void;

  std::unordered_map<UpstreamId, UpstreamEntry> Entries;
  std::unordered_map<Endpoint, UpstreamId> ByAddress;
  std::vector<UpstreamId> Ids;
  std::unordered_map<UpstreamId, std::uint32_t> Removed;
  std::deque<UpstreamId> RemovedOrder;
};

} // namespace boragebridge

#endif
