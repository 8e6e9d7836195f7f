/// \file
/// Chooses the upstream of a new flow: the one with the shortest expected
/// response time among those that may take it. Upstreams of other data centres
/// have a penalty.
///
/// Order of preference:
///  1. registered, warm and not avoided;
///  2. cold, within this instance's quota for cold upstreams;
///  3. avoided, so that suspicion never leaves a service without upstreams;
///  4. missing from the store for a short time.
///
/// A random factor prevents instances with the same information from all
/// choosing the same upstream. Free of I/O; allocates no memory; not
/// thread-safe.
#ifndef BORAGEBRIDGE_EDGE_PICKER_H
#define BORAGEBRIDGE_EDGE_PICKER_H

#include "boragebridge/random.h"
#include "edge/cold_start_quota.h"
#include "edge/placement_policy.h"
#include "edge/upstream_estimates.h"

namespace boragebridge {

struct PickerOptions {
  DataCentreId LocalDataCentre{};
  /// Time by which an upstream of another data centre has to be faster. Well
  /// above the network delay, because a flow across data centres also breaks
  /// when the link between them fails.
  Duration RemotePenalty = std::chrono::milliseconds(60);
  /// Expected times are multiplied by a random factor between 1 and 1 +
  /// CostJitter.
  double CostJitter = 0.25;
};

class Picker final : public PlacementPolicy {
public:
  /// All references must outlive the picker.
  Picker(const UpstreamDirectory &directory, UpstreamEstimates &estimates,
         ColdStartQuota &quota, RandomSource &random, PickerOptions opt);

  /// Records the choice as load, as a trial of a suspected upstream, or against
  /// the cold-start quota.
  auto pick(const Opening &o, TimePoint now) -> Pick override;
  /// As pick(), beginning with the service at index \p first of the route.
  auto pickFrom(const Opening &o, std::size_t first, TimePoint now) -> Pick;
  auto hasOther(const RouteRecord &route, const UpstreamLifetime &u,
                TimePoint now) const -> bool override;
  /// The retransmission may be the only copy that arrives, so it counts against
  /// the cold-start quota as well.
  auto onRetransmitted(const UpstreamLifetime &u, TimePoint now)
      -> void override;
  /// How good a choice \p u of \p service is; None if it must not be chosen.
  auto classify(const UpstreamLifetime &u, ServiceId service,
                TimePoint now) const -> PickReason;
  /// The upstream of \p service that pick() would choose if all random factors
  /// were equal. Accounts for nothing and draws no random number.
  auto preview(ServiceId service, TimePoint now) const -> Pick;
  /// What pick() compares upstreams by, before the random factor.
  auto expectedTime(const UpstreamLifetime &u, TimePoint now) const
      -> ExactTime;
  /// Whether \p u is in another data centre than this instance.
  auto isRemote(const UpstreamLifetime &u) const -> bool {
    return u.Record.DataCentre != Options.LocalDataCentre;
  }
  /// Accounts for \p p as if pick() had returned it.
  auto recordChoice(const Pick &p, TimePoint now) -> void;

private:
  auto pickOf(ServiceId service, RandomSource &random, TimePoint now) const
      -> Pick;
  auto cost(const UpstreamLifetime &u, RandomSource &random,
            TimePoint now) const -> double;

  const UpstreamDirectory &Directory;
  UpstreamEstimates &Estimates;
  ColdStartQuota &Quota;
  RandomSource &Random;
  PickerOptions Options;
};

} // namespace boragebridge

#endif
