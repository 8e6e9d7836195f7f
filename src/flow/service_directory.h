/// \file
/// From a flow's service address to its slot's upstream: the tables that the
/// packet path reads. Rebuilt when configuration or placements change.
#ifndef BORAGEBRIDGE_FLOW_SERVICE_DIRECTORY_H
#define BORAGEBRIDGE_FLOW_SERVICE_DIRECTORY_H

#include "boragebridge/blackboard.h"
#include "flow/placement_agreement.h"

namespace boragebridge {

/// What this instance may send to an upstream.
enum class TargetUse : std::uint8_t {
  Nothing, ///< Removed, withdrawn or of another service: nothing.
  Unknown, ///< Of a later revision than this instance has: others may know.
  EstablishedFlows, ///< Draining for too long for a new flow: mid-flow packets.
  AllFlows,         ///< Everything.
};

/// An upstream as a destination.
struct Target {
  Endpoint Address;
  TargetUse Use = TargetUse::Nothing;
};

/// One service on the packet path.
struct ServiceEntry {
  ServiceId Service{};
  Endpoint Address;
  /// The address served another service a moment ago; no packet is taken.
  bool IsQuarantined = false;
  ServicePlacement *Placement = nullptr;
  /// In the order of Placement->palette().
  std::vector<Target> Targets;
  std::uint64_t SeenPlacement = 0;
};

/// Not thread-safe.
class ServiceDirectory {
public:
  ServiceDirectory(const ControllerContext &ctx, const FlowOptions &opt,
                   PlacementAgreement &agreement)
      : Context(ctx), Options(opt), Agreement(agreement),
        Quarantine(opt.QuarantineTime) {}

  /// Brings the tables up to date; cheap when nothing changed.
  auto refresh(TimePoint now) -> void {
    if (SeenConfiguration != Context.Board.Configuration.version() ||
        SeenSync != Agreement.syncedAt())
      rebuild(now);
    if (SeenPlacements != Agreement.version())
      bindPlacements();
  }
  /// Applies what becomes due with time alone. To be called every tick.
  auto tick(TimePoint now) -> void;

  /// The service at \p a, or null. No allocation.
  auto find(const Endpoint &a) -> ServiceEntry * {
    if (Index.empty())
      return nullptr;
    for (auto i = hashOf(a) & (Index.size() - 1);;
         i = (i + 1) & (Index.size() - 1)) {
      if (Index[i] == NoEntry)
        return nullptr;
      if (Entries[Index[i]].Address == a)
        return &Entries[Index[i]];
    }
  }
  /// What may be sent to \p id as an upstream of \p service.
  auto target(ServiceId service, UpstreamId id) const -> Target;

private:
  static constexpr std::uint32_t NoEntry = ~std::uint32_t{0};
  struct KnownUpstream {
    ServiceId Service{};
    Target To;
  };

  static auto hashOf(const Endpoint &a) -> std::size_t {
    constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15ULL;
    return static_cast<std::size_t>(
        (((std::uint64_t{a.Address} << 16) | a.Port) * Multiplier) >> 32);
  }
  auto rebuild(TimePoint now) -> void;
  auto indexEntries() -> void;
  auto bindPlacements() -> void;
  auto useOf(const Configuration &cfg, const Upstream &u, TimePoint now)
      -> TargetUse;

  const ControllerContext &Context;
  const FlowOptions &Options;
  PlacementAgreement &Agreement;
  AddressQuarantine Quarantine;
  std::uint64_t SeenConfiguration = 0;
  std::optional<TimePoint> SeenSync;
  std::uint64_t SeenPlacements = ~std::uint64_t{0};
  std::vector<ServiceEntry> Entries;
  std::vector<std::uint32_t> Index;
  std::unordered_map<UpstreamId, KnownUpstream> Upstreams;
  /// Since when an upstream is draining, as far as this instance knows.
  std::unordered_map<UpstreamId, TimePoint> DrainingSince;
  TimePoint NextChange = TimePoint::max();
};

} // namespace boragebridge

#endif
