#include "flow/proposer.h"

#include <algorithm>
#include <cmath>

namespace boragebridge {

namespace {

using UpstreamList = std::vector<const Upstream *>;

auto healthOf(const HealthView &health, UpstreamId id) -> UpstreamHealth {
  auto it = health.Upstreams.find(id);
  return it != health.Upstreams.end()
             ? it->second
             : UpstreamHealth{UpstreamFitness::Ready, 1, 100};
}

auto isFit(const HealthView &health, const Upstream *u) -> bool {
  return healthOf(health, u->Id).Fitness != UpstreamFitness::Unfit;
}

/// The fit upstreams of \p all, or all of them when too few are fit.
auto withoutUnfit(const HealthView &health, const UpstreamList &all)
    -> UpstreamList {
  constexpr double MinFitShare = 0.5;
  UpstreamList fit;
  for (const auto *u : all)
    if (isFit(health, u))
      fit.push_back(u);
  const auto enough = static_cast<double>(all.size()) * MinFitShare;
  return static_cast<double>(fit.size()) < enough ? all : fit;
}

auto capacityOf(const HealthView &health, const Upstream *u) -> double {
  constexpr double MinShare = 0.01;
  const auto h = healthOf(health, u->Id);
  const auto ramp = h.Fitness == UpstreamFitness::Unfit ? 1 : h.Ramp;
  const auto share = std::clamp(ramp, MinShare, 1.0);
  return std::max(1.0, u->SpeedPercent * h.SpeedPercent * share);
}

auto weightInUse(std::span<const WeightedUpstream> inUse, UpstreamId id)
    -> std::uint16_t {
  for (const auto &it : inUse)
    if (it.Id == id)
      return it.Weight;
  return 0;
}

/// The weight for a capacity of \p share of the fastest upstream. Keeps \p old,
/// the weight in use, unless the exact weight differs from it by more than a
/// tenth and by more than 0.75.
auto quantise(double share, std::uint16_t old) -> std::uint16_t {
  constexpr double Hysteresis = 0.1;
  const auto exact = share * FullWeight;
  if (old != 0 && std::abs(exact - old) <= std::max(0.75, old * Hysteresis))
    return old;
  return static_cast<std::uint16_t>(std::max(1.0, std::round(exact)));
}

} // namespace

auto groupUpstreams(const Configuration &cfg) -> ServiceUpstreams {
  ServiceUpstreams groups;
  for (const auto &s : cfg.Services)
    groups[s.Id];
  for (const auto &u : cfg.Upstreams)
    groups[u.Service].push_back(&u);
  return groups;
}

auto wantedPlacement(const Configuration &cfg, const HealthView &health,
                     DataCentreId dc, std::span<const Upstream *const> all,
                     std::span<const WeightedUpstream> inUse,
                     const QuarantineCheck &quarantined) -> WantedPlacement {
  UpstreamList local;
  UpstreamList remote;
  for (const auto *u : all) {
    if (u->Mode != UpstreamMode::Active || cfg.isWithdrawn(u->DataCentre) ||
        quarantined(*u))
      continue;
    (u->DataCentre == dc ? local : remote).push_back(u);
  }
  const auto fit = [&](const Upstream *u) { return isFit(health, u); };
  const auto localUsable = std::any_of(local.begin(), local.end(), fit);
  const auto remoteUsable = std::any_of(remote.begin(), remote.end(), fit);
  const auto useRemote = local.empty() || (!localUsable && remoteUsable);
  const auto chosen = withoutUnfit(health, useRemote ? remote : local);
  double fastest = 0;
  for (const auto *u : chosen)
    fastest = std::max(fastest, capacityOf(health, u));

  WantedPlacement wanted;
  for (const auto *u : chosen)
    wanted.Upstreams.push_back({u->Id, quantise(capacityOf(health, u) / fastest,
                                                weightInUse(inUse, u->Id))});
  std::sort(wanted.Upstreams.begin(), wanted.Upstreams.end(),
            [](const auto &a, const auto &b) { return a.Id < b.Id; });
  for (const auto &it : inUse)
    wanted.Urgent |= weightInUse(wanted.Upstreams, it.Id) == 0;
  return wanted;
}

} // namespace boragebridge
