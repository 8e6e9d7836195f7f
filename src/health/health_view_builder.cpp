#include "health/health_view_builder.h"

#include "health/speed.h"

#include <algorithm>

namespace boragebridge {

namespace {

using EntryList = std::vector<const UpstreamEntry *>;

/// The state of one call of buildHealthView.
class ViewBuilder {
public:
  ViewBuilder(const UpstreamRegistry &all, const Ownership &roles,
              bool isSynchronized, TimePoint now)
      : Registry(all), Roles(roles), IsSynchronized(isSynchronized), Now(now) {}

  auto build() -> BuiltView {
    std::unordered_map<ServiceId, EntryList> byService;
    for (const auto &[id, e] : Registry.entries()) {
      Result.View.Upstreams.emplace(id, healthOf(id, e));
      if (e.isActive())
        byService[e.Config.Service].push_back(&e);
    }
    for (auto &[service, entries] : byService) {
      setSpeeds(entries);
      applyUsableFloor(service, entries);
    }
    for (const auto &[id, h] : Result.View.Upstreams) {
      Result.Cold += h.Fitness == UpstreamFitness::Cold ? 1 : 0;
      Result.ChangesWithTime = Result.ChangesWithTime ||
                               h.Fitness == UpstreamFitness::Cold ||
                               h.Fitness == UpstreamFitness::Warming;
      Result.Unfit += h.Fitness == UpstreamFitness::Unfit ? 1 : 0;
    }
    std::sort(Result.AtFloor.begin(), Result.AtFloor.end());
    return std::move(Result);
  }

private:
  auto healthOf(UpstreamId id, const UpstreamEntry &e) const -> UpstreamHealth {
    constexpr double Percent = 100;
    const auto &status = e.Assessor.status();
    UpstreamHealth h{status.Fitness, status.RampPercent / Percent,
                     static_cast<double>(e.Config.SpeedPercent), false};
    if (e.IsWithdrawn) {
      h.Fitness = UpstreamFitness::Unfit;
      h.Ramp = 0;
      return h;
    }
    if (e.isTreatedAsCold(Now)) {
      h.Fitness = UpstreamFitness::Cold;
      h.Ramp = ColdRamp;
      return h;
    }
    if (status.Fitness == UpstreamFitness::Cold ||
        status.Fitness == UpstreamFitness::Warming) {
      h.Ramp = e.Assessor.isBackingOff(Now) ? 0 : std::max(ColdRamp, h.Ramp);
      h.MayAdmit = e.isActive() && mayWarmUp(id, e);
      return h;
    }
    h.MayAdmit = e.isActive() && status.Fitness == UpstreamFitness::Ready;
    return h;
  }

  /// Returns true if this instance is the one that may send work to the cold
  /// upstream \p id.
  auto mayWarmUp(UpstreamId id, const UpstreamEntry &e) const -> bool {
    const auto *role = Roles.find(id);
    return IsSynchronized && role != nullptr && role->IsOwner && e.OwnerSince &&
           Now - *e.OwnerSince >= NewOwnerDelay &&
           !e.Assessor.isBackingOff(Now);
  }

  auto setSpeeds(const EntryList &entries) -> void {
    std::vector<SpeedSource> sources;
    for (const auto *e : entries)
      sources.push_back({e->Config.SpeedPercent, e->Assessor.status().Latency});
    const auto speeds = deriveSpeeds(sources);
    for (std::size_t i = 0; i < entries.size(); ++i)
      Result.View.Upstreams[entries[i]->Config.Id].SpeedPercent = speeds[i];
  }

  auto applyUsableFloor(ServiceId service, const EntryList &entries) -> void {
    EntryList unfit;
    for (const auto *e : entries)
      if (e->Assessor.status().Fitness == UpstreamFitness::Unfit)
        unfit.push_back(e);
    auto usable = entries.size() - unfit.size();
    const auto required =
        MinimumUsableShare * static_cast<double>(entries.size());
    if (static_cast<double>(usable) >= required)
      return;
    Result.AtFloor.push_back(service);
    std::sort(unfit.begin(), unfit.end(), [](const auto *a, const auto *b) {
      return std::pair(a->Assessor.status().UnfitByTimeouts, a->Config.Id) <
             std::pair(b->Assessor.status().UnfitByTimeouts, b->Config.Id);
    });
    for (const auto *e : unfit) {
      const auto isNeeded = static_cast<double>(usable) < required;
      if (!isNeeded || (e->Assessor.status().UnfitByTimeouts && usable > 0))
        return;
      auto &h = Result.View.Upstreams[e->Config.Id];
      h.Fitness = UpstreamFitness::Ready;
      h.Ramp = 1;
      h.MayAdmit = true;
      ++usable;
    }
  }

  const UpstreamRegistry &Registry;
  const Ownership &Roles;
  bool IsSynchronized;
  TimePoint Now;
  BuiltView Result;
};

} // namespace

auto buildHealthView(const UpstreamRegistry &all, const Ownership &roles,
                     bool isSynchronized, TimePoint now) -> BuiltView {
  return ViewBuilder(all, roles, isSynchronized, now).build();
}

} // namespace boragebridge
