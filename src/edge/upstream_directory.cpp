#include "edge/upstream_directory.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <unordered_set>
#include <utility>

namespace boragebridge {

auto toString(GoneReason r) -> std::string_view {
  static constexpr std::array<std::string_view, 4> Names{
      "no", "restarted", "address_taken", "missing"};
  return Names.at(static_cast<std::size_t>(r));
}

auto UpstreamDirectory::replaceAll(const std::vector<UpstreamRecord> &all,
                                   TimePoint now) -> void {
  std::unordered_set<std::string_view> names;
  for (const auto &it : all)
    names.insert(it.Name);
  std::erase_if(Unconfigured,
                [&](const auto &it) { return !names.contains(it.first); });
  for (const auto &it : all) {
    if (!SetAside.contains(it.Name))
      apply(it, now);
  }
  for (auto it = ByName.begin(); it != ByName.end();) {
    if (names.contains(it->first)) {
      ++it;
      continue;
    }
    markMissing(Entries[it->second].Lifetime, now);
    it = ByName.erase(it);
  }
  if (!UpstreamsReceivedAt)
    UpstreamsReceivedAt = now;
  rebuild();
}

auto UpstreamDirectory::replaceUpstreams(const std::vector<UpstreamRecord> &all,
                                         TimePoint now) -> void {
  std::unordered_map<std::string, UpstreamRecord> unchanged;
  for (const auto &it : all)
    if (const auto old = SetAside.find(it.Name);
        old != SetAside.end() && old->second == it)
      unchanged.insert(*old);
  SetAside = std::move(unchanged);
  replaceAll(all, now);
}

auto UpstreamDirectory::replaceByRestored(
    const std::vector<UpstreamRecord> &all, TimePoint now) -> void {
  SetAside.clear();
  SetAsideUntil = now + Options.CopyExpiryTime;
  for (const auto &it : all)
    if (isFromCopy(it, now))
      SetAside.emplace(it.Name, it);
  onStoreFailure(now);
  replaceAll(all, now);
}

auto UpstreamDirectory::putUpstream(const UpstreamRecord &r, TimePoint now)
    -> void {
  SetAside.erase(r.Name);
  apply(r, now);
  rebuild();
}

auto UpstreamDirectory::apply(const UpstreamRecord &r, TimePoint now) -> void {
  // The record is another writer's and has replaced that of the upstream.
  if (lacksStart(r))
    return removeUpstream(r.Name, now);
  if (!isConfigured(r.Service))
    return keepUnconfigured(r, now);
  Unconfigured.erase(r.Name);
  auto *lifetime = findLifetime(r);
  if (lifetime == nullptr)
    return add(r, now);
  if (lifetime->Ended && r.Sequence <= lifetime->Record.Sequence)
    return;
  if (lifetime->Ended)
    resume(*lifetime, r, now);
  update(*lifetime, r, now);
}

auto UpstreamDirectory::keepUnconfigured(const UpstreamRecord &r, TimePoint now)
    -> void {
  removeUpstream(r.Name, now);
  if (Unconfigured.size() < Options.MaxUpstreams)
    Unconfigured.emplace(r.Name, UnconfiguredRecord{r, now});
}

auto UpstreamDirectory::onServicesConfigured(TimePoint now) -> void {
  // A record says how much longer its upstream is cold from when it was read.
  for (const auto &[name, it] : std::exchange(Unconfigured, {}))
    apply(it.Record, it.ReadAt);
  settleSharedAddresses(now);
  rebuild();
}

auto UpstreamDirectory::settleSharedAddresses(TimePoint now) -> void {
  for (const auto &[address, all] : ByAddress)
    if (all.size() > 1)
      settleAddress(address, now);
}

auto UpstreamDirectory::lacksStart(const UpstreamRecord &r) const -> bool {
  const auto it = Latest.find(r.Name);
  return r.StartedAt == decltype(r.StartedAt){} && it != Latest.end() &&
         Entries[it->second].Lifetime.Record.StartedAt > r.StartedAt;
}

auto UpstreamDirectory::resume(UpstreamLifetime &u, const UpstreamRecord &r,
                               TimePoint now) -> void {
  if (const auto it = ByName.find(r.Name); it != ByName.end())
    endLifetime(it->second, r, now);
  u.Ended = false;
  u.Displaced = false;
  ByServiceIsStale = true;
}

auto UpstreamDirectory::isFromCopy(const UpstreamRecord &r, TimePoint now) const
    -> bool {
  const auto it = Latest.find(r.Name);
  if (it == Latest.end())
    return false;
  const auto &u = Entries[it->second].Lifetime;
  if (r.StartedAt != u.Record.StartedAt)
    return r.StartedAt < u.Record.StartedAt;
  // A record that expired shortly before may be that of a running upstream.
  return isMissingTooLong(u, now) ? r.Sequence <= u.Record.Sequence
                                  : r.Sequence < u.Record.Sequence;
}

auto UpstreamDirectory::takeSetAside(TimePoint now) -> void {
  if (SetAside.empty() || now < SetAsideUntil)
    return;
  for (const auto &[name, it] : std::exchange(SetAside, {}))
    apply(it, now);
}

auto UpstreamDirectory::findLifetime(const UpstreamRecord &r)
    -> UpstreamLifetime * {
  const auto i = Tags.findLifetime(r);
  return i ? &Entries[*i].Lifetime : nullptr;
}

auto UpstreamDirectory::allocate() -> Entry * {
  if (FreeIndexes.empty()) {
    if (Entries.size() >= Options.MaxUpstreams)
      return nullptr;
    FreeIndexes.push_back(static_cast<UpstreamIndex>(Entries.size()));
    Entries.emplace_back();
  }
  auto &entry = Entries[FreeIndexes.back()];
  entry.Used = true;
  entry.Lifetime = UpstreamLifetime{};
  entry.Lifetime.Index = FreeIndexes.back();
  FreeIndexes.pop_back();
  return &entry;
}

auto UpstreamDirectory::add(const UpstreamRecord &r, TimePoint now) -> void {
  if (const auto it = ByName.find(r.Name); it != ByName.end())
    endLifetime(it->second, r, now);
  const auto *u = insert(r, now);
  if (u == nullptr)
    return;
  ByName[r.Name] = u->Index;
  Latest[r.Name] = u->Index;
  addToAddress(*u, now);
}

auto UpstreamDirectory::insert(const UpstreamRecord &r, TimePoint now)
    -> UpstreamLifetime * {
  auto *entry = allocate();
  if (entry == nullptr)
    return nullptr;
  auto &u = entry->Lifetime;
  u.Record = r;
  u.Tag = tagOf(r.Name, r.StartedAt);
  u.ColdUntil = now + r.ColdFor;
  ByServiceIsStale = true;
  Tags.add(r, u.Index);
  return &u;
}

/// Whether two lifetimes of one name have the same address and service.
static auto isReachedAlike(const UpstreamRecord &a, const UpstreamRecord &b)
    -> bool {
  return a.Address == b.Address && a.Service == b.Service;
}

auto UpstreamDirectory::addUnregistered(const UpstreamRecord &r, TimePoint now)
    -> void {
  if (findLifetime(r) != nullptr)
    return;
  const auto latest = Latest.find(r.Name);
  const auto isLatest = latest == Latest.end();
  // The record of a later lifetime than the known one is still to be read.
  if (!isLatest &&
      Entries[latest->second].Lifetime.Record.StartedAt < r.StartedAt)
    return;
  auto *u = insert(r, now);
  if (u == nullptr)
    return;
  u->Ended = !isLatest;
  u->Displaced =
      u->Ended && !isReachedAlike(r, Entries[latest->second].Lifetime.Record);
  // Counts as missing for too long from the start, also if the store fails.
  u->MissingSince = now - Options.MissingLimit - Duration(1);
  if (isLatest)
    Latest[r.Name] = u->Index;
  addToAddress(*u, now);
  rebuild();
}

auto UpstreamDirectory::update(UpstreamLifetime &u, const UpstreamRecord &r,
                               TimePoint now) -> void {
  if (r.ColdFor != u.Record.ColdFor)
    u.ColdUntil = now + r.ColdFor;
  if (r.Service != u.Record.Service)
    ByServiceIsStale = true;
  u.MissingSince.reset();
  u.MayHaveExpired = false;
  ByName[r.Name] = u.Index;
  Latest[r.Name] = u.Index;
  if (r.Address != u.Record.Address) {
    removeFromAddress(u, now);
    u.Record = r;
    addToAddress(u, now);
  } else {
    u.Record = r;
    settleAddress(r.Address, now);
  }
}

auto UpstreamDirectory::settleAddress(const Endpoint &address, TimePoint now)
    -> void {
  const auto all = ByAddress.find(address);
  if (all == ByAddress.end())
    return;
  const UpstreamLifetime *holder = nullptr;
  const auto startOrder = [](const UpstreamLifetime &u) {
    return std::tie(u.Record.StartedAt, u.Record.Name);
  };
  for (const auto i : all->second) {
    const auto &u = Entries[i].Lifetime;
    if (!u.Ended && !isMissingTooLong(u, now) &&
        isConfigured(u.Record.Service) &&
        (holder == nullptr || startOrder(*holder) < startOrder(u)))
      holder = &u;
  }
  for (const auto i : all->second) {
    auto &u = Entries[i].Lifetime;
    const auto isSuperseded =
        holder != nullptr && startOrder(u) < startOrder(*holder);
    if (std::exchange(u.Superseded, isSuperseded) != isSuperseded)
      ByServiceIsStale = true;
  }
}

auto UpstreamDirectory::addToAddress(const UpstreamLifetime &u, TimePoint now)
    -> void {
  ByAddress[u.Record.Address].push_back(u.Index);
  settleAddress(u.Record.Address, now);
}

auto UpstreamDirectory::removeFromAddress(const UpstreamLifetime &u,
                                          TimePoint now) -> void {
  const auto all = ByAddress.find(u.Record.Address);
  if (all == ByAddress.end())
    return;
  std::erase(all->second, u.Index);
  if (all->second.empty())
    ByAddress.erase(all);
  else
    settleAddress(u.Record.Address, now);
}

auto UpstreamDirectory::endLifetime(UpstreamIndex i, const UpstreamRecord &next,
                                    TimePoint now) -> void {
  auto &u = Entries[i].Lifetime;
  u.Ended = true;
  u.Displaced = !isReachedAlike(u.Record, next);
  ByServiceIsStale = true;
  settleAddress(u.Record.Address, now);
  const auto it = ByName.find(u.Record.Name);
  if (it != ByName.end() && it->second == i)
    ByName.erase(it);
}

auto UpstreamDirectory::removeUpstream(const std::string &name, TimePoint now)
    -> void {
  SetAside.erase(name);
  Unconfigured.erase(name);
  const auto it = ByName.find(name);
  if (it == ByName.end())
    return;
  markMissing(Entries[it->second].Lifetime, now);
  ByName.erase(it);
}

auto UpstreamDirectory::markMissing(UpstreamLifetime &u, TimePoint now) const
    -> void {
  u.MissingSince = now;
  u.MayHaveExpired = now - StoreFailedAt < Options.MissingLimit;
}

auto UpstreamDirectory::onStoreFailure(TimePoint now) -> void {
  // An upstream that had its time to return is gone, whatever the store does.
  for (auto &it : Entries)
    if (it.Used && isMissingTooLong(it.Lifetime, now))
      it.Lifetime.MayHaveExpired = false;
  StoreFailedAt = now;
}

auto UpstreamDirectory::setConfiguration(EdgeConfiguration c, TimePoint now)
    -> bool {
  if (c.Version < Config.Version)
    return false;
  Config = std::move(c);
  indexRoutes();
  ColdRates.clear();
  ConfiguredServices.clear();
  for (const auto &it : Config.Services) {
    ColdRates[raw(it.Service)] = it.ColdPerSecond;
    ConfiguredServices.insert(raw(it.Service));
  }
  for (const auto &route : Config.Routes)
    for (const auto &it : route.Services)
      ConfiguredServices.insert(raw(it.Service));
  onServicesConfigured(now);
  return true;
}

auto UpstreamDirectory::indexRoutes() -> void {
  const auto before = std::exchange(Routes, {});
  for (std::size_t i = 0; i < Config.Routes.size(); ++i) {
    Routes.emplace(Config.Routes[i].Address, i);
    RemovedRoutes.erase(Config.Routes[i].Address);
  }
  for (const auto &[address, index] : before)
    if (!Routes.contains(address))
      rememberRemoval(address);
}

auto UpstreamDirectory::rememberRemoval(const Endpoint &address) -> void {
  RemovedRoutes.insert(address);
  RemovalOrder.push_back(address);
  while (RemovalOrder.size() > Options.MaxRemovedRoutes) {
    RemovedRoutes.erase(RemovalOrder.front());
    RemovalOrder.pop_front();
  }
}

auto UpstreamDirectory::setWithdrawn(std::set<DataCentreId> all, TimePoint now)
    -> void {
  for (auto &it : Entries) {
    const auto d = it.Lifetime.Record.DataCentre;
    if (it.Used && Withdrawn.contains(d) && !all.contains(d))
      it.Lifetime.ColdUntil =
          std::max(it.Lifetime.ColdUntil, now + Options.ColdTimeAfterReturn);
  }
  Withdrawn = std::move(all);
}

auto UpstreamDirectory::expire(TimePoint now) -> void {
  takeSetAside(now);
  // The lifetime that held an address may be gone by now.
  settleSharedAddresses(now);
  for (auto &it : Entries) {
    auto &u = it.Lifetime;
    if (!it.Used)
      continue;
    if (u.Ended && !u.MissingSince)
      u.MissingSince = now;
    if (!u.MissingSince || now - *u.MissingSince < Options.RetentionTime)
      continue;
    it.Used = false;
    if (const auto latest = Latest.find(u.Record.Name);
        latest != Latest.end() && latest->second == u.Index)
      Latest.erase(latest);
    ByServiceIsStale = true;
    FreeIndexes.push_back(u.Index);
    Tags.remove(u.Record);
    removeFromAddress(u, now);
  }
  rebuild();
}

auto UpstreamDirectory::isStable(TimePoint now) const -> bool {
  return UpstreamsReceivedAt &&
         now - *UpstreamsReceivedAt > Options.MissingLimit &&
         now - StoreFailedAt > Options.MissingLimit;
}

auto UpstreamDirectory::route(const Endpoint &address) const
    -> const RouteRecord * {
  const auto it = Routes.find(address);
  return it == Routes.end() ? nullptr : &Config.Routes[it->second];
}

auto UpstreamDirectory::find(UpstreamTag tag) const
    -> const UpstreamLifetime * {
  const auto i = Tags.find(tag);
  return i ? &Entries[*i].Lifetime : nullptr;
}

auto UpstreamDirectory::findByName(UpstreamTag tag) const
    -> const UpstreamLifetime * {
  const auto *name = Tags.nameOf(tag);
  if (name == nullptr)
    return nullptr;
  const auto latest = Latest.find(*name);
  return latest == Latest.end() ? nullptr : &Entries[latest->second].Lifetime;
}

auto UpstreamDirectory::successor(const UpstreamLifetime &u,
                                  TimePoint now) const
    -> const UpstreamLifetime * {
  const auto it = Latest.find(u.Record.Name);
  if (it == Latest.end() || it->second == u.Index)
    return nullptr;
  const auto &latest = Entries[it->second].Lifetime;
  return isReachedAlike(latest.Record, u.Record) && mayBeRunning(latest, now)
             ? &latest
             : nullptr;
}

auto UpstreamDirectory::upstreamsOf(ServiceId service) const
    -> const std::vector<const UpstreamLifetime *> & {
  static const std::vector<const UpstreamLifetime *> none;
  const auto it = ByService.find(raw(service));
  return it == ByService.end() ? none : it->second;
}

auto UpstreamDirectory::coldPerSecond(ServiceId service) const -> double {
  const auto it = ColdRates.find(raw(service));
  return it == ColdRates.end() ? 0 : it->second;
}

auto UpstreamDirectory::goneReason(const UpstreamLifetime &u,
                                   TimePoint now) const -> GoneReason {
  if (u.Ended)
    return GoneReason::Restarted;
  if (u.Superseded)
    return GoneReason::AddressTaken;
  return isMissingTooLong(u, now) ? GoneReason::Missing : GoneReason::None;
}

auto UpstreamDirectory::isMissingTooLong(const UpstreamLifetime &u,
                                         TimePoint now) const -> bool {
  if (!u.MissingSince)
    return false;
  const auto since = u.MayHaveExpired ? std::max(*u.MissingSince, StoreFailedAt)
                                      : *u.MissingSince;
  return now - since > Options.MissingLimit;
}

auto UpstreamDirectory::mayOpenAsLastResort(const UpstreamLifetime &u,
                                            TimePoint now) const -> bool {
  return !u.Record.Draining && !isWithdrawn(u.Record.DataCentre) &&
         !isGone(u, now);
}

auto UpstreamDirectory::mayOpen(const UpstreamLifetime &u, TimePoint now) const
    -> bool {
  const auto isTrusted = !u.MissingSince || u.MayHaveExpired;
  return isTrusted && mayOpenAsLastResort(u, now);
}

auto UpstreamDirectory::rebuild() -> void {
  if (!std::exchange(ByServiceIsStale, false))
    return;
  ++ServiceRevision;
  ByService.clear();
  for (const auto &it : Entries)
    if (it.Used && !it.Lifetime.Ended && !it.Lifetime.Superseded)
      ByService[raw(it.Lifetime.Record.Service)].push_back(&it.Lifetime);
}

} // namespace boragebridge
