/// \file
/// The upstreams of the configuration with what this instance knows of each.
#ifndef BORAGEBRIDGE_HEALTH_UPSTREAM_REGISTRY_H
#define BORAGEBRIDGE_HEALTH_UPSTREAM_REGISTRY_H

#include "health/health_assessor.h"

#include <deque>
#include <optional>

namespace boragebridge {

/// What this instance saw of an upstream since it last told anyone.
struct PendingObservations {
  std::uint32_t Answers = 0;
  Duration LatencySum{};
  std::uint32_t Timeouts = 0;
  std::uint32_t ShedRefusals = 0;
  /// Packets of flows came back; without a latency.
  bool HasFlowAnswer = false;
  bool IsQueued = false;
};

/// One upstream.
struct UpstreamEntry {
  Upstream Config;
  bool IsWithdrawn = false;
  HealthAssessor Assessor;
  PendingObservations Pending;
  /// While set, this instance treats the upstream as cold on its own word.
  std::optional<TimePoint> ColdUntil;
  std::uint32_t ColdVersion = 0;
  /// When this instance became the owner.
  std::optional<TimePoint> OwnerSince;

  /// True when the upstream may get new work by configuration.
  auto isActive() const -> bool {
    return !IsWithdrawn && Config.Mode == UpstreamMode::Active;
  }
  auto isTreatedAsCold(TimePoint now) const -> bool;
  /// Treats it as cold until the owner's next opinion, at most TreatAsColdTime.
  auto treatAsCold(TimePoint now) -> void;

  static constexpr Duration TreatAsColdTime = std::chrono::seconds(2);
};

/// All upstreams. Not thread-safe.
class UpstreamRegistry {
public:
  /// Versions of removed upstreams that are kept, so that an old opinion
  /// cannot outrank that of one that comes back. The oldest goes first.
  static constexpr std::size_t RemovedLimit = 4096;

  /// Takes over \p cfg. An upstream that is new, or whose data centre or
  /// address came back, starts over as cold. Returns those that did.
  auto update(const Configuration &cfg, TimePoint now)
      -> std::vector<UpstreamId>;
  /// The entry of \p id; null when the configuration has none.
  auto find(UpstreamId id) -> UpstreamEntry *;
  /// The upstream that listens at \p e; null when there is none.
  auto findByAddress(const Endpoint &e) -> UpstreamEntry *;
  /// Upstream identifiers in rising order.
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
