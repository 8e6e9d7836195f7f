/// \file
/// The actions of SystemWorld that scenarios trigger.
#include "scenario/system_world.h"
#include "scenario/system_world_parts.h"

#include <algorithm>

namespace boragebridge::scenario {

auto SystemWorld::instanceNames() const -> std::vector<std::string> {
  return Requests->instanceNames();
}

auto SystemWorld::isRunning(const std::string &name) -> bool {
  return Requests->fleet().isRunning(name);
}

auto SystemWorld::kill(const std::string &name) -> void {
  recordUnplannedFault();
  resume(name);
  Requests->kill(name);
}

auto SystemWorld::pause(const std::string &name) -> void {
  recordUnplannedFault();
  Paused.insert(name);
  Faults.Paused.insert(idFromName<InstanceId>(name));
  Requests->setPaused(name, true);
}

auto SystemWorld::resume(const std::string &name) -> void {
  if (Paused.erase(name) == 0)
    return;
  LastDisruption = now();
  Faults.Paused.erase(idFromName<InstanceId>(name));
  Requests->setPaused(name, false);
}

auto SystemWorld::join(const std::string &name, const std::string &dc) -> void {
  LastDisruption = now();
  const auto &names = Requests->instanceNames();
  if (std::find(names.begin(), names.end(), name) != names.end())
    Requests->restart(name);
  else
    Requests->join(name, dc);
}

auto SystemWorld::leave(const std::string &name) -> void {
  Requests->beginStop(name);
}

auto SystemWorld::hostNames() const -> std::vector<std::string> {
  std::vector<std::string> names;
  for (const auto &it : Requests->configuration().Upstreams)
    names.push_back(it.Name);
  return names;
}

auto SystemWorld::hasHost(const std::string &name) const -> bool {
  return hostIndex(name) < Requests->hostCount();
}

auto SystemWorld::hostIndex(const std::string &name) const -> std::size_t {
  const auto &all = Requests->configuration().Upstreams;
  const auto it = std::find_if(all.begin(), all.end(), [&](const Upstream &u) {
    return u.Name == name;
  });
  return static_cast<std::size_t>(it - all.begin());
}

auto SystemWorld::host(const std::string &name) -> fakes::UpstreamModel & {
  return Requests->host(hostIndex(name));
}

auto SystemWorld::killHost(const std::string &name) -> void {
  recordUnplannedFault();
  excuseFlows(hostIndex(name));
  host(name).kill(now());
}

auto SystemWorld::restartHost(const std::string &name) -> void {
  recordUnplannedFault();
  excuseFlows(hostIndex(name));
  host(name).restart(now());
}

auto SystemWorld::drain(const std::string &name) -> void {
  operate({{OperationKind::Drain, "upstream/" + name, {}}}, [this, name] {
    host(name).expectNoNewWork(now() + EffectTimeLimit);
  });
}

auto SystemWorld::activate(const std::string &name) -> void {
  host(name).expectNoNewWork(std::nullopt);
  operate({{OperationKind::Activate, "upstream/" + name, {}}}, {});
}

auto SystemWorld::withdraw(const std::string &dc) -> void {
  std::vector<std::size_t> hosts;
  for (std::size_t n = 0; n < Requests->hostCount(); ++n)
    if (Requests->hostDataCentre(n) == dc)
      hosts.push_back(n);
  // The withdrawal is in force at some instances before the operator receives
  // the answer, so flows may break from here on.
  Withdrawn.insert(dc);
  for (auto n : hosts)
    excuseFlows(n);
  operate({{OperationKind::Withdraw, "data_centre/" + dc, {}}}, [this, hosts] {
    for (auto n : hosts)
      Requests->host(n).expectNoPackets(now() + EffectTimeLimit);
  });
}

auto SystemWorld::returnToService(const std::string &dc) -> void {
  Withdrawn.erase(dc);
  for (std::size_t n = 0; n < Requests->hostCount(); ++n)
    if (Requests->hostDataCentre(n) == dc)
      Requests->host(n).expectNoPackets(std::nullopt);
  operate({{OperationKind::Return, "data_centre/" + dc, {}}}, {});
}

auto SystemWorld::importWithNewHost(const std::string &dc) -> void {
  Requests->addHost(dc, fakes::RequestWorld::booking(), Requests->hostCount());
  ChangeRequest r;
  r.Import = currentSheet();
  submit(std::move(r), {});
}

auto SystemWorld::setCut(const std::string &a, const std::string &b, bool cut)
    -> void {
  recordUnplannedFault();
  Requests->setCut(a, b, cut);
  if (cut)
    Cuts.insert({a, b});
  else
    Cuts.erase({a, b});
}

} // namespace boragebridge::scenario
