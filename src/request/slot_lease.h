/// \file
/// Leases of upstream slots. The upstreams of one service in one data centre
/// form a pool. One instance of that data centre is the pool's lease server: it
/// leases the slots to the instances that request them, the lease clients. The
/// time for which an instance is the lease server of a pool is called its
/// tenure.
///
/// A lease is renewed by message and is valid for Term after the renewal was
/// requested, on the client's clock. Work that is sent under a lease ends at
/// most MaxExecution later, because the upstream stops it then. A slot whose
/// client has stopped renewing is therefore free again after ReclaimAfter, on
/// the server's clock. Only durations are compared, never the times of two
/// instances.
#ifndef BORAGEBRIDGE_REQUEST_SLOT_LEASE_H
#define BORAGEBRIDGE_REQUEST_SLOT_LEASE_H

#include "boragebridge/types.h"

namespace boragebridge {

/// The upstreams of one service in one data centre.
struct PoolId {
  ServiceId Service{};
  DataCentreId DataCentre{};
  auto operator<=>(const PoolId &) const = default;
};

/// One slot of an upstream.
struct SlotId {
  UpstreamId Upstream{};
  std::uint32_t Index = 0;
  auto operator<=>(const SlotId &) const = default;
};

/// One lease. GrantNumber numbers the leases of a server in the order in which
/// it granted them.
struct SlotLease {
  SlotId Slot;
  std::uint64_t GrantNumber = 0;
};

/// Durations that the safety of leases depends on.
struct SlotLeaseTerms {
  /// Work may start under a lease for this long after its renewal was
  /// requested.
  static constexpr Duration Term = std::chrono::seconds(2);
  /// Longest execution time that is given to an upstream.
  static constexpr Duration MaxExecution = std::chrono::seconds(5);
  /// Allowance for the transit time of packets and the drift of clock rates
  /// together.
  static constexpr Duration Margin = std::chrono::milliseconds(500);
  /// Time from a client's last request until its slots are free again.
  static constexpr Duration ReclaimAfter = Term + MaxExecution + Margin;
  static constexpr Duration RenewInterval = std::chrono::milliseconds(250);
  /// A process that was inactive for longer than this was paused.
  static constexpr Duration PauseThreshold = std::chrono::milliseconds(500);
};

/// A lease client reports the leases that it holds and the slots that it wants.
/// Each request contains the whole state.
struct LeaseRequest {
  std::uint64_t Sequence = 0;
  /// Highest grant number received in this server's tenure.
  std::uint64_t HighestGrantSeen = 0;
  /// Slots wanted in addition to those held.
  std::uint32_t Wanted = 0;
  /// Requests queued or running; the measure of a client's fair share.
  std::uint32_t Load = 0;
  std::vector<SlotLease> Held;
};

/// A lease server reports the leases of one client. Each grant contains the
/// whole state.
struct LeaseGrant {
  /// Sequence of the request that is answered.
  std::uint64_t Sequence = 0;
  /// Leases that the client may hold; it returns idle leases beyond this
  /// number.
  std::uint32_t RetainLimit = 0;
  /// Slots that all clients together want and cannot get.
  std::uint32_t Unmet = 0;
  std::vector<SlotLease> Leases;
};

} // namespace boragebridge

#endif
