#include "request/slot_lease_client.h"

#include <algorithm>

namespace boragebridge {

namespace {

/// Demands without an answer that are remembered.
constexpr std::size_t MaxSentDemands = 64;

} // namespace

auto SlotLeaseClient::setKeeper(
    const std::optional<InstanceIncarnation> &keeper) -> void {
  if (Keeper == keeper)
    return;
  Keeper = keeper;
  Seen = 0;
  Keep = UINT32_MAX;
  Unmet = 0;
  SentDemands.clear();
  MustTell = keeper.has_value();
}

auto SlotLeaseClient::acquire(TimePoint now) -> std::optional<SlotId> {
  expire(now);
  auto it = std::find_if(Loans.begin(), Loans.end(), [&](const Loan &l) {
    return !l.Busy && !isResting(l.Content.Slot.Upstream, now);
  });
  if (it == Loans.end())
    return std::nullopt;
  it->Busy = true;
  it->BusyUntil = now + SlotLeaseTerms::MaxExecution + SlotLeaseTerms::Margin;
  return it->Content.Slot;
}

auto SlotLeaseClient::release(const SlotId &slot, TimePoint restUntil) -> void {
  auto it = std::find_if(Loans.begin(), Loans.end(), [&slot](const Loan &l) {
    return l.Content.Slot == slot && l.Busy;
  });
  if (it == Loans.end())
    return;
  it->Busy = false;
  if (restUntil > RestUntil[slot.Upstream])
    RestUntil[slot.Upstream] = restUntil;
  if (it->Revoked || it->Expired) {
    Loans.erase(it);
    MustTell = true;
  }
  shrinkTo(Keep);
}

/// Returns idle loans beyond \p keep.
auto SlotLeaseClient::shrinkTo(std::uint32_t keep) -> void {
  for (auto it = Loans.begin(); it != Loans.end() && Loans.size() > keep;) {
    if (it->Busy) {
      ++it;
      continue;
    }
    it = Loans.erase(it);
    MustTell = true;
  }
}

auto SlotLeaseClient::makeDemand(TimePoint now, std::uint32_t wanted,
                                 std::uint32_t load) -> LeaseRequest {
  expire(now);
  LeaseRequest d{++Sequence, Seen, wanted, load, {}};
  for (const auto &l : Loans)
    if (!l.Expired || now < l.BusyUntil)
      d.Held.push_back(l.Content);
  SentDemands.push_back({d.Sequence, now});
  if (SentDemands.size() > MaxSentDemands)
    SentDemands.pop_front();
  MustTell = false;
  return d;
}

auto SlotLeaseClient::onLend(const InstanceIncarnation &from,
                             const LeaseGrant &m, TimePoint now) -> void {
  if (Keeper != from)
    return;
  while (!SentDemands.empty() && SentDemands.front().Sequence < m.Sequence)
    SentDemands.pop_front();
  if (SentDemands.empty() || SentDemands.front().Sequence != m.Sequence)
    return;
  expire(now);
  ValidUntil =
      std::max(ValidUntil, SentDemands.front().At + SlotLeaseTerms::Term);
  Unmet = m.Unmet;
  Keep = m.Keep;
  auto listed = [&m](const Loan &l) {
    return std::any_of(m.Loans.begin(), m.Loans.end(), [&l](const auto &v) {
      return v.Slot == l.Content.Slot;
    });
  };
  std::erase_if(Loans, [&](const Loan &l) { return !l.Busy && !listed(l); });
  for (auto &l : Loans)
    l.Revoked = !listed(l);
  auto highest = Seen;
  for (const auto &loan : m.Loans) {
    highest = std::max(highest, loan.Grant);
    auto it = std::find_if(Loans.begin(), Loans.end(), [&](const Loan &l) {
      return l.Content.Slot == loan.Slot && !l.Expired;
    });
    if (it != Loans.end())
      it->Content.Grant = loan.Grant;
    else if (loan.Grant > Seen && now < ValidUntil)
      Loans.push_back({loan, false, false, false, {}});
  }
  Seen = highest;
}

/// Ends the loans that were not renewed in time.
auto SlotLeaseClient::expire(TimePoint now) -> void {
  if (now < ValidUntil)
    return;
  MustTell |= std::erase_if(Loans, [](const Loan &l) { return !l.Busy; }) > 0;
  for (auto &l : Loans)
    l.Expired = true;
}

auto SlotLeaseClient::isResting(UpstreamId id, TimePoint now) const -> bool {
  auto it = RestUntil.find(id);
  return it != RestUntil.end() && now < it->second;
}

auto SlotLeaseClient::tick(TimePoint now) -> bool {
  expire(now);
  shrinkTo(Keep);
  return MustTell;
}

auto SlotLeaseClient::returnIdle() -> void { shrinkTo(0); }

auto SlotLeaseClient::idleCount() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      Loans.begin(), Loans.end(), [](const Loan &l) { return !l.Busy; }));
}

} // namespace boragebridge
