/// \file
/// Chooses the upstream of a new flow: the one with the least expected time to
/// answer among those that may take it, the own data centre first.
///
/// Order of preference:
///  1. registered, warm and not avoided;
///  2. cold, within this instance's share of what a cold upstream bears;
///  3. avoided, so that suspicion never empties a service;
///  4. missing from the store for a short while.
///
/// A random factor keeps instances that know the same from all choosing the
/// same upstream. Free of I/O; allocates nothing; not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_PICKER_H
#define BORAGEBRIDGE_EDGE_PICKER_H

#include "boragebridge/random.h"
#include "edge/cold_start_quota.h"
#include "edge/placement_policy.h"
#include "edge/upstream_estimates.h"

namespace boragebridge {

struct PickerOptions {
  DataCentreId LocalDataCentre{};
  /// What an upstream of another data centre has to be faster by. Well above
  /// the way there: a flow across data centres also ends with a cut between
  /// them.
  Duration RemotePenalty = std::chrono::milliseconds(60);
  /// Expected times are multiplied by 1 to 1 + this.
  double CostJitter = 0.25;
};

class Picker final : public PlacementPolicy {
public:
  /// All references outlive the picker.
  Picker(const UpstreamDirectory &directory, UpstreamEstimates &estimates,
         ColdStartQuota &quota, RandomSource &random, PickerOptions opt);

  /// Notes the choice as work, trial or use of the cold share.
  auto pick(const RouteRecord &route, const UpstreamLifetime *except,
            TimePoint now) -> Pick override;
  /// The copy may arrive alone, so it counts against the cold share as well.
  auto onRetransmitted(const UpstreamLifetime &u, TimePoint now)
      -> void override;

private:
  auto pickOf(ServiceId service, const UpstreamLifetime *except, TimePoint now)
      -> Pick;
  auto classify(const UpstreamLifetime &u, ServiceId service,
                TimePoint now) const -> PickReason;
  auto cost(const UpstreamLifetime &u, TimePoint now) -> double;
  auto recordChoice(const Pick &p, TimePoint now) -> void;

  const UpstreamDirectory &Directory;
  UpstreamEstimates &Estimates;
  ColdStartQuota &Quota;
  RandomSource &Random;
  PickerOptions Options;
};

} // namespace boragebridge

#endif
