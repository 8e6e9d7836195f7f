#include "edge/picker.h"

#include <algorithm>

namespace boragebridge {

Picker::Picker(const UpstreamDirectory &directory, UpstreamEstimates &estimates,
               ColdStartQuota &quota, RandomSource &random, PickerOptions opt)
    : Directory(directory), Estimates(estimates), Quota(quota), Random(random),
      Options(opt) {}

auto Picker::pick(const Opening &o, TimePoint now) -> Pick {
  return pickFrom(o, chooseService(o.Route, Random), now);
}

auto Picker::pickFrom(const Opening &o, std::size_t first, TimePoint now)
    -> Pick {
  const auto &services = o.Route.Services;
  const auto n = services.size();
  Pick best;
  for (std::size_t i = 0; i < n && best.Upstream == nullptr; ++i)
    best = pickOf(services[(first + i) % n].Service, Random, now);
  recordChoice(best, now);
  return best;
}

auto Picker::preview(ServiceId service, TimePoint now) const -> Pick {
  EqualFactors equal;
  return pickOf(service, equal, now);
}

auto Picker::hasOther(const RouteRecord &route, const UpstreamLifetime &u,
                      TimePoint now) const -> bool {
  const auto isOther = [&](const auto &service, const auto *it) {
    const auto reason = classify(*it, service, now);
    return it != &u &&
           (reason == PickReason::Best || reason == PickReason::Cold);
  };
  return std::any_of(
      route.Services.begin(), route.Services.end(), [&](const auto &s) {
        const auto &all = Directory.upstreamsOf(s.Service);
        return std::any_of(all.begin(), all.end(), [&](const auto *it) {
          return isOther(s.Service, it);
        });
      });
}

auto Picker::pickOf(ServiceId service, RandomSource &random,
                    TimePoint now) const -> Pick {
  Pick best;
  auto bestCost = 0.0;
  for (const auto *it : Directory.upstreamsOf(service)) {
    const auto reason = classify(*it, service, now);
    if (reason == PickReason::None || reason > best.Reason)
      continue;
    const auto c = cost(*it, random, now);
    if (reason < best.Reason || c < bestCost) {
      best = {it, reason};
      bestCost = c;
    }
  }
  return best;
}

auto Picker::classify(const UpstreamLifetime &u, ServiceId service,
                      TimePoint now) const -> PickReason {
  if (!Directory.mayOpenAsLastResort(u, now))
    return PickReason::None;
  if (Directory.isCold(u, now))
    return Quota.mayOpen(u, Directory.coldPerSecond(service), now)
               ? PickReason::Cold
               : PickReason::None;
  if (!Directory.mayOpen(u, now))
    return PickReason::Missing;
  return Estimates.isAvoided(u, now) ? PickReason::Avoided : PickReason::Best;
}

auto Picker::expectedTime(const UpstreamLifetime &u, TimePoint now) const
    -> ExactTime {
  return Estimates.expectedTime(u, now) +
         (isRemote(u) ? Options.RemotePenalty : Duration::zero());
}

auto Picker::cost(const UpstreamLifetime &u, RandomSource &random,
                  TimePoint now) const -> double {
  return expectedTime(u, now).count() *
         (1 + Options.CostJitter * random.unit());
}

auto Picker::recordChoice(const Pick &p, TimePoint now) -> void {
  if (p.Upstream == nullptr)
    return;
  Estimates.onRequestSent(*p.Upstream, now);
  if (Estimates.hasFailures(*p.Upstream))
    Estimates.onTrial(*p.Upstream, now);
  onRetransmitted(*p.Upstream, now);
}

auto Picker::onRetransmitted(const UpstreamLifetime &u, TimePoint now) -> void {
  if (Directory.isCold(u, now))
    Quota.onOpened(u, now);
}

} // namespace boragebridge
