#include "edge/load/load_aware_policy.h"

#include <algorithm>

namespace boragebridge {

auto LoadAwarePolicy::isUnderPressure(const RouteRecord &route) const -> bool {
  return Options.Parts.Limits &&
         std::any_of(route.Services.begin(), route.Services.end(),
                     [this](const auto &it) {
                       return Load.isUnderPressure(it.Service);
                     });
}

auto LoadAwarePolicy::pick(const Opening &o, TimePoint now) -> Pick {
  // The first transmission may have opened the flow already, through another
  // instance; only a flow that cannot be open is turned away.
  if (o.IsRetransmission || !isUnderPressure(o.Route))
    return Base.pick(o, now);
  const auto index = chooseService(o.Route, Random);
  const auto service = o.Route.Services[index].Service;
  if (!Load.isUnderPressure(service))
    return Base.pickFrom(o, index, now);
  const auto choice = choose(o.Route, service, now);
  if (choice.Local.Upstream == nullptr && choice.Remote.Upstream == nullptr)
    return Base.pickFrom(o, index, now);
  const auto mayTurnAway =
      Options.Parts.Admission &&
      o.Route.Priority >= Load.leastUrgentPriority(service, now);
  // Without these choices the pressure would return at once.
  if (choice.LocalWithRoom.Upstream != choice.Local.Upstream)
    Load.holdPressure(service, now);
  const auto *u = decide(choice, mayTurnAway);
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

auto LoadAwarePolicy::choose(const RouteRecord &route, ServiceId service,
                             TimePoint now) -> Choice {
  const auto &subset = Subsets.of(service, now);
  const auto reservedFrom = [&](unsigned priority) {
    return Options.Parts.Admission ? Load.reservedShare(service, priority, now)
                                   : 0;
  };
  const auto reserved = reservedFrom(route.Priority);
  Choice out;
  for (const auto &it : subset.Used)
    if (it.Position > reserved)
      consider(it, service, now, out);
  // Other local upstreams, if those of the subset are all reserved, or full
  // while the upstreams refuse hardly anything: then this instance has more
  // than its share of the callers.
  const auto needsMore =
      out.Local.Upstream == nullptr || (out.LocalWithRoom.Upstream == nullptr &&
                                        Load.areRefusalsRare(service, now));
  if (needsMore)
    considerMore(subset, reserved, service, now, out);
  // Upstreams that less urgent routes leave are there for this one.
  const auto reservedFromLeast =
      reservedFrom(Load.leastUrgentPriority(service, now));
  for (const auto &it : subset.Local) {
    if (it.Position > reservedFromLeast)
      break;
    if (it.Position > reserved)
      consider(it, service, now, out);
  }
  return out;
}

auto LoadAwarePolicy::considerMore(const ServiceSubset &subset, double reserved,
                                   ServiceId service, TimePoint now,
                                   Choice &out) -> void {
  constexpr std::size_t MoreUpstreams = 8;
  const auto n = subset.Local.size();
  const auto first = n == 0 ? 0 : Random.below(n);
  for (std::size_t i = 0; i < std::min(n, MoreUpstreams); ++i)
    if (const auto &it = subset.Local[(first + i) % n]; it.Position > reserved)
      consider(it, service, now, out);
}

auto LoadAwarePolicy::consider(const SubsetUpstream &it, ServiceId service,
                               TimePoint now, Choice &out) -> void {
  if (Base.classify(*it.Upstream, service, now) != PickReason::Best)
    return;
  const Candidate c{it.Upstream, cost(it, now)};
  const auto keepBetter = [&c](Candidate &best) {
    if (best.Upstream == nullptr || c.Cost < best.Cost)
      best = c;
  };
  const auto hasRoom = Load.limits().hasRoom(*it.Upstream, now);
  keepBetter(it.IsRemote ? out.Remote : out.Local);
  if (hasRoom)
    keepBetter(it.IsRemote ? out.RemoteWithRoom : out.LocalWithRoom);
}

auto LoadAwarePolicy::cost(const SubsetUpstream &it, TimePoint now) -> double {
  const auto &u = *it.Upstream;
  const auto response =
      static_cast<double>(Load.limits().responseTime(u, now).count());
  // The other senders are assumed to have as many requests in progress.
  const auto waiting = Load.limits().inProgress(u, now) * it.Senders /
                       static_cast<double>(u.Record.Slots);
  const auto penalty =
      it.IsRemote ? static_cast<double>(Options.RemotePenalty.count()) : 0;
  return (response * (1 + waiting) + penalty) *
         (1 + Options.CostJitter * Random.unit());
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
