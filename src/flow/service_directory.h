/// \file
/// The tables that the packet path reads: from the service address of a flow to
/// the upstream of its slot. They are rebuilt when the configuration or a
/// placement changes.
#ifndef BORAGEBRIDGE_FLOW_SERVICE_DIRECTORY_H
#define BORAGEBRIDGE_FLOW_SERVICE_DIRECTORY_H

#include "boragebridge/blackboard.h"
#include "flow/placement_agreement.h"

namespace boragebridge {

/// The packets that this instance may send to an upstream.
enum class TargetUse : std::uint8_t {
  Nothing, ///< The upstream is removed, withdrawn or of another service.
  Unknown, ///< Possibly of a later revision, which other instances have.
  EstablishedFlows, ///< Mid-flow packets only: drains past DrainGracePeriod.
  AllFlows,         ///< Opening and mid-flow packets.
};

/// The address of an upstream and its use.
struct Target {
  Endpoint Address;
  TargetUse Use = TargetUse::Nothing;
};

/// A service as the packet path sees it.
struct ServiceEntry {
  ServiceId Service{};
  Endpoint Address;
  /// The address recently served another service, so that packets to it are
  /// dropped.
  bool IsQuarantined = false;
  ServicePlacement *Placement = nullptr;
  /// Parallel to Placement->activeUpstreams().
  std::vector<Target> Targets;
  std::uint64_t SeenPlacement = 0;
};

/// The tables of one instance. Not thread-safe.
class ServiceDirectory {
public:
  ServiceDirectory(const ControllerContext &ctx, const FlowOptions &opt,
                   PlacementAgreement &agreement)
      : Context(ctx), Options(opt), Agreement(agreement),
        Quarantine(opt.QuarantineTime) {}

  /// Updates the tables; cheap when nothing has changed.
  auto refresh(TimePoint now) -> void {
    if (SeenConfiguration != Context.Board.Configuration.version() ||
        SeenSync != Agreement.syncedAt())
      rebuild(now);
    if (SeenPlacements != Agreement.version())
      bindPlacements();
  }
  /// Applies changes that become due by time alone. Precondition: called on
  /// every tick.
  auto tick(TimePoint now) -> void;

  /// The service at \p a, or null. Does not allocate. The pointer is valid
  /// until the tables are rebuilt.
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
  /// The address of upstream \p id of \p service, and what may be sent there.
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
  /// Since when an upstream has been draining, as far as this instance knows.
  std::unordered_map<UpstreamId, TimePoint> DrainingSince;
  TimePoint NextChange = TimePoint::max();
};

} // namespace boragebridge

#endif
