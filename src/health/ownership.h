/// \file
/// Assigns the instances that assess and probe each upstream.
///
/// The assignment uses rendezvous hashing over the live instances of the
/// upstream's data centre: the instance with the highest score owns the
/// upstream, and that instance and the second probe it. Each instance's share
/// is the number of upstreams divided by the number of instances, whatever the
/// size of the fleet. The instances need no messages to agree on the
/// assignment. Suspected members count as live; leaving ones do not.
#ifndef BORAGEBRIDGE_HEALTH_OWNERSHIP_H
#define BORAGEBRIDGE_HEALTH_OWNERSHIP_H

#include "boragebridge/blackboard.h"

namespace boragebridge {

/// The role of this instance for one upstream.
struct UpstreamRole {
  InstanceId Owner{};
  Endpoint OwnerAddress;
  bool IsOwner = false;
  bool IsProber = false;
};

/// The roles of this instance for all upstreams. Not thread-safe.
class Ownership {
public:
  Ownership(InstanceId self, DataCentreId dc)
      : Self(self), LocalDataCentre(dc) {}

  /// Recomputes the roles for \p cfg among the live members of \p members and
  /// this instance, unless it is leaving. An upstream whose data centre has no
  /// such instance is assigned among all of them. The cost is the number of
  /// upstreams times the number of instances in their data centre.
  auto update(const Configuration &cfg, const MembershipView &members) -> void;
  /// Returns the role for upstream \p id, or null if the upstream is not in the
  /// configuration.
  auto find(UpstreamId id) const -> const UpstreamRole *;
  /// The upstreams that this instance probes, in the order of the
  /// configuration.
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
