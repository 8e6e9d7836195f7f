/// \file
/// Places new flows while a service is under pressure. Without pressure, all
/// choices are those of Picker.
///
/// Answers two kinds of load:
///  - More requests than the upstreams can handle. The least urgent routes are
///    turned away first, at once and before anything has run, when none of the
///    upstreams that they may use has room and the upstreams do not keep up.
///    Some upstreams are reserved for more urgent routes, because requests on
///    flows that are open already cannot be turned away one by one. Urgent
///    routes are never turned away while less urgent ones are served.
///  - Upstreams that are slow or full while others are not, in this data centre
///    or in another. A flow goes to the upstream with the shortest expected
///    response time; another data centre has to be faster by RemotePenalty.
///
/// Uses no messages and no state of other instances. Free of I/O; not
/// thread-safe.
#ifndef BORAGEBRIDGE_EDGE_LOAD_LOAD_AWARE_POLICY_H
#define BORAGEBRIDGE_EDGE_LOAD_LOAD_AWARE_POLICY_H

#include "edge/load/load_control.h"
#include "edge/load/load_parts.h"
#include "edge/load/upstream_subsets.h"
#include "edge/picker.h"

namespace boragebridge {

struct LoadAwarePolicyOptions {
  LoadParts Parts;
  /// As in PickerOptions.
  Duration RemotePenalty = std::chrono::milliseconds(60);
  double CostJitter = 0.25;
};

/// Why a flow was turned away.
struct TurnedAway {
  unsigned Priority = 0;
  /// Name of the upstream that would have answered soonest, the requests of
  /// this instance that it was processing, and its limit.
  std::string LeastLoaded;
  double InProgress = 0;
  double Limit = 0;
  /// Share of the service's recent requests that were refused or late, and of
  /// its upstreams that were reserved for more urgent routes.
  double MissedShare = 0;
  double ReservedShare = 0;
};

/// How an upstream stands in the decision under pressure.
struct PreviewedUpstream {
  const UpstreamLifetime *Upstream = nullptr;
  /// This instance uses it under pressure.
  bool IsUsed = false;
  /// It is reserved for routes that are more urgent than the one asked for.
  bool IsReserved = false;
  /// Expected response time with penalty and without jitter, by the formula
  /// for pressure; the shortest if the upstream is compared more than once.
  ExactTime Expected{};
};

/// What LoadAwarePolicy::pick() would do with an opening now.
struct PlacementPreview {
  /// PickReason::Full if the opening would be turned away.
  Pick Chosen;
  bool IsUnderPressure = false;
  /// Picker decides: there is no pressure, or none of the upstreams that the
  /// route may use under pressure can take the flow.
  bool IsPickers = true;
  /// Share of the upstreams that are reserved for more urgent routes.
  double ReservedShare = 0;
  /// The upstreams that this instance uses under pressure, and all others of
  /// its data centre that may take new flows, each once.
  std::vector<PreviewedUpstream> Upstreams;
};

class LoadAwarePolicy final : public PlacementPolicy {
public:
  /// All references must outlive the policy.
  LoadAwarePolicy(Picker &base, LoadControl &load, UpstreamSubsets &subsets,
                  RandomSource &random, LoadAwarePolicyOptions opt)
      : Base(base), Load(load), Subsets(subsets), Random(random), Options(opt) {
  }

  /// Returns PickReason::Full, and no upstream, for a flow that is turned away.
  auto pick(const Opening &o, TimePoint now) -> Pick override;
  auto hasOther(const RouteRecord &route, const UpstreamLifetime &u,
                TimePoint now) const -> bool override {
    return Base.hasOther(route, u, now);
  }
  auto onRetransmitted(const UpstreamLifetime &u, TimePoint now)
      -> void override {
    Base.onRetransmitted(u, now);
  }

  /// The last flow that was turned away.
  auto lastTurnedAway() const -> const TurnedAway & { return LastTurnedAway; }
  /// What pick() would do with a first opening of \p route if it drew
  /// \p service, one of its services, and all random factors were equal.
  /// Accounts for nothing and draws no random number. Where Picker decides, it
  /// may go on to another service of the route, which is not considered.
  auto preview(const RouteRecord &route, ServiceId service, TimePoint now) const
      -> PlacementPreview;

  auto parts() const -> const LoadParts & { return Options.Parts; }

private:
  /// An upstream that a flow may go to.
  struct Candidate {
    const UpstreamLifetime *Upstream = nullptr;
    /// Expected response time, with penalty and jitter.
    double Cost = 0;
  };
  /// The best upstreams found so far.
  struct Choice {
    Candidate Local;
    Candidate LocalWithRoom;
    Candidate Remote;
    Candidate RemoteWithRoom;

    auto isEmpty() const -> bool {
      return Local.Upstream == nullptr && Remote.Upstream == nullptr;
    }
  };

  /// Shares of the upstreams, by position.
  struct ReservedShares {
    /// Reserved from the route that is decided on.
    double FromRoute = 0;
    /// Reserved from the least urgent route.
    double FromLeastUrgent = 0;
  };

  auto isUnderPressure(ServiceId service) const -> bool {
    return Options.Parts.Limits && Load.isUnderPressure(service);
  }
  auto isUnderPressure(const RouteRecord &route) const -> bool;
  auto turnAway(const RouteRecord &route, ServiceId service, const Choice &c,
                TimePoint now) -> Pick;
  /// Considers some local upstreams, from a random one on, in their order.
  auto considerMore(const ServiceSubset &subset, const ReservedShares &r,
                    ServiceId service, RandomSource &random, TimePoint now,
                    Choice &out) const -> void;
  auto mayTurnAway(const RouteRecord &route, ServiceId service,
                   TimePoint now) const -> bool;
  auto reservedShares(const RouteRecord &route, ServiceId service,
                      TimePoint now) const -> ReservedShares;
  /// Calls \p f with the upstreams that this instance uses under pressure.
  template <typename F>
  static auto visitUsed(const ServiceSubset &subset, const ReservedShares &r,
                        F f) -> void;
  auto choose(const ServiceSubset &subset, const ReservedShares &r,
              ServiceId service, RandomSource &random, TimePoint now) const
      -> Choice;
  auto consider(const SubsetUpstream &it, ServiceId service,
                RandomSource &random, TimePoint now, Choice &out) const -> void;
  auto expectedTime(const SubsetUpstream &it, TimePoint now) const -> ExactTime;
  auto previewUpstreams(const ServiceSubset &subset, const ReservedShares &r,
                        TimePoint now) const -> std::vector<PreviewedUpstream>;
  /// The upstream that the flow goes to; null to turn it away.
  auto decide(const Choice &c, bool mayTurnAway) const
      -> const UpstreamLifetime *;

  Picker &Base;
  LoadControl &Load;
  UpstreamSubsets &Subsets;
  RandomSource &Random;
  LoadAwarePolicyOptions Options;
  TurnedAway LastTurnedAway;
};

} // namespace boragebridge

#endif
