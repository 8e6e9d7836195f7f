#include "edge/picker.h"

namespace boragebridge {

Picker::Picker(const UpstreamDirectory &dir, UpstreamEstimates &est,
               ColdStartQuota &cold, RandomSource &random, PickerOptions opt)
    : Known(dir), Loads(est), Cold(cold), Random(random), Options(opt) {}

auto Picker::pick(const RouteRecord &route, const UpstreamLifetime *except,
                  TimePoint now) -> Pick {
  const auto first = chooseService(route, Random);
  const auto n = route.Services.size();
  Pick best;
  for (std::size_t i = 0; i < n && best.Chosen == nullptr; ++i)
    best = pickOf(route.Services[(first + i) % n].Service, except, now);
  if (best.Chosen == nullptr && except != nullptr &&
      Known.mayOpenAtWorst(*except, now))
    best = {except, PickReason::Avoided};
  note(best, now);
  return best;
}

auto Picker::pickOf(ServiceId service, const UpstreamLifetime *except,
                    TimePoint now) -> Pick {
  Pick best;
  auto bestCost = 0.0;
  for (const auto *it : Known.upstreamsOf(service)) {
    if (it == except)
      continue;
    const auto reason = classify(*it, service, now);
    if (reason == PickReason::None || reason > best.Reason)
      continue;
    const auto c = cost(*it, now);
    if (reason < best.Reason || c < bestCost) {
      best = {it, reason};
      bestCost = c;
    }
  }
  return best;
}

auto Picker::classify(const UpstreamLifetime &u, ServiceId service,
                      TimePoint now) const -> PickReason {
  if (!Known.mayOpenAtWorst(u, now))
    return PickReason::None;
  if (Known.isCold(u, now))
    return Cold.mayOpen(u, Known.coldPerSecond(service), now)
               ? PickReason::Cold
               : PickReason::None;
  if (!Known.mayOpen(u, now))
    return PickReason::Missing;
  return Loads.isAvoided(u, now) ? PickReason::Avoided : PickReason::Best;
}

auto Picker::cost(const UpstreamLifetime &u, TimePoint now) -> double {
  auto expected = Loads.expectedTime(u, now);
  if (u.Record.DataCentre != Options.LocalDataCentre)
    expected += Options.RemotePenalty;
  return static_cast<double>(expected.count()) *
         (1 + Options.RandomShare * Random.unit());
}

auto Picker::note(const Pick &p, TimePoint now) -> void {
  if (p.Chosen == nullptr)
    return;
  Loads.onRequestSent(*p.Chosen, now);
  if (Loads.hasStrikes(*p.Chosen))
    Loads.onTrial(*p.Chosen, now);
  onRetransmitted(*p.Chosen, now);
}

auto Picker::onRetransmitted(const UpstreamLifetime &u, TimePoint now) -> void {
  if (Known.isCold(u, now))
    Cold.onOpened(u, now);
}

} // namespace boragebridge
