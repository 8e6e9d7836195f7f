/// \file
/// The upstreams that this instance uses while a service is under pressure.
///
/// An instance that spreads its flows over all upstreams meets each of them too
/// rarely to know its load. Under pressure it therefore uses a part of them, so
/// that each upstream of a data centre gets flows from TargetSenders instances
/// only, and an instance's own requests tell it enough. All subsets have the
/// same number of upstreams, and all upstreams the same number of senders, give
/// or take one, without any message: the parts follow from the list of members
/// and the list of upstreams, which all instances read. Where the lists differ
/// for a while, some upstreams have a sender more or less.
///
/// Upstreams also have a position in their data centre, which all instances
/// agree on; the first ones can be reserved for urgent routes.
///
/// Free of I/O; not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_LOAD_UPSTREAM_SUBSETS_H
#define BORAGEBRIDGE_EDGE_LOAD_UPSTREAM_SUBSETS_H

#include "edge/mirror_tree.h"
#include "edge/upstream_directory.h"

namespace boragebridge {

struct UpstreamSubsetsOptions {
  /// Instances that send flows to one upstream of their data centre, and
  /// instances of the other data centres that do, as far as there are as many.
  std::size_t TargetSenders = 4;
  std::size_t TargetRemoteSenders = 2;
  /// An instance uses at least this many upstreams of a data centre.
  std::size_t MinUpstreams = 4;
  /// The lists are made anew when they are older than this.
  Duration MaxAge = std::chrono::seconds(1);
};

/// An upstream that an instance may use.
struct SubsetUpstream {
  const UpstreamLifetime *Upstream = nullptr;
  /// Rank among the upstreams of the service in its data centre, divided by
  /// their number: those up to 0.3 are the first 30%.
  double Position = 0;
  /// Mean number of instances that send flows to an upstream of this list,
  /// including this one; at least 1.
  double Senders = 1;
  bool IsRemote = false;
};

/// The upstreams of one service.
struct ServiceSubset {
  /// Those that this instance uses, of its data centre and of the others.
  std::vector<SubsetUpstream> Used;
  /// All upstreams of its data centre, by position.
  std::vector<SubsetUpstream> Local;
};

/// The part of \p all that the sender \p index of \p senders uses. Each
/// upstream gets about \p targetSenders senders, and each sender at least \p
/// minUpstreams upstreams, or all. Preconditions: \p index is below \p senders,
/// and both are above 0 with \p minUpstreams; all senders pass the same \p all,
/// in any order.
auto subsetOf(std::vector<SubsetUpstream> all, std::size_t index,
              std::size_t senders, std::size_t targetSenders,
              std::size_t minUpstreams) -> std::vector<SubsetUpstream>;

class UpstreamSubsets {
public:
  /// \p directory must outlive the object. \p self is the name of this
  /// instance.
  UpstreamSubsets(const UpstreamDirectory &directory, std::string self,
                  DataCentreId dataCentre, UpstreamSubsetsOptions opt = {})
      : Directory(directory), Self(std::move(self)), DataCentre(dataCentre),
        Options(opt) {}

  /// Replaces the registered instances.
  auto setMembers(const std::vector<MemberRecord> &all) -> void;
  /// The upstreams of \p service that may take new flows. The result is valid
  /// until the next call, and while the directory is not changed.
  auto of(ServiceId service, TimePoint now) -> const ServiceSubset &;
  /// What of() would return, without making the lists of \p service anew for
  /// later calls.
  auto preview(ServiceId service, TimePoint now) const -> ServiceSubset;

private:
  struct CachedSubset {
    ServiceSubset Subset;
    std::uint64_t Revision = 0;
    TimePoint MadeAt;
  };

  auto isStale(const CachedSubset &c, TimePoint now) const -> bool;
  auto make(ServiceId service, TimePoint now) const -> ServiceSubset;
  /// This instance's place among the instances that send flows to the upstreams
  /// of a data centre, and their number, which includes it.
  struct SenderRank {
    std::size_t Index = 0;
    std::size_t Senders = 0;
  };

  /// \p isRemote: \p dataCentre is not that of this instance, and shared by the
  /// instances of all other data centres.
  auto rankOfSelf(DataCentreId dataCentre, bool isRemote) const -> SenderRank;
  auto addDataCentre(std::vector<SubsetUpstream> all, bool isRemote,
                     ServiceSubset &out) const -> void;

  const UpstreamDirectory &Directory;
  std::string Self;
  DataCentreId DataCentre;
  UpstreamSubsetsOptions Options;
  /// The registered instances by name.
  std::vector<MemberRecord> Members;
  std::unordered_map<std::uint64_t, CachedSubset> Cache;
};

} // namespace boragebridge

#endif
