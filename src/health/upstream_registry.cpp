#include "health/upstream_registry.h"

#include <algorithm>

namespace boragebridge {

auto UpstreamEntry::isTreatedAsCold(TimePoint now) const -> bool {
  return ColdUntil && now < *ColdUntil &&
         ColdVersion == Assessor.status().Version;
}

auto UpstreamEntry::treatAsCold(TimePoint now) -> void {
  ColdUntil = now + TreatAsColdTime;
  ColdVersion = Assessor.status().Version;
}

auto UpstreamRegistry::update(const Configuration &cfg, TimePoint now)
    -> std::vector<UpstreamId> {
  std::unordered_map<DataCentreId, bool> withdrawn;
  for (const auto &it : cfg.DataCentres)
    withdrawn[it.Id] = it.Withdrawn;
  std::vector<UpstreamId> restarted;
  auto old = std::move(Entries);
  Entries.clear();
  for (const auto &u : cfg.Upstreams) {
    const auto isWithdrawn = withdrawn[u.DataCentre];
    auto it = old.find(u.Id);
    if (it == old.end()) {
      Entries.emplace(u.Id, makeEntry(u, isWithdrawn, now));
      restarted.push_back(u.Id);
      continue;
    }
    auto &e = it->second;
    const auto isBack = e.IsWithdrawn && !isWithdrawn;
    const auto hasMoved =
        e.Config.Address != u.Address || e.Config.Service != u.Service;
    e.Config = u;
    e.IsWithdrawn = isWithdrawn;
    if (isBack || hasMoved) {
      e.Assessor.reset(now);
      restarted.push_back(u.Id);
    }
    Entries.emplace(u.Id, std::move(e));
    old.erase(it);
  }
  for (const auto &[id, e] : old)
    keepRemovedVersion(id, e.Assessor.status().Version);
  rebuildIndex();
  return restarted;
}

auto UpstreamRegistry::makeEntry(const Upstream &u, bool withdrawn,
                                 TimePoint now) -> UpstreamEntry {
  UpstreamEntry e;
  e.Config = u;
  e.IsWithdrawn = withdrawn;
  auto it = Removed.find(u.Id);
  if (it == Removed.end())
    return e;
  e.Assessor.adopt({.Version = it->second}, now);
  e.Assessor.reset(now);
  return e;
}

auto UpstreamRegistry::keepRemovedVersion(UpstreamId id, std::uint32_t version)
    -> void {
  if (Removed.insert_or_assign(id, version).second)
    RemovedOrder.push_back(id);
  while (RemovedOrder.size() > RemovedLimit) {
    Removed.erase(RemovedOrder.front());
    RemovedOrder.pop_front();
  }
}

auto UpstreamRegistry::rebuildIndex() -> void {
  Ids.clear();
  ByAddress.clear();
  for (const auto &[id, e] : Entries) {
    Ids.push_back(id);
    ByAddress[e.Config.Address] = id;
  }
  std::sort(Ids.begin(), Ids.end());
}

auto UpstreamRegistry::find(UpstreamId id) -> UpstreamEntry * {
  auto it = Entries.find(id);
  return it == Entries.end() ? nullptr : &it->second;
}

auto UpstreamRegistry::findByAddress(const Endpoint &e) -> UpstreamEntry * {
  auto it = ByAddress.find(e);
  return it == ByAddress.end() ? nullptr : find(it->second);
}

} // namespace boragebridge
