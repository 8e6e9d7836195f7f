#include "edge_model/rules.h"

#include <algorithm>
#include <numeric>

namespace boragebridge::edge_model {

auto toString(Rule r) -> std::string_view {
  static constexpr std::array<std::string_view,
                              static_cast<std::size_t>(Rule::Count)>
      Names{"drain", "withdrawal", "configuration", "service",
            "cold",  "reset",      "aside",         "once"};
  return r < Rule::Count ? Names.at(static_cast<std::size_t>(r)) : "unknown";
}

auto Rules::total() const -> std::uint64_t {
  return std::accumulate(Counts.begin(), Counts.end(), std::uint64_t{});
}

auto Rules::fail(Rule r, std::string what, TimePoint now) -> void {
  ++Counts.at(static_cast<std::size_t>(r));
  if (Found.size() < MaxBreaches)
    Found.push_back({r, now, std::move(what)});
}

auto Rules::isInTouch(const std::string &instance, TimePoint now) const
    -> bool {
  return Parts.isCalm(instance, now, Limits.Calm) &&
         Parts.isCalm(store(), now, Limits.Calm);
}

auto Rules::isOverdue(const std::optional<TimePoint> &since, Duration limit,
                      const std::string &instance, TimePoint now) const
    -> bool {
  return since && now - *since > limit && isInTouch(instance, now);
}

auto Rules::onDrainAccepted(const std::string &upstream, TimePoint now)
    -> void {
  // The bound runs from an acknowledgement of a store that is calm.
  if (Parts.isCalm(store(), now, Limits.Calm))
    Draining.emplace(upstream, now);
}

auto Rules::onWithdrawn(DataCentreId d, bool withdrawn, TimePoint now) -> void {
  if (withdrawn)
    Withdrawn[d] = now;
  else
    Withdrawn.erase(d);
}

auto Rules::onRoutes(const EdgeConfiguration &c, TimePoint now) -> void {
  std::set<Endpoint> present;
  for (const auto &it : c.Routes) {
    present.insert(it.Address);
    auto &route = Routes[it.Address];
    route.Service = it.Services.front().Service;
    route.Removed.reset();
    if (!route.Added)
      route.Added = now;
  }
  for (auto &[address, route] : Routes) {
    if (present.contains(address) || route.Removed)
      continue;
    route.Removed = now;
    route.Added.reset();
  }
}

auto Rules::judgeOpening(const ModelUpstream &u, const CallerPacket &p,
                         const std::string &instance, TimePoint now) -> void {
  const auto r = u.record();
  const auto text = r.Name + " from " + instance;
  const auto route = Routes.find(p.Header.Flow.Service);
  if (route == Routes.end() || route->second.Service != r.Service)
    fail(Rule::Service, text, now);
  else if (isOverdue(route->second.Removed, Limits.Configuration, instance,
                     p.SentAt))
    fail(Rule::Configuration, "dropped route served by " + text, now);
  if (const auto it = Draining.find(r.Name);
      it != Draining.end() &&
      isOverdue(it->second, Limits.Drain, instance, now))
    fail(Rule::Drain, text, now);
  if (const auto it = Withdrawn.find(r.DataCentre);
      it != Withdrawn.end() &&
      isOverdue(it->second, Limits.Withdrawal, instance, now))
    fail(Rule::Withdrawal, text, now);
  if (u.isCold())
    judgeCold(u, now);
}

auto Rules::judgeCold(const ModelUpstream &u, TimePoint now) -> void {
  const auto name = u.record().Name;
  auto &all = ColdOpenings[name];
  while (!all.empty() && now - all.front() > std::chrono::seconds(1))
    all.pop_front();
  all.push_back(now);
  if (all.size() > Limits.ColdPerSecond)
    fail(Rule::Cold, name + " got " + std::to_string(all.size()), now);
}

auto Rules::judgeReset(const CallerPacket &p, const std::string &instance,
                       EdgeReason why, TimePoint now) -> void {
  const auto route = Routes.find(p.Header.Flow.Service);
  const auto isThere = route != Routes.end() && route->second.Added;
  if (why == EdgeReason::NoRoute && isThere && p.Header.Opens &&
      isOverdue(route->second.Added, Limits.Configuration, instance, p.SentAt))
    fail(Rule::Configuration, "route refused by " + instance, now);
  const auto flow = Open.find(p.Header.Flow);
  if (flow == Open.end() || !isThere)
    return;
  const auto &owner = *flow->second.Owner;
  const auto r = owner.record();
  if (owner.state() == UpstreamState::Running && owner.isOpen(p.Header.Flow) &&
      !Withdrawn.contains(r.DataCentre) &&
      Parts.isCalm(r.Name, now, Limits.Calm) && isInTouch(instance, now))
    fail(Rule::Reset,
         "flow at " + r.Name + " by " + instance + ", " +
             std::string(boragebridge::toString(why)),
         now);
}

auto Rules::judgePacket(const ModelUpstream &u, const CallerPacket &p,
                        bool isHeld, TimePoint now) -> void {
  if (isHeld) {
    Open[p.Header.Flow] = {&u, 0, {}};
    return;
  }
  const auto it = Open.find(p.Header.Flow);
  if (it == Open.end())
    return;
  auto &flow = it->second;
  if (!flow.Owner->isOpen(p.Header.Flow) ||
      !Parts.isCalm(flow.Owner->record().Name, now, Limits.Calm))
    return;
  if (flow.Astray++ == 0)
    flow.FirstAstray = now;
  if (flow.Astray >= Limits.AsidePackets &&
      now - flow.FirstAstray >= Limits.Aside)
    fail(Rule::Aside,
         "flow of " + flow.Owner->record().Name + " at " + u.record().Name,
         now);
}

auto Rules::judgeRun(const Request &r, TimePoint now) -> void {
  if (!r.Idempotent && r.Runs > 1)
    fail(Rule::Once, "request " + std::to_string(r.Number), now);
}

} // namespace boragebridge::edge_model
