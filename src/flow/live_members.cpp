#include "flow/live_members.h"

#include <algorithm>

namespace boragebridge {

auto LiveMembers::update(const MembershipView &view, bool leaving,
                         TimePoint now) -> void {
  const Peer own{Self.Id, Self.PeerAddress};
  std::vector<Peer> participants{own};
  std::vector<Peer> homes;
  if (!leaving)
    homes.push_back(own);
  for (const auto &m : view.Members) {
    if (m.DataCentre != Self.DataCentre || m.Id == Self.Id ||
        m.State == MemberState::Dead)
      continue;
    participants.push_back({m.Id, m.PeerAddress});
    if (m.State != MemberState::Leaving)
      homes.push_back(participants.back());
  }
  // Without another instance to take over, a leaving instance remains home.
  if (homes.empty())
    homes.push_back(own);
  auto byId = [](const Peer &a, const Peer &b) { return a.Id < b.Id; };
  std::sort(participants.begin(), participants.end(), byId);
  std::sort(homes.begin(), homes.end(), byId);
  Participants = std::move(participants);
  if (homes == Homes)
    return;
  std::erase_if(HandedOver, [&](InstanceId id) {
    return std::any_of(homes.begin(), homes.end(),
                       [id](const Peer &p) { return p.Id == id; });
  });
  ChangedAt = now;
  FormerHomes = std::move(Homes);
  Homes = std::move(homes);
  Cache.clear();
}

auto LiveMembers::isParticipant(InstanceId id) const -> bool {
  return std::any_of(Participants.begin(), Participants.end(),
                     [id](const Peer &p) { return p.Id == id; });
}

auto LiveMembers::successor() const -> const Peer * {
  if (Participants.size() < 2)
    return nullptr;
  auto it = std::find_if(Participants.begin(), Participants.end(),
                         [this](const Peer &p) { return p.Id > Self.Id; });
  return it == Participants.end() ? &Participants.front() : &*it;
}

auto LiveMembers::proposers(ServiceId service) const -> SlotOwners {
  constexpr auto ProposerSlot = ~std::uint32_t{0};
  return rank(Homes, service, ProposerSlot);
}

auto LiveMembers::isProposer(ServiceId service) const -> bool {
  return proposers(service).Home.Id == Self.Id;
}

auto LiveMembers::isBackupProposer(ServiceId service) const -> bool {
  return proposers(service).Backup.Id == Self.Id;
}

auto LiveMembers::mayHoldRecords(InstanceId id) const -> bool {
  return id != Self.Id && isParticipant(id) && !HandedOver.contains(id);
}

auto LiveMembers::owners(ServiceId service, std::uint32_t slot) -> SlotOwners {
  constexpr std::size_t CacheLimit = 262144;
  const auto key = hashPair(raw(service), slot);
  if (auto it = Cache.find(key); it != Cache.end())
    return it->second;
  if (Cache.size() >= CacheLimit)
    Cache.clear();
  return Cache[key] = rank(Homes, service, slot);
}

auto LiveMembers::formerHome(ServiceId service, std::uint32_t slot) const
    -> Peer {
  return rank(FormerHomes, service, slot).Home;
}

auto LiveMembers::rank(const std::vector<Peer> &all, ServiceId service,
                       std::uint32_t slot) -> SlotOwners {
  const auto key = hashPair(raw(service), slot);
  SlotOwners o;
  std::uint64_t first = 0;
  std::uint64_t second = 0;
  for (const auto &p : all) {
    const auto score = hashPair(raw(p.Id), key);
    if (o.Home.Id == InstanceId{} || score > first) {
      o.Backup = o.Home;
      second = first;
      o.Home = p;
      first = score;
    } else if (o.Backup.Id == InstanceId{} || score > second) {
      o.Backup = p;
      second = score;
    }
  }
  return o;
}

} // namespace boragebridge
