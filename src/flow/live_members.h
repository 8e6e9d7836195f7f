/// \file
/// The instances of this data centre that share the placement, and which of
/// them is home of a slot.
#ifndef BORAGEBRIDGE_FLOW_LIVE_MEMBERS_H
#define BORAGEBRIDGE_FLOW_LIVE_MEMBERS_H

#include "boragebridge/controller.h"

#include <set>
#include <unordered_map>

namespace boragebridge {

/// One instance as a destination.
struct Peer {
  InstanceId Id{};
  Endpoint Address;
  auto operator==(const Peer &) const -> bool = default;
};

/// The two instances that rank first for a slot. None: the identifier is 0.
struct SlotOwners {
  Peer Home;
  Peer Backup;
};

/// The members as of one membership view. Not thread-safe.
class LiveMembers {
public:
  explicit LiveMembers(const InstanceIdentity &self) : Self(self) {}

  /// Takes over \p view. Suspected members count as live; this instance counts
  /// as live unless \p leaving.
  auto update(const MembershipView &view, bool leaving, TimePoint now) -> void;

  /// All that may still forward packets, leaving ones and this one included.
  auto participants() const -> const std::vector<Peer> & {
    return Participants;
  }
  auto isParticipant(InstanceId id) const -> bool;
  /// The participant that comes after this one, by identifier; null if alone.
  auto successor() const -> const Peer *;
  /// True when this instance proposes the generations of \p service. The role
  /// is spread over the instances, so that its cost is.
  auto isProposer(ServiceId service) const -> bool;
  /// True when this instance proposes if the proposer does not.
  auto isBackupProposer(ServiceId service) const -> bool;
  /// The owners of slot \p slot of \p service; cached until the next update.
  auto owners(ServiceId service, std::uint32_t slot) -> SlotOwners;
  /// When the instances that can be home changed last.
  auto changedAt() const -> TimePoint { return ChangedAt; }
  /// The home of the slot before the last change of members.
  auto formerHome(ServiceId service, std::uint32_t slot) const -> Peer;
  /// True when \p id takes part and has not said that it handed all over.
  auto mayHoldRecords(InstanceId id) const -> bool;
  /// The leaving instance \p id has handed all its records over.
  auto markHandedOver(InstanceId id) -> void { HandedOver.insert(id); }

private:
  auto proposers(ServiceId service) const -> SlotOwners;
  static auto rank(const std::vector<Peer> &all, ServiceId service,
                   std::uint32_t slot) -> SlotOwners;

  const InstanceIdentity &Self;
  std::vector<Peer> Participants;
  /// Participants that are not leaving.
  std::vector<Peer> Homes;
  std::vector<Peer> FormerHomes;
  TimePoint ChangedAt;
  std::set<InstanceId> HandedOver;
  std::unordered_map<std::uint64_t, SlotOwners> Cache;
};

} // namespace boragebridge

#endif
