#include "edge/upstream_directory.h"

#include <algorithm>
#include <tuple>
#include <unordered_set>
#include <utility>

namespace boragebridge {

auto UpstreamDirectory::replaceUpstreams(const std::vector<UpstreamRecord> &all,
                                         TimePoint now) -> void {
  // In order of start time, so that of two upstreams at one address the later
  // one owns it.
  std::vector<const UpstreamRecord *> ordered;
  std::unordered_set<std::string_view> names;
  for (const auto &it : all) {
    ordered.push_back(&it);
    names.insert(it.Name);
  }
  std::stable_sort(
      ordered.begin(), ordered.end(),
      [](const auto *a, const auto *b) { return a->StartedAt < b->StartedAt; });
  for (const auto *it : ordered)
    apply(*it, now);
  for (auto it = ByName.begin(); it != ByName.end();) {
    if (names.contains(it->first)) {
      ++it;
      continue;
    }
    Slots[it->second].Value.MissingSince = now;
    it = ByName.erase(it);
  }
  if (!UpstreamsReceivedAt)
    UpstreamsReceivedAt = now;
  rebuild();
}

auto UpstreamDirectory::putUpstream(const UpstreamRecord &r, TimePoint now)
    -> void {
  apply(r, now);
  rebuild();
}

auto UpstreamDirectory::apply(const UpstreamRecord &r, TimePoint now) -> void {
  auto *lifetime = findLifetime(r);
  if (lifetime == nullptr)
    return add(r, now);
  // A record of an ended lifetime has arrived late and is ignored.
  if (!lifetime->Ended)
    update(*lifetime, r, now);
}

auto UpstreamDirectory::findLifetime(const UpstreamRecord &r)
    -> UpstreamLifetime * {
  auto matches = [&](const UpstreamLifetime &u) {
    return u.Record.Name == r.Name && u.Record.StartedAt == r.StartedAt;
  };
  const auto it =
      ByTag.find(static_cast<std::uint32_t>(tagOf(r.Name, r.StartedAt)));
  if (it == ByTag.end())
    return nullptr;
  if (matches(Slots[it->second].Value))
    return &Slots[it->second].Value;
  // Another upstream owns the tag.
  const auto slot =
      std::find_if(Slots.begin(), Slots.end(),
                   [&](const auto &s) { return s.Used && matches(s.Value); });
  return slot == Slots.end() ? nullptr : &slot->Value;
}

auto UpstreamDirectory::allocate() -> Slot * {
  if (Free.empty()) {
    if (Slots.size() >= Options.MaxUpstreams)
      return nullptr;
    Free.push_back(static_cast<UpstreamIndex>(Slots.size()));
    Slots.emplace_back();
  }
  auto &slot = Slots[Free.back()];
  slot.Used = true;
  slot.Value = UpstreamLifetime{};
  slot.Value.Index = Free.back();
  Free.pop_back();
  return &slot;
}

auto UpstreamDirectory::add(const UpstreamRecord &r, TimePoint now) -> void {
  if (const auto it = ByName.find(r.Name); it != ByName.end())
    endLifetime(it->second);
  auto *slot = allocate();
  if (slot == nullptr)
    return;
  auto &u = slot->Value;
  u.Record = r;
  u.Tag = tagOf(r.Name, r.StartedAt);
  u.ColdUntil = now + r.ColdFor;
  ByServiceIsStale = true;
  ByName[r.Name] = u.Index;
  claimTag(u);
  claimAddress(r.Address, u.Index);
}

auto UpstreamDirectory::update(UpstreamLifetime &u, const UpstreamRecord &r,
                               TimePoint now) -> void {
  if (r.ColdFor != u.Record.ColdFor)
    u.ColdUntil = now + r.ColdFor;
  if (r.Service != u.Record.Service)
    ByServiceIsStale = true;
  if (r.Address != u.Record.Address)
    claimAddress(r.Address, u.Index);
  u.Record = r;
  u.MissingSince.reset();
  ByName[r.Name] = u.Index;
}

auto UpstreamDirectory::claimAddress(const Endpoint &address,
                                     UpstreamIndex owner) -> void {
  const auto [it, added] = ByAddress.emplace(address, owner);
  if (added || it->second == owner)
    return;
  endLifetime(it->second);
  it->second = owner;
}

auto UpstreamDirectory::endLifetime(UpstreamIndex i) -> void {
  auto &u = Slots[i].Value;
  u.Ended = true;
  ByServiceIsStale = true;
  const auto it = ByName.find(u.Record.Name);
  if (it != ByName.end() && it->second == i)
    ByName.erase(it);
}

/// If two upstreams share a tag, the one that started first owns it: flows to
/// it may already be open, and every instance reaches the same decision.
auto UpstreamDirectory::claimTag(const UpstreamLifetime &u) -> void {
  const auto [it, added] =
      ByTag.emplace(static_cast<std::uint32_t>(u.Tag), u.Index);
  if (added)
    return;
  const auto &other = Slots[it->second].Value.Record;
  if (std::tie(u.Record.StartedAt, u.Record.Name) <
      std::tie(other.StartedAt, other.Name))
    it->second = u.Index;
}

auto UpstreamDirectory::removeUpstream(const std::string &name, TimePoint now)
    -> void {
  const auto it = ByName.find(name);
  if (it == ByName.end())
    return;
  Slots[it->second].Value.MissingSince = now;
  ByName.erase(it);
}

auto UpstreamDirectory::setConfiguration(EdgeConfiguration c) -> bool {
  if (c.Version < Config.Version)
    return false;
  Config = std::move(c);
  Routes.clear();
  for (std::size_t i = 0; i < Config.Routes.size(); ++i)
    Routes.emplace(Config.Routes[i].Address, i);
  ColdRates.clear();
  for (const auto &it : Config.Services)
    ColdRates[raw(it.Service)] = it.ColdPerSecond;
  return true;
}

auto UpstreamDirectory::setWithdrawn(std::set<DataCentreId> all, TimePoint now)
    -> void {
  for (auto &it : Slots) {
    const auto d = it.Value.Record.DataCentre;
    if (it.Used && Withdrawn.contains(d) && !all.contains(d))
      it.Value.ColdUntil =
          std::max(it.Value.ColdUntil, now + Options.ColdTimeAfterReturn);
  }
  Withdrawn = std::move(all);
}

auto UpstreamDirectory::expire(TimePoint now) -> void {
  for (auto &it : Slots) {
    auto &u = it.Value;
    if (!it.Used)
      continue;
    if (u.Ended && !u.MissingSince)
      u.MissingSince = now;
    if (!u.MissingSince || now - *u.MissingSince < Options.RetentionTime)
      continue;
    it.Used = false;
    ByServiceIsStale = true;
    Free.push_back(u.Index);
    if (const auto tag = ByTag.find(static_cast<std::uint32_t>(u.Tag));
        tag != ByTag.end() && tag->second == u.Index)
      ByTag.erase(tag);
    if (const auto address = ByAddress.find(u.Record.Address);
        address != ByAddress.end() && address->second == u.Index)
      ByAddress.erase(address);
  }
  if (!ByServiceIsStale)
    return;
  // A tag that two upstreams shared now names the remaining one.
  for (const auto &it : Slots)
    if (it.Used)
      claimTag(it.Value);
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
  const auto it = ByTag.find(static_cast<std::uint32_t>(tag));
  return it == ByTag.end() ? nullptr : &Slots[it->second].Value;
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

auto UpstreamDirectory::isGone(const UpstreamLifetime &u, TimePoint now) const
    -> bool {
  if (u.Ended)
    return true;
  return u.MissingSince &&
         now - std::max(*u.MissingSince, StoreFailedAt) > Options.MissingLimit;
}

auto UpstreamDirectory::mayOpenAsLastResort(const UpstreamLifetime &u,
                                            TimePoint now) const -> bool {
  return !u.Record.Draining && !isWithdrawn(u.Record.DataCentre) &&
         !isGone(u, now);
}

auto UpstreamDirectory::mayOpen(const UpstreamLifetime &u, TimePoint now) const
    -> bool {
  // A record that disappears around a store failure has most likely expired
  // while its upstream is still running.
  const auto isTrusted =
      !u.MissingSince || *u.MissingSince - StoreFailedAt < Options.MissingLimit;
  return isTrusted && mayOpenAsLastResort(u, now);
}

auto UpstreamDirectory::rebuild() -> void {
  if (!std::exchange(ByServiceIsStale, false))
    return;
  ByService.clear();
  for (const auto &it : Slots)
    if (it.Used && !it.Value.Ended)
      ByService[raw(it.Value.Record.Service)].push_back(&it.Value);
}

} // namespace boragebridge
