/// \file
/// The lease client of one pool at one instance.
#ifndef BORAGEBRIDGE_REQUEST_SLOT_LEASE_CLIENT_H
#define BORAGEBRIDGE_REQUEST_SLOT_LEASE_CLIENT_H

#include "request/slot_lease.h"
#include "request/slot_lease_server.h"

#include <deque>
#include <optional>

namespace boragebridge {

/// The leases of one instance from one pool. Not thread-safe.
class SlotLeaseClient {
public:
  /// Requests leases from \p server from now on. Leases of the previous server
  /// are kept until they expire, and are reported to the new one.
  auto setServer(const std::optional<InstanceIncarnation> &server) -> void;
  auto server() const -> const std::optional<InstanceIncarnation> & {
    return Server;
  }

  /// Returns the slot of an idle lease under which work may start at \p now,
  /// and marks the lease as busy. Returns nothing when there is no such lease.
  auto acquire(TimePoint now) -> std::optional<SlotId>;
  /// Records that the work under \p slot has ended. New work may be sent to its
  /// upstream from \p backoffUntil on; this is later than now after a refusal.
  auto release(const SlotId &slot, TimePoint backoffUntil) -> void;

  /// Returns the request to send at \p now.
  auto makeRequest(TimePoint now, std::uint32_t wanted, std::uint32_t load)
      -> LeaseRequest;
  /// Applies grant \p m of \p from. Ignored when \p from is not the server, or
  /// \p m answers no request on record.
  auto onGrant(const InstanceIncarnation &from, const LeaseGrant &m,
               TimePoint now) -> void;
  /// Drops expired idle leases and returns idle leases beyond the retain limit.
  /// Returns true when a request should be sent before the next renewal.
  auto tick(TimePoint now) -> bool;
  /// Returns all idle leases to the server.
  auto returnIdle() -> void;

  auto leaseCount() const -> std::size_t { return Leases.size(); }
  auto idleCount() const -> std::size_t;
  auto busyCount() const -> std::size_t { return Leases.size() - idleCount(); }
  /// Slots that the pool lacked according to the last grant.
  auto unmet() const -> std::uint32_t { return Unmet; }
  /// True while the last renewal that the server answered is valid.
  auto isServerResponding(TimePoint now) const -> bool {
    return now < ValidUntil;
  }

private:
  struct HeldLease {
    SlotLease Content;
    bool Busy = false;
    /// Revoked by the server: not used again when the work under it ends.
    bool Revoked = false;
    /// Expired while busy: reported as held while its work may continue, and
    /// not used again.
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
  /// End of the backoff of upstreams that refused work.
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
