/// \file
/// The instances of this data centre that take part in the placement of flows,
/// and the owners of each slot among them.
///
/// The home of a slot is the instance that decides for the slot's flows while
/// it is unsettled. The backup of a slot has a copy of the home's records.
#ifndef BORAGEBRIDGE_FLOW_LIVE_MEMBERS_H
#define BORAGEBRIDGE_FLOW_LIVE_MEMBERS_H

#include "boragebridge/controller.h"

#include <set>
#include <unordered_map>

namespace boragebridge {

/// An instance as the destination of messages.
struct Peer {
  InstanceId Id{};
  Endpoint Address;
  auto operator==(const Peer &) const -> bool = default;
};

/// The two instances that rank first for a slot. An identifier of 0 means that
/// there is none.
struct SlotOwners {
  Peer Home;
  Peer Backup;
};

/// The members of one membership view. Not thread-safe.
class LiveMembers {
public:
  explicit LiveMembers(const InstanceIdentity &self) : Self(self) {}

  /// Replaces the members by those in \p view. Suspected members count as live,
  /// and so does this instance unless \p leaving is set. With no other instance
  /// to take over, a leaving instance remains home of its slots.
  auto update(const MembershipView &view, bool leaving, TimePoint now) -> void;

  /// All instances that may still forward packets, including leaving ones and
  /// this one, by identifier.
  auto participants() const -> const std::vector<Peer> & {
    return Participants;
  }
  auto isParticipant(InstanceId id) const -> bool;
  /// The participant after this one by identifier, the first one after the
  /// last; null when this instance is alone.
  auto successor() const -> const Peer *;
  /// True when this instance proposes the generations of \p service. Services
  /// have different proposers, so that the cost is spread.
  auto isProposer(ServiceId service) const -> bool;
  /// True when this instance proposes urgent changes of \p service if the
  /// proposer does not.
  auto isBackupProposer(ServiceId service) const -> bool;
  /// The owners of slot \p slot of \p service; cached until the members change.
  auto owners(ServiceId service, std::uint32_t slot) -> SlotOwners;
  /// The time of the last change of the instances that can be home of a slot.
  auto changedAt() const -> TimePoint { return ChangedAt; }
  /// The home of the slot before the last change of members.
  auto formerHome(ServiceId service, std::uint32_t slot) const -> Peer;
  /// True when \p id is another participant that has not reported its handover
  /// as complete.
  auto mayHoldRecords(InstanceId id) const -> bool;
  /// Records that the leaving instance \p id has sent all its records.
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
