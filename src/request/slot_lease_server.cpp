#include "request/slot_lease_server.h"

#include <algorithm>

namespace boragebridge {

SlotLeaseServer::SlotLeaseServer(TimePoint now, std::uint64_t firstGrantNumber)
    : WithheldUntil(now + SlotLeaseTerms::ReclaimAfter),
      NextGrantNumber(firstGrantNumber) {}

auto SlotLeaseServer::setLimits(const std::vector<SlotLimit> &limits) -> void {
  Limits.clear();
  for (const auto &it : limits) {
    Limits[it.Upstream] = it;
    for (std::uint32_t n = 0; n < it.Allowed; ++n)
      Slots.try_emplace({it.Upstream, n}, Slot{{}, 0, WithheldUntil, {}});
  }
}

auto SlotLeaseServer::onRequest(const InstanceIncarnation &from, bool local,
                                const LeaseRequest &r, TimePoint now) -> bool {
  auto it = Clients.lower_bound({from.Id, Incarnation{}});
  while (it != Clients.end() && it->first.Id == from.Id) {
    const auto old = (it++)->first;
    if (old.IncarnationNumber != from.IncarnationNumber)
      dropClient(old,
                 Clients.at(old).LastRequestAt + SlotLeaseTerms::ReclaimAfter);
  }
  auto &c = Clients[from];
  if (r.Sequence <= c.Sequence)
    return false;
  c.Local = local;
  c.Sequence = r.Sequence;
  c.Wanted = r.Wanted -
             std::min(r.Wanted, countUnacknowledged(from, r.HighestGrantSeen));
  c.Load = r.Load;
  c.LastRequestAt = now;
  c.Changed = true;
  releaseReturned(from, r, now);
  adopt(from, c, r, now);
  return true;
}

/// Counts the leases whose grants \p to has not received yet.
auto SlotLeaseServer::countUnacknowledged(const InstanceIncarnation &to,
                                          std::uint64_t seen) const
    -> std::uint32_t {
  return static_cast<std::uint32_t>(
      std::count_if(Slots.begin(), Slots.end(), [&](const auto &v) {
        return v.second.Client == to && v.second.GrantNumber > seen;
      }));
}

/// A lease that the client has received and no longer lists was returned.
auto SlotLeaseServer::releaseReturned(const InstanceIncarnation &from,
                                      const LeaseRequest &r, TimePoint now)
    -> void {
  for (auto &it : Slots) {
    auto &s = it.second;
    if (s.Client != from || s.GrantNumber > r.HighestGrantSeen)
      continue;
    const auto listed =
        std::any_of(r.Held.begin(), r.Held.end(),
                    [&it](const SlotLease &l) { return l.Slot == it.first; });
    if (!listed)
      release(s, now);
  }
}

/// Adopts leases that an earlier server granted. A slot that is on record for
/// another client has two users: it is not leased again before the work of both
/// has ended.
auto SlotLeaseServer::adopt(const InstanceIncarnation &from, ClientState &c,
                            const LeaseRequest &r, TimePoint now) -> void {
  for (const auto &lease : r.Held) {
    auto &s = Slots.try_emplace(lease.Slot, Slot{{}, 0, WithheldUntil, {}})
                  .first->second;
    if (s.Client && s.Client != from)
      s.ContestedUntil = now + SlotLeaseTerms::ReclaimAfter;
    if (s.Client)
      continue;
    s.Client = from;
    s.GrantNumber = 0;
    ++c.Leased;
  }
}

auto SlotLeaseServer::release(Slot &s, TimePoint freeAt) -> void {
  --Clients.at(*s.Client).Leased;
  s.Client.reset();
  s.FreeAt = std::max(freeAt, s.ContestedUntil);
}

auto SlotLeaseServer::dropClient(const InstanceIncarnation &id,
                                 TimePoint freeAt) -> void {
  for (auto &[slot, s] : Slots)
    if (s.Client == id)
      release(s, freeAt);
  Clients.erase(id);
}

auto SlotLeaseServer::addFree(const std::vector<SlotId> &slots, TimePoint now)
    -> void {
  for (const auto &id : slots) {
    auto &s = Slots.try_emplace(id).first->second;
    if (!s.Client)
      s.FreeAt = std::max(now, s.ContestedUntil);
  }
}

auto SlotLeaseServer::reclaim(TimePoint now) -> void {
  for (auto it = Clients.begin(); it != Clients.end();) {
    const auto [id, c] = *it++;
    if (c.LastRequestAt + SlotLeaseTerms::ReclaimAfter <= now)
      dropClient(id, now);
  }
}

auto SlotLeaseServer::grantLeases(TimePoint now)
    -> std::vector<InstanceIncarnation> {
  reclaim(now);
  for (auto c = leastServed(); c != Clients.end(); c = leastServed()) {
    auto s = pickSlot(now);
    if (s == Slots.end())
      break;
    s->second.Client = c->first;
    s->second.GrantNumber = NextGrantNumber++;
    ++c->second.Leased;
    --c->second.Wanted;
    c->second.Changed = true;
  }
  std::vector<InstanceIncarnation> changed;
  for (auto &[id, c] : Clients) {
    const auto limit = retainLimitFor(c);
    if (c.Changed || (limit < c.Leased && limit != c.SentRetainLimit))
      changed.push_back(id);
    c.Changed = false;
    c.SentRetainLimit = limit;
  }
  return changed;
}

/// Returns the client that wants more slots and has the fewest for its load;
/// clients of this data centre come first.
auto SlotLeaseServer::leastServed()
    -> std::map<InstanceIncarnation, ClientState>::iterator {
  auto share = [](const ClientState &c) {
    return static_cast<double>(c.Leased) / std::max(1U, c.Load);
  };
  auto best = Clients.end();
  for (auto it = Clients.begin(); it != Clients.end(); ++it) {
    const auto &c = it->second;
    if (c.Wanted == 0)
      continue;
    if (best == Clients.end() ||
        std::pair(!c.Local, share(c)) <
            std::pair(!best->second.Local, share(best->second)))
      best = it;
  }
  return best;
}

/// Returns a free slot of the upstream below its limit that has the highest
/// speed for its used slots. A withheld slot counts as used.
auto SlotLeaseServer::pickSlot(TimePoint now)
    -> std::map<SlotId, Slot>::iterator {
  auto best = Slots.end();
  double bestScore = -1;
  for (const auto &[id, limit] : Limits) {
    std::uint32_t used = 0;
    auto free = Slots.end();
    for (auto it = Slots.lower_bound({id, 0});
         it != Slots.end() && it->first.Upstream == id; ++it) {
      const auto isFree = !it->second.Client && it->second.FreeAt <= now;
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
  for (const auto &[id, c] : Clients)
    n += c.Wanted;
  return n;
}

/// While no client wants more slots, a client retains its idle leases.
/// Otherwise it retains its share by load, and a client of another data centre
/// retains none while clients of this data centre want more. When only clients
/// of other data centres want more, a client of this one retains a lease for
/// each of its requests, and at least one.
auto SlotLeaseServer::retainLimitFor(const ClientState &c) const
    -> std::uint32_t {
  std::uint32_t wanted = 0;
  std::uint32_t wantedLocally = 0;
  std::uint64_t load = 0;
  std::uint64_t leased = 0;
  std::uint64_t localLoad = 0;
  for (const auto &[id, it] : Clients) {
    wanted += it.Wanted;
    wantedLocally += it.Local ? it.Wanted : 0;
    load += it.Load;
    localLoad += it.Local ? it.Load : 0;
    leased += it.Leased;
  }
  if (wantedLocally > 0)
    load = localLoad;
  if (wanted == 0)
    return c.Leased;
  if (wantedLocally > 0 && !c.Local)
    return 0;
  if (wantedLocally == 0 && c.Local)
    return std::max(c.Leased > 0 ? 1U : 0U, std::min(c.Leased, c.Load));
  return static_cast<std::uint32_t>(leased * c.Load /
                                    std::max<std::uint64_t>(1, load));
}

auto SlotLeaseServer::grantFor(const InstanceIncarnation &to) const
    -> std::optional<LeaseGrant> {
  auto it = Clients.find(to);
  if (it == Clients.end())
    return std::nullopt;
  LeaseGrant m{it->second.Sequence, retainLimitFor(it->second), unmet(), {}};
  for (const auto &[id, s] : Slots) {
    auto limit = Limits.find(id.Upstream);
    if (s.Client == to && limit != Limits.end() &&
        id.Index < limit->second.Allowed)
      m.Leases.push_back({id, s.GrantNumber});
  }
  return m;
}

auto SlotLeaseServer::freeSlots(TimePoint now) const -> std::vector<SlotId> {
  std::vector<SlotId> free;
  for (const auto &[id, s] : Slots)
    if (!s.Client && s.FreeAt <= now)
      free.push_back(id);
  return free;
}

auto SlotLeaseServer::leasedCount() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Slots.begin(), Slots.end(),
                    [](const auto &v) { return v.second.Client.has_value(); }));
}

} // namespace boragebridge
