#include "edge/load/load_aware_policy.h"

#include <algorithm>

namespace boragebridge {

auto LoadAwarePolicy::isUnderPressure(const RouteRecord &route) const -> bool {
  return std::any_of(
      route.Services.begin(), route.Services.end(),
      [this](const auto &it) { return isUnderPressure(it.Service); });
}

auto LoadAwarePolicy::mayTurnAway(const RouteRecord &route, ServiceId service,
                                  TimePoint now) const -> bool {
  return Options.Parts.Admission &&
         route.Priority >= Load.leastUrgentPriority(service, now) &&
         !Load.areUpstreamsKeepingUp(service, now);
}

auto LoadAwarePolicy::pick(const Opening &o, TimePoint now) -> Pick {
  // Only a flow that cannot be open is turned away.
  if (o.IsRetransmission || !isUnderPressure(o.Route))
    return Base.pick(o, now);
  const auto index = chooseService(o.Route, Random);
  const auto service = o.Route.Services[index].Service;
  if (!isUnderPressure(service))
    return Base.pickFrom(o, index, now);
  const auto choice =
      choose(Subsets.of(service, now), reservedShares(o.Route, service, now),
             service, Random, now);
  if (choice.isEmpty())
    return Base.pickFrom(o, index, now);
  // Without these choices the pressure would return at once.
  if (choice.LocalWithRoom.Upstream != choice.Local.Upstream)
    Load.holdPressure(service, now);
  const auto *u = decide(choice, mayTurnAway(o.Route, service, now));
  if (u == nullptr)
    return turnAway(o.Route, service, choice, now);
  const Pick p{u, PickReason::Best};
  Base.recordChoice(p, now);
  return p;
}

auto LoadAwarePolicy::turnAway(const RouteRecord &route, ServiceId service,
                               const Choice &c, TimePoint now) -> Pick {
  const auto &u =
      c.Local.Upstream != nullptr ? *c.Local.Upstream : *c.Remote.Upstream;
  LastTurnedAway = {route.Priority,
                    u.Record.Name,
                    Load.limits().inProgress(u, now),
                    Load.limits().limit(u),
                    Load.missedShare(service),
                    Load.reservedShare(service, route.Priority, now)};
  Load.onTurnedAway(route, service, now);
  return {nullptr, PickReason::Full};
}

auto LoadAwarePolicy::preview(const RouteRecord &route, ServiceId service,
                              TimePoint now) const -> PlacementPreview {
  const auto subset = Subsets.preview(service, now);
  const auto reserved = reservedShares(route, service, now);
  PlacementPreview out;
  out.IsUnderPressure = isUnderPressure(service);
  out.ReservedShare = reserved.FromRoute;
  out.Upstreams = previewUpstreams(subset, reserved, now);
  EqualFactors equal;
  const auto choice = choose(subset, reserved, service, equal, now);
  out.IsPickers = !out.IsUnderPressure || choice.isEmpty();
  if (out.IsPickers) {
    out.Chosen = Base.preview(service, now);
    return out;
  }
  const auto *u = decide(choice, mayTurnAway(route, service, now));
  out.Chosen = {u, u == nullptr ? PickReason::Full : PickReason::Best};
  return out;
}

auto LoadAwarePolicy::previewUpstreams(const ServiceSubset &subset,
                                       const ReservedShares &r,
                                       TimePoint now) const
    -> std::vector<PreviewedUpstream> {
  std::vector<PreviewedUpstream> out;
  std::unordered_map<const UpstreamLifetime *, std::size_t> known;
  const auto add = [&](const SubsetUpstream &it, bool isUsed) {
    const auto expected = expectedTime(it, now);
    const auto [at, isNew] = known.emplace(it.Upstream, out.size());
    if (isNew)
      out.push_back(
          {it.Upstream, isUsed, it.Position <= r.FromRoute, expected});
    else if (isUsed)
      out[at->second].Expected = std::min(out[at->second].Expected, expected);
  };
  visitUsed(subset, r, [&](const auto &it) { add(it, true); });
  for (const auto &it : subset.Local)
    add(it, false);
  return out;
}

auto LoadAwarePolicy::reservedShares(const RouteRecord &route,
                                     ServiceId service, TimePoint now) const
    -> ReservedShares {
  if (!Options.Parts.Admission)
    return {};
  return {
      Load.reservedShare(service, route.Priority, now),
      Load.reservedShare(service, Load.leastUrgentPriority(service, now), now)};
}

template <typename F>
auto LoadAwarePolicy::visitUsed(const ServiceSubset &subset,
                                const ReservedShares &r, F f) -> void {
  for (const auto &it : subset.Used)
    f(it);
  // Upstreams that less urgent routes leave are there for more urgent ones.
  for (const auto &it : subset.Local) {
    if (it.Position > r.FromLeastUrgent)
      break;
    f(it);
  }
}

auto LoadAwarePolicy::choose(const ServiceSubset &subset,
                             const ReservedShares &r, ServiceId service,
                             RandomSource &random, TimePoint now) const
    -> Choice {
  Choice out;
  visitUsed(subset, r, [&](const auto &it) {
    if (it.Position > r.FromRoute)
      consider(it, service, random, now, out);
  });
  // Other local upstreams, if those of the subset are all reserved, or full
  // while the upstreams refuse hardly anything: then this instance has more
  // than its share of the callers.
  const auto needsMore = out.Local.Upstream == nullptr ||
                         (out.LocalWithRoom.Upstream == nullptr &&
                          Load.areUpstreamsKeepingUp(service, now));
  if (needsMore)
    considerMore(subset, r, service, random, now, out);
  return out;
}

auto LoadAwarePolicy::considerMore(const ServiceSubset &subset,
                                   const ReservedShares &r, ServiceId service,
                                   RandomSource &random, TimePoint now,
                                   Choice &out) const -> void {
  constexpr std::size_t MoreUpstreams = 8;
  const auto n = subset.Local.size();
  const auto first = n == 0 ? 0 : random.below(n);
  for (std::size_t i = 0; i < std::min(n, MoreUpstreams); ++i)
    if (const auto &it = subset.Local[(first + i) % n];
        it.Position > r.FromRoute)
      consider(it, service, random, now, out);
}

auto LoadAwarePolicy::consider(const SubsetUpstream &it, ServiceId service,
                               RandomSource &random, TimePoint now,
                               Choice &out) const -> void {
  if (Base.classify(*it.Upstream, service, now) != PickReason::Best)
    return;
  const Candidate c{it.Upstream, expectedTime(it, now).count() *
                                     (1 + Options.CostJitter * random.unit())};
  const auto keepBetter = [&c](Candidate &best) {
    if (best.Upstream == nullptr || c.Cost < best.Cost)
      best = c;
  };
  const auto hasRoom = Load.limits().hasRoom(*it.Upstream, now);
  keepBetter(it.IsRemote ? out.Remote : out.Local);
  if (hasRoom)
    keepBetter(it.IsRemote ? out.RemoteWithRoom : out.LocalWithRoom);
}

auto LoadAwarePolicy::expectedTime(const SubsetUpstream &it,
                                   TimePoint now) const -> ExactTime {
  const auto &u = *it.Upstream;
  const ExactTime response = Load.limits().responseTime(u, now);
  // The other senders are assumed to have as many requests in progress.
  const auto waiting = Load.limits().inProgress(u, now) * it.Senders /
                       static_cast<double>(u.Record.Slots);
  const auto penalty = it.IsRemote ? Options.RemotePenalty : Duration::zero();
  return response * (1 + waiting) + penalty;
}

auto LoadAwarePolicy::decide(const Choice &c, bool mayTurnAway) const
    -> const UpstreamLifetime * {
  const auto hasLocal = c.Local.Upstream != nullptr;
  const auto isRemoteFaster = [&](const Candidate &remote) {
    return remote.Upstream != nullptr &&
           (!hasLocal ||
            (Options.Parts.Overflow && remote.Cost < c.Local.Cost));
  };
  if (isRemoteFaster(c.RemoteWithRoom))
    return c.RemoteWithRoom.Upstream;
  if (c.LocalWithRoom.Upstream != nullptr)
    return c.LocalWithRoom.Upstream;
  if (Options.Parts.Overflow && c.RemoteWithRoom.Upstream != nullptr)
    return c.RemoteWithRoom.Upstream;
  if (mayTurnAway)
    return nullptr;
  return isRemoteFaster(c.Remote) ? c.Remote.Upstream : c.Local.Upstream;
}

} // namespace boragebridge
