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
  /// \p firstGrantNumber is above every grant of this instance's earlier
  /// tenures.
  explicit SlotLeaseServer(TimePoint now, std::uint64_t firstGrantNumber = 1);

  /// Replaces the upstreams and their limits. An upstream that is left out
  /// gets no new loans; its slots are remembered until they are back.
  auto setLimits(const std::vector<SlotLimit> &limits) -> void;
  /// Demand \p r of \p from, which is in this data centre when \p local.
  /// False when it is older than one already heard.
  auto onRequest(const InstanceIncarnation &from, bool local,
                 const LeaseRequest &r, TimePoint now) -> bool;
  /// Slots that an earlier keeper handed over as free.
  auto addFree(const std::vector<SlotId> &slots, TimePoint now) -> void;
  /// Takes back what has ended and lends what is free. Returns the holders
  /// whose state changed and who are to be told.
  auto grantLeases(TimePoint now) -> std::vector<InstanceIncarnation>;
  /// The state to tell \p to; nothing when it is not known.
  auto grantFor(const InstanceIncarnation &to) const
      -> std::optional<LeaseGrant>;
  /// Slots that nobody holds.
  auto freeSlots(TimePoint now) const -> std::vector<SlotId>;
  auto leasedCount() const -> std::size_t;
  auto unmet() const -> std::uint32_t;

private:
  struct Slot {
    std::optional<InstanceIncarnation> Client;
    /// 0: adopted, so that its holder knows of it.
    std::uint64_t GrantNumber = 0;
    /// Without a holder: withheld until then.
    TimePoint FreeAt;
    /// Two holders claimed it: not to be lent anew before.
    TimePoint ContestedUntil{};
  };
  struct ClientState {
    bool Local = false;
    std::uint64_t Sequence = 0;
    std::uint32_t Wanted = 0;
    std::uint32_t Load = 0;
    std::uint32_t Leased = 0;
    std::uint32_t SentRetainLimit = UINT32_MAX;
    TimePoint LastRequestAt;
    bool Changed = false;
  };

  auto countUnacknowledged(const InstanceIncarnation &to,
                           std::uint64_t seen) const -> std::uint32_t;
  auto releaseReturned(const InstanceIncarnation &from, const LeaseRequest &r,
                       TimePoint now) -> void;
  auto adopt(const InstanceIncarnation &from, ClientState &c,
             const LeaseRequest &r, TimePoint now) -> void;
  auto dropClient(const InstanceIncarnation &id, TimePoint freeAt) -> void;
  auto release(Slot &s, TimePoint freeAt) -> void;
  auto reclaim(TimePoint now) -> void;
  auto leastServed() -> std::map<InstanceIncarnation, ClientState>::iterator;
  auto pickSlot(TimePoint now) -> std::map<SlotId, Slot>::iterator;
  auto retainLimitFor(const ClientState &c) const -> std::uint32_t;

  TimePoint WithheldUntil;
  std::uint64_t NextGrantNumber;
  std::map<UpstreamId, SlotLimit> Limits;
  std::map<SlotId, Slot> Slots;
  std::map<InstanceIncarnation, ClientState> Clients;
};

} // namespace boragebridge

#endif
