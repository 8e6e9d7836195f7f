/// \file
/// Which instance assesses and probes which upstream.
///
/// Rendezvous hashing over the live instances of the upstream's data centre:
/// the first in rank owns the upstream, and it and the second probe it. The
/// share of each instance is upstreams divided by instances, whatever the size
/// of the fleet, and no message is needed to agree on it.
#ifndef BORAGEBRIDGE_HEALTH_OWNERSHIP_H
#define BORAGEBRIDGE_HEALTH_OWNERSHIP_H

#include "boragebridge/blackboard.h"

namespace boragebridge {

/// What this instance is to one upstream.
struct UpstreamRole {
  InstanceId Owner{};
  Endpoint OwnerAddress;
  bool IsOwner = false;
  bool IsProber = false;
};

/// Roles of this instance for all upstreams. Not thread-safe.
class Ownership {
public:
  Ownership(InstanceId self, DataCentreId dc)
      : Self(self), LocalDataCentre(dc) {}

  /// Recomputes the roles for \p cfg among the live members of \p members;
  /// the instance itself always counts. Cost: upstreams times instances of
  /// their data centre.
  auto update(const Configuration &cfg, const MembershipView &members) -> void;
  /// The role for upstream \p id; null when the configuration has none.
  auto find(UpstreamId id) const -> const UpstreamRole *;
  /// The identifiers that this instance probes, in order of the configuration.
  auto probed() const -> const std::vector<UpstreamId> & { return Probed; }
  /// The live instances of this data centre and of the others, without this
  /// one.
  auto localPeers() const -> const std::vector<Endpoint> & { return Local; }
  auto remotePeers() const -> const std::vector<Endpoint> & { return Remote; }

private:
  struct Candidate {
    InstanceId Id{};
    Endpoint Address;
    DataCentreId DataCentre{};
  };
  auto collectCandidates(const MembershipView &members)
      -> std::vector<Candidate>;
  auto roleFor(UpstreamId id, const std::vector<Candidate> &all) const
      -> UpstreamRole;

  InstanceId Self;
  DataCentreId LocalDataCentre;
  std::unordered_map<UpstreamId, UpstreamRole> Roles;
  std::vector<UpstreamId> Probed;
  std::vector<Endpoint> Local;
  std::vector<Endpoint> Remote;
};

} // namespace boragebridge

#endif
