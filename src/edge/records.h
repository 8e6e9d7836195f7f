/// \file
/// What the edge knows of services, routes and upstreams: plain values that
/// the adapter of a store decodes and Directory keeps.
#ifndef BORAGEBRIDGE_EDGE_RECORDS_H
#define BORAGEBRIDGE_EDGE_RECORDS_H

#include "edge/upstream_tag.h"

#include <map>

namespace boragebridge {

/// One lifetime of an upstream, as it registered itself.
struct UpstreamRecord {
  std::string Name;
  /// What a datagram names so that no other upstream takes it.
  std::uint64_t WireId = 0;
  /// Since the Unix epoch, by the upstream's clock.
  std::chrono::milliseconds StartedAt{};
  ServiceId Service{};
  DataCentreId DataCentre{};
  Endpoint Address;
  /// Requests that it works on at once; at least 1.
  unsigned Slots = 1;
  /// It takes no new flow and will leave.
  bool Draining = false;
  /// How much longer it is cold, counted from when the record was read.
  Duration ColdFor{};

  auto operator==(const UpstreamRecord &) const -> bool = default;
};

/// A service that a route sends new flows to, and its share of them.
struct WeightedService {
  ServiceId Service{};
  unsigned Weight = 1;
};

/// An address that callers open flows to.
struct RouteRecord {
  std::string Name;
  Endpoint Address;
  /// At least one, with weights above 0.
  std::vector<WeightedService> Services;
};

/// How fast a cold upstream of a service may get new flows, over the fleet.
struct ServiceRecord {
  ServiceId Service{};
  double ColdPerSecond = 0;
};

/// One version of the whole configuration.
struct EdgeConfiguration {
  /// Only goes up.
  std::uint64_t Version = 0;
  std::vector<RouteRecord> Routes;
  std::vector<ServiceRecord> Services;
  /// A flow that was silent for longer may be forgotten.
  Duration IdleTimeout = std::chrono::seconds(15);
};

} // namespace boragebridge

#endif
