/// \file
/// Services, routes and upstreams as plain values. The platform's RecordFormat
/// decodes them, and UpstreamDirectory stores them.
#ifndef BORAGEBRIDGE_EDGE_RECORDS_H
#define BORAGEBRIDGE_EDGE_RECORDS_H

#include "edge/upstream_tag.h"

#include <map>

namespace boragebridge {

/// One lifetime of an upstream, as it registered itself.
struct UpstreamRecord {
  std::string Name;
  /// Identity that a datagram carries so that no other upstream accepts it.
  std::uint64_t WireId = 0;
  /// Time since the Unix epoch, by the upstream's clock.
  std::chrono::milliseconds StartedAt{};
  ServiceId Service{};
  DataCentreId DataCentre{};
  Endpoint Address;
  /// Number of requests that it processes concurrently; at least 1.
  unsigned Slots = 1;
  /// It takes no new flows and will be removed.
  bool Draining = false;
  /// Counts the reports of this lifetime; a record with a lower one is older.
  std::uint64_t Sequence = 0;
  /// How much longer it is cold, that is, able to handle only few new flows,
  /// from the time at which the record was read.
  Duration ColdFor{};

  auto operator==(const UpstreamRecord &) const -> bool = default;
};

/// A service that a route sends new flows to, and its weight.
struct WeightedService {
  ServiceId Service{};
  unsigned Weight = 1;
};

/// An address to which callers open flows.
struct RouteRecord {
  /// The priority of a route whose record states none.
  static constexpr unsigned LeastUrgent = 255;

  std::string Name;
  Endpoint Address;
  /// At least one service, with weights above 0.
  std::vector<WeightedService> Services;
  /// 0 is the most urgent; at most LeastUrgent.
  unsigned Priority = LeastUrgent;
  /// Callers want an answer within this time; zero: the record states none.
  Duration ResponseTimeTarget{};
};

/// The rate of new flows, over all instances, that one cold upstream of a
/// service can handle.
struct ServiceRecord {
  ServiceId Service{};
  double ColdPerSecond = 0;
};

/// One version of the whole configuration.
struct EdgeConfiguration {
  /// Never decreases.
  std::uint64_t Version = 0;
  std::vector<RouteRecord> Routes;
  std::vector<ServiceRecord> Services;
  /// A flow that was idle for longer may be forgotten.
  Duration IdleTimeout = std::chrono::seconds(15);
};

} // namespace boragebridge

#endif
