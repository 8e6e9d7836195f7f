/// \file
/// The borrowing side of one pool at one instance.
#ifndef BORAGEBRIDGE_REQUEST_SLOT_LEASE_CLIENT_H
#define BORAGEBRIDGE_REQUEST_SLOT_LEASE_CLIENT_H

#include "request/slot_lease.h"
#include "request/slot_lease_server.h"

#include <deque>
#include <optional>

namespace boragebridge {

/// The loans of one instance from one pool. Not thread-safe.
class SlotLeaseClient {
public:
  /// Obeys \p server from now on. Leases of the one before are kept until they
  /// run out, and are reported to the new one.
  auto setServer(const std::optional<InstanceIncarnation> &server) -> void;
  auto server() const -> const std::optional<InstanceIncarnation> & {
    return Server;
  }

  /// An idle loan that may start work at \p now, marked as busy.
  auto acquire(TimePoint now) -> std::optional<SlotId>;
  /// The work under \p slot has ended. It may start new work from \p
  /// backoffUntil on; later than now after a refusal.
  auto release(const SlotId &slot, TimePoint backoffUntil) -> void;

  /// The state to send at \p now.
  auto makeRequest(TimePoint now, std::uint32_t wanted, std::uint32_t load)
      -> LeaseRequest;
  /// State \p m from \p from. Ignored when \p from is not the server.
  auto onGrant(const InstanceIncarnation &from, const LeaseGrant &m,
               TimePoint now) -> void;
  /// Drops loans that ran out. Returns true when the server should be told
  /// before the next renewal.
  auto tick(TimePoint now) -> bool;
  /// Gives up all idle loans, for a stop.
  auto returnIdle() -> void;

  auto leaseCount() const -> std::size_t { return Leases.size(); }
  auto idleCount() const -> std::size_t;
  auto busyCount() const -> std::size_t { return Leases.size() - idleCount(); }
  /// Slots that the pool was short of when last heard.
  auto unmet() const -> std::uint32_t { return Unmet; }
  /// True while the server answers.
  auto isServerResponding(TimePoint now) const -> bool {
    return now < ValidUntil;
  }

private:
  struct HeldLease {
    SlotLease Content;
    bool Busy = false;
    /// Not to be used again when the work under it ends.
    bool Revoked = false;
    /// Ran out while busy: reported as held while its work may go on, and not
    /// to be used again.
    bool Expired = false;
    TimePoint BusyUntil;
  };
  struct SentRequest {
    std::uint64_t Sequence;
    TimePoint At;
  };

  auto shrinkTo(std::uint32_t limit) -> void;
  auto expire(TimePoint now) -> void;
  auto isBackingOff(UpstreamId id, TimePoint now) const -> bool;

  std::optional<InstanceIncarnation> Server;
  std::vector<HeldLease> Leases;
  /// Upstreams that refused of late.
  std::map<UpstreamId, TimePoint> BackoffUntil;
  std::deque<SentRequest> SentRequests;
  std::uint64_t Sequence = 0;
  std::uint64_t HighestGrantSeen = 0;
  std::uint32_t RetainLimit = UINT32_MAX;
  std::uint32_t Unmet = 0;
  TimePoint ValidUntil{};
  bool NotifyServer = false;
};

} // namespace boragebridge

#endif
