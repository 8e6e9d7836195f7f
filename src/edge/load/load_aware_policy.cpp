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
  const auto service = o.Route.Services[chooseService(o.Route, Random)].Service;
  if (!Load.isUnderPressure(service))
    return Base.pick(o, now);
  const auto choice = choose(o.Route, service, now);
  if (choice.Local.Upstream == nullptr && choice.Remote.Upstream == nullptr)
    return Base.pick(o, now);
  const auto mayTurnAway =
      Options.Parts.Admission &&
      o.Route.Priority >= Load.leastUrgentPriority(service, now);
  const auto *u = decide(choice, mayTurnAway);
  if (u == nullptr) {
    Load.onTurnedAway(service, now);
    return {nullptr, PickReason::Full};
  }
  const Pick p{u, PickReason::Best};
  Base.recordChoice(p, now);
  return p;
}

auto LoadAwarePolicy::choose(const RouteRecord &route, ServiceId service,
                             TimePoint now) -> Choice {
  const auto &subset = Subsets.of(service, now);
  const auto reservedFrom = [&](unsigned priority) {
    return Options.Parts.Admission ? Load.reservedShare(service, priority, now)
                                   : 0;
  };
  const auto kept = reservedFrom(route.Priority);
  Choice out;
  for (const auto &it : subset.Used)
    if (it.Position > kept)
      consider(it, service, now, out);
  // Upstreams that less urgent routes leave are there for this one.
  const auto spared = reservedFrom(Load.leastUrgentPriority(service, now));
  for (const auto &it : subset.Local) {
    if (it.Position > spared)
      break;
    if (it.Position > kept)
      consider(it, service, now, out);
  }
  return out;
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
  if (mayTurnAway)
    return nullptr;
  return isRemoteFaster(c.Remote) ? c.Remote.Upstream : c.Local.Upstream;
}

} // namespace boragebridge
