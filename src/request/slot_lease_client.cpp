#include "request/slot_lease_client.h"

#include <algorithm>

namespace boragebridge {

namespace {

/// Limit on the requests on record that have no answer.
constexpr std::size_t MaxSentRequests = 64;

} // namespace

auto SlotLeaseClient::setServer(
    const std::optional<InstanceIncarnation> &server) -> void {
  if (Server == server)
    return;
  Server = server;
  HighestGrantSeen = 0;
  RetainLimit = UINT32_MAX;
  Unmet = 0;
  SentRequests.clear();
  NotifyServer = server.has_value();
}

auto SlotLeaseClient::acquire(TimePoint now) -> std::optional<SlotId> {
  expire(now);
  auto it = std::find_if(Leases.begin(), Leases.end(), [&](const HeldLease &l) {
    return !l.Busy && !isBackingOff(l.Content.Slot.Upstream, now);
  });
  if (it == Leases.end())
    return std::nullopt;
  it->Busy = true;
  it->BusyUntil = now + SlotLeaseTerms::MaxExecution + SlotLeaseTerms::Margin;
  return it->Content.Slot;
}

auto SlotLeaseClient::release(const SlotId &slot, TimePoint backoffUntil)
    -> void {
  auto it =
      std::find_if(Leases.begin(), Leases.end(), [&slot](const HeldLease &l) {
        return l.Content.Slot == slot && l.Busy;
      });
  if (it == Leases.end())
    return;
  it->Busy = false;
  if (backoffUntil > BackoffUntil[slot.Upstream])
    BackoffUntil[slot.Upstream] = backoffUntil;
  if (it->Revoked || it->Expired) {
    Leases.erase(it);
    NotifyServer = true;
  }
  shrinkTo(RetainLimit);
}

/// Returns idle leases while more than \p limit leases are held.
auto SlotLeaseClient::shrinkTo(std::uint32_t limit) -> void {
  for (auto it = Leases.begin(); it != Leases.end() && Leases.size() > limit;) {
    if (it->Busy) {
      ++it;
      continue;
    }
    it = Leases.erase(it);
    NotifyServer = true;
  }
}

auto SlotLeaseClient::makeRequest(TimePoint now, std::uint32_t wanted,
                                  std::uint32_t load) -> LeaseRequest {
  expire(now);
  LeaseRequest r{++Sequence, HighestGrantSeen, wanted, load, {}};
  for (const auto &l : Leases)
    if (!l.Expired || now < l.BusyUntil)
      r.Held.push_back(l.Content);
  SentRequests.push_back({r.Sequence, now});
  if (SentRequests.size() > MaxSentRequests)
    SentRequests.pop_front();
  NotifyServer = false;
  return r;
}

auto SlotLeaseClient::onGrant(const InstanceIncarnation &from,
                              const LeaseGrant &m, TimePoint now) -> void {
  if (Server != from)
    return;
  while (!SentRequests.empty() && SentRequests.front().Sequence < m.Sequence)
    SentRequests.pop_front();
  if (SentRequests.empty() || SentRequests.front().Sequence != m.Sequence)
    return;
  expire(now);
  ValidUntil =
      std::max(ValidUntil, SentRequests.front().At + SlotLeaseTerms::Term);
  Unmet = m.Unmet;
  RetainLimit = m.RetainLimit;
  auto listed = [&m](const HeldLease &l) {
    return std::any_of(m.Leases.begin(), m.Leases.end(), [&l](const auto &v) {
      return v.Slot == l.Content.Slot;
    });
  };
  std::erase_if(Leases,
                [&](const HeldLease &l) { return !l.Busy && !listed(l); });
  for (auto &l : Leases)
    l.Revoked = !listed(l);
  auto highest = HighestGrantSeen;
  for (const auto &lease : m.Leases) {
    highest = std::max(highest, lease.GrantNumber);
    auto it =
        std::find_if(Leases.begin(), Leases.end(), [&](const HeldLease &l) {
          return l.Content.Slot == lease.Slot && !l.Expired;
        });
    if (it != Leases.end())
      it->Content.GrantNumber = lease.GrantNumber;
    else if (lease.GrantNumber > HighestGrantSeen && now < ValidUntil)
      Leases.push_back({lease, false, false, false, {}});
  }
  HighestGrantSeen = highest;
}

/// Drops the idle leases that were not renewed in time and marks the busy ones
/// as expired.
auto SlotLeaseClient::expire(TimePoint now) -> void {
  if (now < ValidUntil)
    return;
  NotifyServer |=
      std::erase_if(Leases, [](const HeldLease &l) { return !l.Busy; }) > 0;
  for (auto &l : Leases)
    l.Expired = true;
}

auto SlotLeaseClient::isBackingOff(UpstreamId id, TimePoint now) const -> bool {
  auto it = BackoffUntil.find(id);
  return it != BackoffUntil.end() && now < it->second;
}

auto SlotLeaseClient::tick(TimePoint now) -> bool {
  expire(now);
  shrinkTo(RetainLimit);
  return NotifyServer;
}

auto SlotLeaseClient::returnIdle() -> void { shrinkTo(0); }

auto SlotLeaseClient::idleCount() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Leases.begin(), Leases.end(),
                    [](const HeldLease &l) { return !l.Busy; }));
}

} // namespace boragebridge
