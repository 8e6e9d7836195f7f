/// \file
/// The lending side of one pool.
#ifndef BORAGEBRIDGE_REQUEST_SLOT_LEASE_SERVER_H
#define BORAGEBRIDGE_REQUEST_SLOT_LEASE_SERVER_H

#include "request/slot_lease.h"

#include <map>
#include <optional>

namespace boragebridge {

/// Who holds loans.
struct InstanceIncarnation {
  InstanceId Id{};
  Incarnation Number{};
  auto operator<=>(const InstanceIncarnation &) const = default;
};

/// How many slots of an upstream may be in use now.
struct SlotLimit {
  UpstreamId Upstream{};
  std::uint32_t Allowed = 0;
  /// Faster ones are lent first.
  double SpeedPercent = 100;
};

/// Lends the slots of one pool. A new keeper knows of no loan, so every slot
/// is withheld until any earlier keeper's loan of it has surely ended, its
/// holder reports it, or the earlier keeper hands it over as free. Not
/// thread-safe.
class SlotLeaseServer {
public:
  /// \p firstGrant is above every grant of this instance's earlier tenures.
  explicit SlotLeaseServer(TimePoint now, std::uint64_t firstGrant = 1);

  /// Replaces the upstreams and their limits. An upstream that is left out
  /// gets no new loans; its slots are remembered until they are back.
  auto setLimits(const std::vector<SlotLimit> &limits) -> void;
  /// Demand \p d of \p from, which is in this data centre when \p local.
  /// False when it is older than one already heard.
  auto onDemand(const InstanceIncarnation &from, bool local,
                const LeaseRequest &d, TimePoint now) -> bool;
  /// Slots that an earlier keeper handed over as free.
  auto addFree(const std::vector<SlotId> &slots, TimePoint now) -> void;
  /// Takes back what has ended and lends what is free. Returns the holders
  /// whose state changed and who are to be told.
  auto lend(TimePoint now) -> std::vector<InstanceIncarnation>;
  /// The state to tell \p to; nothing when it is not known.
  auto stateFor(const InstanceIncarnation &to) const
      -> std::optional<LeaseGrant>;
  /// Slots that nobody holds.
  auto freeSlots(TimePoint now) const -> std::vector<SlotId>;
  auto lentCount() const -> std::size_t;
  auto unmet() const -> std::uint32_t;

private:
  struct Slot {
    std::optional<InstanceIncarnation> Holder;
    /// 0: adopted, so that its holder knows of it.
    std::uint64_t Grant = 0;
    /// Without a holder: withheld until then.
    TimePoint FreeAt;
    /// Two holders claimed it: not to be lent anew before.
    TimePoint ContestedUntil{};
  };
  struct Holder {
    bool Local = false;
    std::uint64_t Sequence = 0;
    std::uint32_t Wanted = 0;
    std::uint32_t Load = 0;
    std::uint32_t Lent = 0;
    std::uint32_t ToldKeep = UINT32_MAX;
    TimePoint LastHeard;
    bool Changed = false;
  };

  auto countUnheard(const InstanceIncarnation &to, std::uint64_t seen) const
      -> std::uint32_t;
  auto settleReturns(const InstanceIncarnation &from, const LeaseRequest &d,
                     TimePoint now) -> void;
  auto adopt(const InstanceIncarnation &from, Holder &h, const LeaseRequest &d,
             TimePoint now) -> void;
  auto dropHolder(const InstanceIncarnation &id, TimePoint freeAt) -> void;
  auto release(Slot &s, TimePoint freeAt) -> void;
  auto reclaim(TimePoint now) -> void;
  auto neediest() -> std::map<InstanceIncarnation, Holder>::iterator;
  auto pickSlot(TimePoint now) -> std::map<SlotId, Slot>::iterator;
  auto keepFor(const Holder &h) const -> std::uint32_t;

  TimePoint WithheldUntil;
  std::uint64_t NextGrant;
  std::map<UpstreamId, SlotLimit> Limits;
  std::map<SlotId, Slot> Slots;
  std::map<InstanceIncarnation, Holder> Holders;
};

} // namespace boragebridge

#endif
