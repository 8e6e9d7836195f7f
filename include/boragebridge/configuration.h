/// \file
/// The configuration accepted from operators: services, upstreams and data
/// centres. A published value is never modified; each revision is a new value.
#ifndef BORAGEBRIDGE_CONFIGURATION_H
#define BORAGEBRIDGE_CONFIGURATION_H

#include "boragebridge/types.h"

namespace boragebridge {

/// A data centre.
struct DataCentre {
  DataCentreId Id{};
  std::string Name;
  /// True if operators have taken the data centre out of use.
  bool Withdrawn = false;
  auto operator==(const DataCentre &) const -> bool = default;
};

/// A service: the address that callers use and the team that owns it.
struct Service {
  ServiceId Id{};
  std::string Name;
  std::string Team;
  Endpoint Address;
  auto operator==(const Service &) const -> bool = default;
};

/// Mode of an upstream as set by operators.
enum class UpstreamMode : std::uint8_t {
  Active,   ///< Takes new flows and requests.
  Draining, ///< Keeps its flows and requests, takes no new ones.
};

/// A host that serves one service.
struct Upstream {
  UpstreamId Id{};
  std::string Name;
  ServiceId Service{};
  DataCentreId DataCentre{};
  Endpoint Address;
  UpstreamMode Mode = UpstreamMode::Active;
  /// Maximum number of concurrent requests.
  std::uint32_t Slots = 2;
  /// Maximum number of concurrent flows.
  std::uint32_t Connections = 2000;
  /// Speed relative to an ordinary host, in percent.
  std::uint32_t SpeedPercent = 100;
  auto operator==(const Upstream &) const -> bool = default;
};

/// One accepted revision of the configuration.
struct Configuration {
  Revision RevisionNumber{};
  std::vector<DataCentre> DataCentres;
  std::vector<Service> Services;
  std::vector<Upstream> Upstreams;

  /// The entry with identifier \p id, or null. Linear in the number of entries:
  /// the packet path uses tables that its controller builds once per revision
  /// instead.
  auto findDataCentre(DataCentreId id) const -> const DataCentre *;
  auto findService(ServiceId id) const -> const Service *;
  auto findUpstream(UpstreamId id) const -> const Upstream *;
  /// True if operators have taken data centre \p id out of use.
  auto isWithdrawn(DataCentreId id) const -> bool;
};

} // namespace boragebridge

#endif
