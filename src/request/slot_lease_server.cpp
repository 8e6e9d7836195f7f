#include "request/slot_lease_server.h"

#include <algorithm>

namespace boragebridge {

SlotLeaseServer::SlotLeaseServer(TimePoint now, std::uint64_t firstGrant)
    : WithheldUntil(now + SlotLeaseTerms::ReclaimAfter), NextGrant(firstGrant) {
}

auto SlotLeaseServer::setLimits(const std::vector<SlotLimit> &limits) -> void {
  Limits.clear();
  for (const auto &it : limits) {
    Limits[it.Upstream] = it;
    for (std::uint32_t n = 0; n < it.Allowed; ++n)
      Slots.try_emplace({it.Upstream, n}, Slot{{}, 0, WithheldUntil, {}});
  }
}

auto SlotLeaseServer::onDemand(const InstanceIncarnation &from, bool local,
                               const LeaseRequest &d, TimePoint now) -> bool {
  auto it = Holders.lower_bound({from.Id, Incarnation{}});
  while (it != Holders.end() && it->first.Id == from.Id) {
    const auto old = (it++)->first;
    if (old.Number != from.Number)
      dropHolder(old, Holders.at(old).LastHeard + SlotLeaseTerms::ReclaimAfter);
  }
  auto &h = Holders[from];
  if (d.Sequence <= h.Sequence)
    return false;
  h.Local = local;
  h.Sequence = d.Sequence;
  h.Wanted = d.Wanted - std::min(d.Wanted, countUnheard(from, d.Seen));
  h.Load = d.Load;
  h.LastHeard = now;
  h.Changed = true;
  settleReturns(from, d, now);
  adopt(from, h, d, now);
  return true;
}

/// Loans that are still on their way to \p to.
auto SlotLeaseServer::countUnheard(const InstanceIncarnation &to,
                                   std::uint64_t seen) const -> std::uint32_t {
  return static_cast<std::uint32_t>(
      std::count_if(Slots.begin(), Slots.end(), [&](const auto &v) {
        return v.second.Holder == to && v.second.Grant > seen;
      }));
}

/// A loan that the holder has heard of and no longer lists was returned.
auto SlotLeaseServer::settleReturns(const InstanceIncarnation &from,
                                    const LeaseRequest &d, TimePoint now)
    -> void {
  for (auto &it : Slots) {
    auto &s = it.second;
    if (s.Holder != from || s.Grant > d.Seen)
      continue;
    const auto listed =
        std::any_of(d.Held.begin(), d.Held.end(),
                    [&it](const SlotLease &l) { return l.Slot == it.first; });
    if (!listed)
      release(s, now);
  }
}

/// Takes over loans that an earlier keeper made. A slot that another holder is
/// on record for has two users: it is not lent anew before both have ended.
auto SlotLeaseServer::adopt(const InstanceIncarnation &from, Holder &h,
                            const LeaseRequest &d, TimePoint now) -> void {
  for (const auto &loan : d.Held) {
    auto &s = Slots.try_emplace(loan.Slot, Slot{{}, 0, WithheldUntil, {}})
                  .first->second;
    if (s.Holder && s.Holder != from)
      s.ContestedUntil = now + SlotLeaseTerms::ReclaimAfter;
    if (s.Holder)
      continue;
    s.Holder = from;
    s.Grant = 0;
    ++h.Lent;
  }
}

auto SlotLeaseServer::release(Slot &s, TimePoint freeAt) -> void {
  --Holders.at(*s.Holder).Lent;
  s.Holder.reset();
  s.FreeAt = std::max(freeAt, s.ContestedUntil);
}

auto SlotLeaseServer::dropHolder(const InstanceIncarnation &id,
                                 TimePoint freeAt) -> void {
  for (auto &[slot, s] : Slots)
    if (s.Holder == id)
      release(s, freeAt);
  Holders.erase(id);
}

auto SlotLeaseServer::addFree(const std::vector<SlotId> &slots, TimePoint now)
    -> void {
  for (const auto &id : slots) {
    auto &s = Slots.try_emplace(id).first->second;
    if (!s.Holder)
      s.FreeAt = std::max(now, s.ContestedUntil);
  }
}

auto SlotLeaseServer::reclaim(TimePoint now) -> void {
  for (auto it = Holders.begin(); it != Holders.end();) {
    const auto [id, h] = *it++;
    if (h.LastHeard + SlotLeaseTerms::ReclaimAfter <= now)
      dropHolder(id, now);
  }
}

auto SlotLeaseServer::lend(TimePoint now) -> std::vector<InstanceIncarnation> {
  reclaim(now);
  for (auto h = neediest(); h != Holders.end(); h = neediest()) {
    auto s = pickSlot(now);
    if (s == Slots.end())
      break;
    s->second.Holder = h->first;
    s->second.Grant = NextGrant++;
    ++h->second.Lent;
    --h->second.Wanted;
    h->second.Changed = true;
  }
  std::vector<InstanceIncarnation> changed;
  for (auto &[id, h] : Holders) {
    const auto keep = keepFor(h);
    if (h.Changed || (keep < h.Lent && keep != h.ToldKeep))
      changed.push_back(id);
    h.Changed = false;
    h.ToldKeep = keep;
  }
  return changed;
}

/// The holder that wants more and has least for its load; this data centre's
/// own come first.
auto SlotLeaseServer::neediest()
    -> std::map<InstanceIncarnation, Holder>::iterator {
  auto share = [](const Holder &h) {
    return static_cast<double>(h.Lent) / std::max(1U, h.Load);
  };
  auto best = Holders.end();
  for (auto it = Holders.begin(); it != Holders.end(); ++it) {
    const auto &h = it->second;
    if (h.Wanted == 0)
      continue;
    if (best == Holders.end() ||
        std::pair(!h.Local, share(h)) <
            std::pair(!best->second.Local, share(best->second)))
      best = it;
  }
  return best;
}

/// The free slot of the fastest upstream that is below its limit. A withheld
/// slot counts as used.
auto SlotLeaseServer::pickSlot(TimePoint now)
    -> std::map<SlotId, Slot>::iterator {
  auto best = Slots.end();
  double bestScore = -1;
  for (const auto &[id, limit] : Limits) {
    std::uint32_t used = 0;
    auto free = Slots.end();
    for (auto it = Slots.lower_bound({id, 0});
         it != Slots.end() && it->first.Upstream == id; ++it) {
      const auto isFree = !it->second.Holder && it->second.FreeAt <= now;
      used += isFree ? 0U : 1U;
      if (isFree && it->first.Index < limit.Allowed)
        free = it;
    }
    if (used >= limit.Allowed || free == Slots.end())
      continue;
    const auto score = limit.SpeedPercent / (1 + used);
    if (score > bestScore) {
      best = free;
      bestScore = score;
    }
  }
  return best;
}

auto SlotLeaseServer::unmet() const -> std::uint32_t {
  std::uint32_t n = 0;
  for (const auto &[id, h] : Holders)
    n += h.Wanted;
  return n;
}

/// Without need elsewhere a holder keeps its idle loans. Else it keeps its
/// share by load, and a holder of another data centre keeps none while this
/// one's own want more.
auto SlotLeaseServer::keepFor(const Holder &h) const -> std::uint32_t {
  std::uint32_t wanted = 0;
  std::uint32_t wantedLocally = 0;
  std::uint64_t load = 0;
  std::uint64_t lent = 0;
  std::uint64_t localLoad = 0;
  for (const auto &[id, it] : Holders) {
    wanted += it.Wanted;
    wantedLocally += it.Local ? it.Wanted : 0;
    load += it.Load;
    localLoad += it.Local ? it.Load : 0;
    lent += it.Lent;
  }
  if (wantedLocally > 0)
    load = localLoad;
  if (wanted == 0)
    return h.Lent;
  if (wantedLocally > 0 && !h.Local)
    return 0;
  if (wantedLocally == 0 && h.Local)
    return std::max(h.Lent > 0 ? 1U : 0U, std::min(h.Lent, h.Load));
  return static_cast<std::uint32_t>(lent * h.Load /
                                    std::max<std::uint64_t>(1, load));
}

auto SlotLeaseServer::stateFor(const InstanceIncarnation &to) const
    -> std::optional<LeaseGrant> {
  auto it = Holders.find(to);
  if (it == Holders.end())
    return std::nullopt;
  LeaseGrant m{it->second.Sequence, keepFor(it->second), unmet(), {}};
  for (const auto &[id, s] : Slots) {
    auto limit = Limits.find(id.Upstream);
    if (s.Holder == to && limit != Limits.end() &&
        id.Index < limit->second.Allowed)
      m.Loans.push_back({id, s.Grant});
  }
  return m;
}

auto SlotLeaseServer::freeSlots(TimePoint now) const -> std::vector<SlotId> {
  std::vector<SlotId> free;
  for (const auto &[id, s] : Slots)
    if (!s.Holder && s.FreeAt <= now)
      free.push_back(id);
  return free;
}

auto SlotLeaseServer::lentCount() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Slots.begin(), Slots.end(),
                    [](const auto &v) { return v.second.Holder.has_value(); }));
}

} // namespace boragebridge
