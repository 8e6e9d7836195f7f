#include "health/health_view_builder.h"

#include "health/speed.h"

#include <algorithm>

namespace boragebridge {

namespace {

using EntryList = std::vector<const UpstreamEntry *>;

/// One call of buildHealthView.
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
        byService[e.Source.Service].push_back(&e);
    }
    for (auto &[service, entries] : byService) {
      setSpeeds(entries);
      keepFloor(service, entries);
    }
    for (const auto &[id, h] : Result.View.Upstreams) {
      Result.Cold += h.Fitness == UpstreamFitness::Cold ? 1 : 0;
      Result.IsTransient = Result.IsTransient ||
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
    const auto &o = e.State.opinion();
    UpstreamHealth h{o.Fitness, o.RampPercent / Percent,
                     static_cast<double>(e.Source.SpeedPercent), false};
    if (e.IsWithdrawn) {
      h.Fitness = UpstreamFitness::Unfit;
      h.Ramp = 0;
      return h;
    }
    if (e.isHeld(Now)) {
      h.Fitness = UpstreamFitness::Cold;
      h.Ramp = ColdRamp;
      return h;
    }
    if (o.Fitness == UpstreamFitness::Cold ||
        o.Fitness == UpstreamFitness::Warming) {
      h.Ramp = e.State.isWaiting(Now) ? 0 : std::max(ColdRamp, h.Ramp);
      h.MayAdmit = e.isActive() && mayWarmUp(id, e);
      return h;
    }
    h.MayAdmit = e.isActive() && o.Fitness == UpstreamFitness::Ready;
    return h;
  }

  /// True when this instance is the one that may send work to cold \p id.
  auto mayWarmUp(UpstreamId id, const UpstreamEntry &e) const -> bool {
    const auto *role = Roles.find(id);
    return IsSynchronized && role != nullptr && role->IsOwner && e.OwnerSince &&
           Now - *e.OwnerSince >= OwnerSettleTime && !e.State.isWaiting(Now);
  }

  auto setSpeeds(const EntryList &entries) -> void {
    std::vector<SpeedSource> sources;
    for (const auto *e : entries)
      sources.push_back({e->Source.SpeedPercent, e->State.opinion().Latency});
    const auto speeds = deriveSpeeds(sources);
    for (std::size_t i = 0; i < entries.size(); ++i)
      Result.View.Upstreams[entries[i]->Source.Id].SpeedPercent = speeds[i];
  }

  auto keepFloor(ServiceId service, const EntryList &entries) -> void {
    EntryList unfit;
    for (const auto *e : entries)
      if (e->State.opinion().Fitness == UpstreamFitness::Unfit)
        unfit.push_back(e);
    auto usable = entries.size() - unfit.size();
    const auto wanted =
        MinimumUsableShare * static_cast<double>(entries.size());
    if (static_cast<double>(usable) >= wanted)
      return;
    Result.AtFloor.push_back(service);
    std::sort(unfit.begin(), unfit.end(), [](const auto *a, const auto *b) {
      return std::pair(a->State.opinion().PathSilent, a->Source.Id) <
             std::pair(b->State.opinion().PathSilent, b->Source.Id);
    });
    for (const auto *e : unfit) {
      const auto isNeeded = static_cast<double>(usable) < wanted;
      if (!isNeeded || (e->State.opinion().PathSilent && usable > 0))
        return;
      auto &h = Result.View.Upstreams[e->Source.Id];
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
