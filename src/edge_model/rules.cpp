#include "edge_model/rules.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace boragebridge::edge_model {

auto toString(Rule r) -> std::string_view {
  static constexpr std::array<std::string_view,
                              static_cast<std::size_t>(Rule::Count)>
      Names{"drain", "withdrawal", "configuration", "service",
            "cold",  "reset",      "aside",         "once"};
  return r < Rule::Count ? Names.at(static_cast<std::size_t>(r)) : "unknown";
}

auto RuleChecker::total() const -> std::uint64_t {
  return std::accumulate(Counts.begin(), Counts.end(), std::uint64_t{});
}

auto RuleChecker::recordViolation(Rule r, std::string what, TimePoint now)
    -> void {
  ++Counts.at(static_cast<std::size_t>(r));
  if (Violations.size() < MaxViolations)
    Violations.push_back({r, now, std::move(what)});
}

auto RuleChecker::isInstanceUnaffected(const std::string &instance,
                                       TimePoint now) const -> bool {
  return Faults.isUnaffected(instance, now, Limits.RecoveryTime) &&
         Faults.isUnaffected(store(), now, Limits.RecoveryTime);
}

auto RuleChecker::isOverdue(const std::optional<TimePoint> &since,
                            Duration limit, const std::string &instance,
                            TimePoint now) const -> bool {
  return since && now - *since > limit && isInstanceUnaffected(instance, now);
}

auto RuleChecker::onDrainAccepted(const std::string &upstream, TimePoint now)
    -> void {
  // The bound counts only from an acknowledgement of a store that no fault
  // affects.
  if (Faults.isUnaffected(store(), now, Limits.RecoveryTime))
    DrainingSince.emplace(upstream, now);
}

auto RuleChecker::onWithdrawn(DataCentreId d, bool withdrawn, TimePoint now)
    -> void {
  if (withdrawn)
    WithdrawnSince[d] = now;
  else
    WithdrawnSince.erase(d);
}

auto RuleChecker::onRoutes(const EdgeConfiguration &c, TimePoint now) -> void {
  std::set<Endpoint> present;
  for (const auto &it : c.Routes) {
    present.insert(it.Address);
    auto &route = Routes[it.Address];
    if (const auto service = it.Services.front().Service;
        route.Service != service) {
      route.FormerServices.insert(std::exchange(route.Service, service));
      route.FormerServices.erase(service);
      route.ServiceSince = now;
    }
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

auto RuleChecker::checkOpening(const ModelUpstream &u, const CallerPacket &p,
                               const std::string &instance, TimePoint now)
    -> void {
  const auto r = u.record();
  const auto text = r.Name + " from " + instance;
  checkRoute(r, p, instance, now);
  if (const auto it = DrainingSince.find(r.Name);
      it != DrainingSince.end() &&
      isOverdue(it->second, Limits.Drain, instance, now))
    recordViolation(Rule::Drain, text, now);
  if (const auto it = WithdrawnSince.find(r.DataCentre);
      it != WithdrawnSince.end() &&
      isOverdue(it->second, Limits.Withdrawal, instance, now))
    recordViolation(Rule::Withdrawal, text, now);
  if (u.isCold())
    checkCold(u, now);
}

auto RuleChecker::checkRoute(const UpstreamRecord &u, const CallerPacket &p,
                             const std::string &instance, TimePoint now)
    -> void {
  const auto text = u.Name + " from " + instance;
  const auto it = Routes.find(p.Header.Flow.Service);
  if (it == Routes.end())
    return recordViolation(Rule::Service, text, now);
  const auto &route = it->second;
  if (isOverdue(route.Removed, Limits.Configuration, instance, p.SentAt))
    return recordViolation(Rule::Configuration,
                           "removed route served by " + text, now);
  if (route.Service == u.Service)
    return;
  if (!route.FormerServices.contains(u.Service))
    return recordViolation(Rule::Service, text, now);
  if (isOverdue(route.ServiceSince, Limits.Configuration, instance, p.SentAt))
    recordViolation(Rule::Configuration, "former service of route, " + text,
                    now);
}

auto RuleChecker::checkCold(const ModelUpstream &u, TimePoint now) -> void {
  const auto name = u.record().Name;
  auto &all = RecentColdOpenings[name];
  while (!all.empty() && now - all.front() > std::chrono::seconds(1))
    all.pop_front();
  all.push_back(now);
  if (all.size() > Limits.ColdPerSecond)
    recordViolation(
        Rule::Cold,
        name + " got new flows within 1 s: " + std::to_string(all.size()), now);
}

auto RuleChecker::checkReset(const CallerPacket &p, const std::string &instance,
                             EdgeReason reason, TimePoint now) -> void {
  const auto route = Routes.find(p.Header.Flow.Service);
  const auto isConfigured = route != Routes.end() && route->second.Added;
  if (reason == EdgeReason::NoRoute && isConfigured && p.Header.Opens &&
      isOverdue(route->second.Added, Limits.Configuration, instance, p.SentAt))
    recordViolation(Rule::Configuration, "route refused by " + instance, now);
  const auto flow = OpenFlows.find(p.Header.Flow);
  if (flow == OpenFlows.end() || !isConfigured)
    return;
  const auto &assigned = *flow->second.Upstream;
  const auto r = assigned.record();
  if (assigned.state() == UpstreamState::Running &&
      assigned.isOpen(p.Header.Flow) &&
      !WithdrawnSince.contains(r.DataCentre) &&
      Faults.isUnaffected(r.Name, now, Limits.RecoveryTime) &&
      isInstanceUnaffected(instance, now))
    recordViolation(Rule::Reset,
                    "open flow at " + r.Name + " reset by " + instance + ", " +
                        std::string(boragebridge::toString(reason)),
                    now);
}

auto RuleChecker::checkPacket(const ModelUpstream &u, const CallerPacket &p,
                              bool hasFlow, TimePoint now) -> void {
  if (hasFlow) {
    OpenFlows[p.Header.Flow] = {&u, 0, {}};
    return;
  }
  const auto it = OpenFlows.find(p.Header.Flow);
  if (it == OpenFlows.end())
    return;
  auto &flow = it->second;
  if (!flow.Upstream->isOpen(p.Header.Flow) ||
      !Faults.isUnaffected(flow.Upstream->record().Name, now,
                           Limits.RecoveryTime))
    return;
  if (flow.Misrouted++ == 0)
    flow.FirstMisroutedAt = now;
  if (flow.Misrouted >= Limits.MisroutedPackets &&
      now - flow.FirstMisroutedAt >= Limits.FlowAffinity)
    recordViolation(Rule::FlowAffinity,
                    "packets of a flow of " + flow.Upstream->record().Name +
                        " reached " + u.record().Name,
                    now);
}

auto RuleChecker::checkRun(const Request &r, TimePoint now) -> void {
  if (!r.Idempotent && r.Runs > 1)
    recordViolation(Rule::AtMostOnce,
                    "repeated run of request " + std::to_string(r.Number), now);
}

} // namespace boragebridge::edge_model
