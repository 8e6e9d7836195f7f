/// \file
/// The configuration that operators accept: services, upstreams, data centres.
/// A value of this type is never changed once published; a new revision is a
/// new value.
#ifndef BORAGEBRIDGE_CONFIGURATION_H
#define BORAGEBRIDGE_CONFIGURATION_H

#include "boragebridge/types.h"

namespace boragebridge {

/// A data centre and whether operators have taken it out.
struct DataCentre {
  DataCentreId Id{};
  std::string Name;
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

/// What operators ask of an upstream.
enum class UpstreamMode : std::uint8_t {
  Active,   ///< Takes new flows and requests.
  Draining, ///< Keeps what it has, takes nothing new.
};

/// A host that serves one service.
struct Upstream {
  UpstreamId Id{};
  std::string Name;
  ServiceId Service{};
  DataCentreId DataCentre{};
  Endpoint Address;
  UpstreamMode Mode = UpstreamMode::Active;
  /// Requests that it runs at once.
  std::uint32_t Slots = 2;
  /// Flows that it holds at once.
  std::uint32_t Connections = 2000;
  /// Speed relative to an ordinary host, in percent.
  std::uint32_t SpeedPercent = 100;
  auto operator==(const Upstream &) const -> bool = default;
};

/// One accepted state of the whole.
struct Configuration {
  Revision RevisionNumber{};
  std::vector<DataCentre> DataCentres;
  std::vector<Service> Services;
  std::vector<Upstream> Upstreams;

  /// The entry with identifier \p id, or null. Linear in the entries; the
  /// packet path uses tables that its controller builds once a revision.
  auto findDataCentre(DataCentreId id) const -> const DataCentre *;
  auto findService(ServiceId id) const -> const Service *;
  auto findUpstream(UpstreamId id) const -> const Upstream *;
  /// True when operators have taken data centre \p id out.
  auto isWithdrawn(DataCentreId id) const -> bool;
};

} // namespace boragebridge

#endif
