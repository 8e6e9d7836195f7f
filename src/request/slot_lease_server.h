/// \file
/// The lease server of one pool.
#ifndef BORAGEBRIDGE_REQUEST_SLOT_LEASE_SERVER_H
#define BORAGEBRIDGE_REQUEST_SLOT_LEASE_SERVER_H

#include "request/slot_lease.h"

#include <map>
#include <optional>

namespace boragebridge {

/// One incarnation of an instance.
struct InstanceIncarnation {
  InstanceId Id{};
  Incarnation IncarnationNumber{};
  auto operator<=>(const InstanceIncarnation &) const = default;
};

/// How many slots of an upstream may be in use now.
struct SlotLimit {
  UpstreamId Upstream{};
  std::uint32_t Allowed = 0;
  /// Slots of faster upstreams are leased first.
  double SpeedPercent = 100;
};

/// Leases the slots of one pool. A new server has no record of existing leases.
/// It withholds every slot until any lease by an earlier server must have
/// ended, the client reports its lease, or the earlier server hands the slot
/// over as free. Not thread-safe.
class SlotLeaseServer {
public:
  /// \p firstGrantNumber is above every grant number of this instance's earlier
  /// tenures.
  explicit SlotLeaseServer(TimePoint now, std::uint64_t firstGrantNumber = 1);

  /// Replaces the upstreams and their limits. An upstream that is left out gets
  /// no new leases; its slots stay on record until they are returned.
  auto setLimits(const std::vector<SlotLimit> &limits) -> void;
  /// Handles request \p r of \p from, which is in this data centre when
  /// \p local. False when \p r is not newer than the last request handled.
  auto onRequest(const InstanceIncarnation &from, bool local,
                 const LeaseRequest &r, TimePoint now) -> bool;
  /// Adds \p slots, which an earlier server handed over as free.
  auto addFree(const std::vector<SlotId> &slots, TimePoint now) -> void;
  /// Reclaims ended leases and grants leases of free slots. Returns the clients
  /// whose state changed and that must be notified.
  auto grantLeases(TimePoint now) -> std::vector<InstanceIncarnation>;
  /// Returns the grant to send to \p to; nothing when it is not a client.
  auto grantFor(const InstanceIncarnation &to) const
      -> std::optional<LeaseGrant>;
  /// Returns the slots that no client holds and that are not withheld.
  auto freeSlots(TimePoint now) const -> std::vector<SlotId>;
  auto leasedCount() const -> std::size_t;
  auto unmet() const -> std::uint32_t;

private:
  struct Slot {
    std::optional<InstanceIncarnation> Client;
    /// 0 for an adopted lease, which its client already has.
    std::uint64_t GrantNumber = 0;
    /// For a slot without a client: withheld until then.
    TimePoint FreeAt;
    /// Reported by two clients: not leased again before then.
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
