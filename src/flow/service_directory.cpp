#include "flow/service_directory.h"

#include <algorithm>
#include <bit>

namespace boragebridge {

auto ServiceDirectory::tick(TimePoint now) -> void {
  if (now >= NextChange)
    rebuild(now);
  refresh(now);
}

auto ServiceDirectory::useOf(const Configuration &cfg, const Upstream &u,
                             TimePoint now) -> TargetUse {
  if (cfg.isWithdrawn(u.DataCentre))
    return TargetUse::Nothing;
  if (u.Mode == UpstreamMode::Active) {
    DrainingSince.erase(u.Id);
    return TargetUse::AllFlows;
  }
  // After a pause this instance cannot tell how long the upstream has been
  // draining, and treats the grace period as over.
  const auto synced = Agreement.syncedAt();
  if (synced && now - *synced < Options.DrainGracePeriod)
    DrainingSince.try_emplace(u.Id, now - Options.DrainGracePeriod);
  const auto since = DrainingSince.try_emplace(u.Id, now).first->second;
  const auto until = since + Options.DrainGracePeriod;
  if (now >= until)
    return TargetUse::EstablishedFlows;
  NextChange = std::min(NextChange, until);
  return TargetUse::AllFlows;
}

auto ServiceDirectory::rebuild(TimePoint now) -> void {
  const auto cfg = Context.Board.Configuration.read();
  if (SeenConfiguration != Context.Board.Configuration.version())
    Quarantine.update(*cfg, now);
  SeenConfiguration = Context.Board.Configuration.version();
  SeenSync = Agreement.syncedAt();
  NextChange = TimePoint::max();
  Upstreams.clear();
  for (const auto &u : cfg->Upstreams)
    Upstreams[u.Id] = {u.Service, {u.Address, useOf(*cfg, u, now)}};
  std::erase_if(DrainingSince, [this](const auto &it) {
    return !Upstreams.contains(it.first);
  });
  Entries.clear();
  for (const auto &s : cfg->Services) {
    const auto quarantined =
        Quarantine.isQuarantined(s.Address, cfg->RevisionNumber, now);
    if (quarantined)
      NextChange = std::min(NextChange, now + Options.DigestInterval);
    Entries.push_back({s.Id, s.Address, quarantined, nullptr, {}, 0});
  }
  indexEntries();
  bindPlacements();
}

auto ServiceDirectory::indexEntries() -> void {
  Index.assign(std::bit_ceil(Entries.size() * 2 + 2), NoEntry);
  for (std::uint32_t e = 0; e < Entries.size(); ++e) {
    auto i = hashOf(Entries[e].Address) & (Index.size() - 1);
    while (Index[i] != NoEntry)
      i = (i + 1) & (Index.size() - 1);
    Index[i] = e;
  }
}

auto ServiceDirectory::bindPlacements() -> void {
  SeenPlacements = Agreement.version();
  for (auto &e : Entries) {
    if (e.Placement == nullptr)
      e.Placement = Agreement.find(e.Service);
    if (e.Placement == nullptr || e.Placement->version() == e.SeenPlacement)
      continue;
    e.SeenPlacement = e.Placement->version();
    e.Targets.clear();
    for (auto id : e.Placement->activeUpstreams())
      e.Targets.push_back(target(e.Service, id));
  }
}

auto ServiceDirectory::target(ServiceId service, UpstreamId id) const
    -> Target {
  auto it = Upstreams.find(id);
  if (it != Upstreams.end())
    return it->second.Service == service ? it->second.To : Target{};
  const auto *p = Agreement.find(service);
  const auto isOutdated =
      p != nullptr && p->newest() != nullptr &&
      p->newest()->Id.Config >
          Context.Board.Configuration.read()->RevisionNumber;
  return {{}, isOutdated ? TargetUse::Unknown : TargetUse::Nothing};
}

} // namespace boragebridge
