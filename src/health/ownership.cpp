#include "health/ownership.h"

#include <algorithm>

namespace boragebridge {

auto Ownership::collectCandidates(const MembershipView &members)
    -> std::vector<Candidate> {
  std::vector<Candidate> all;
  Local.clear();
  Remote.clear();
  for (const auto &it : members.Members) {
    const auto live =
        it.State == MemberState::Alive || it.State == MemberState::Suspect;
    if (!live || it.Id == Self)
      continue;
    all.push_back({it.Id, it.PeerAddress, it.DataCentre});
    (it.DataCentre == LocalDataCentre ? Local : Remote)
        .push_back(it.PeerAddress);
  }
  const auto *self = members.find(Self);
  if (self == nullptr || self->State != MemberState::Leaving)
    all.push_back({Self, {}, LocalDataCentre});
  return all;
}

auto Ownership::update(const Configuration &cfg, const MembershipView &members)
    -> void {
  const auto all = collectCandidates(members);
  std::unordered_map<DataCentreId, std::vector<Candidate>> byDataCentre;
  for (const auto &it : all)
    byDataCentre[it.DataCentre].push_back(it);
  Roles.clear();
  Probed.clear();
  for (const auto &it : cfg.Upstreams) {
    auto local = byDataCentre.find(it.DataCentre);
    const auto &from = local == byDataCentre.end() ? all : local->second;
    const auto role = roleFor(it.Id, from);
    Roles.emplace(it.Id, role);
    if (role.IsProber)
      Probed.push_back(it.Id);
  }
}

auto Ownership::roleFor(UpstreamId id, const std::vector<Candidate> &all) const
    -> UpstreamRole {
  const Candidate *first = nullptr;
  const Candidate *second = nullptr;
  std::uint64_t firstScore = 0;
  std::uint64_t secondScore = 0;
  for (const auto &it : all) {
    const auto score = hashPair(raw(id), raw(it.Id));
    if (first == nullptr || score > firstScore) {
      second = first;
      secondScore = firstScore;
      first = &it;
      firstScore = score;
    } else if (second == nullptr || score > secondScore) {
      second = &it;
      secondScore = score;
    }
  }
  if (first == nullptr)
    return {};
  const auto isOwner = first->Id == Self;
  const auto isSecond = second != nullptr && second->Id == Self;
  return {first->Id, first->Address, isOwner, isOwner || isSecond};
}

auto Ownership::find(UpstreamId id) const -> const UpstreamRole * {
  auto it = Roles.find(id);
  return it == Roles.end() ? nullptr : &it->second;
}

} // namespace boragebridge
