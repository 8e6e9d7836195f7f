#include "edge/picker.h"

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
  const auto &route = o.Route;
  const auto *except = o.Except;
  const auto n = route.Services.size();
  Pick best;
  for (std::size_t i = 0; i < n && best.Upstream == nullptr; ++i)
    best = pickOf(route.Services[(first + i) % n].Service, except, Random, now);
  if (best.Upstream == nullptr && except != nullptr &&
      Directory.mayOpenAsLastResort(*except, now))
    best = {except, PickReason::Avoided};
  recordChoice(best, now);
  return best;
}

auto Picker::preview(ServiceId service, TimePoint now) const -> Pick {
  EqualFactors equal;
  return pickOf(service, nullptr, equal, now);
}

auto Picker::pickOf(ServiceId service, const UpstreamLifetime *except,
                    RandomSource &random, TimePoint now) const -> Pick {
  Pick best;
  auto bestCost = 0.0;
  for (const auto *it : Directory.upstreamsOf(service)) {
    if (it == except)
      continue;
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
