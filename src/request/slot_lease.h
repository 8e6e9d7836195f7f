/// \file
/// Permits: loans of an upstream's slots. The upstreams of one service in one
/// data centre form a pool; one instance of that data centre, its keeper, lends
/// their slots to the instances that want them.
///
/// A loan is renewed by message and is good for Term after the renewal was
/// asked for, on the holder's clock. Work that is sent under a loan ends at
/// most MaxExecution later, because the upstream stops it then. So a slot whose
/// holder went silent is free again after ReclaimAfter, on the keeper's clock;
/// only durations are compared, never the times of two instances.
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

/// One loan. GrantNumber counts the loans of a keeper's tenure.
struct SlotLease {
  SlotId Slot;
  std::uint64_t GrantNumber = 0;
};

/// The times that the safety of loans rests on.
struct SlotLeaseTerms {
  /// A loan may start work this long after its renewal was asked for.
  static constexpr Duration Term = std::chrono::seconds(2);
  /// Longest deadline that is given to an upstream.
  static constexpr Duration MaxExecution = std::chrono::seconds(5);
  /// Travel time of packets and drift of clock rates, taken together.
  static constexpr Duration Margin = std::chrono::milliseconds(500);
  static constexpr Duration ReclaimAfter = Term + MaxExecution + Margin;
  static constexpr Duration RenewInterval = std::chrono::milliseconds(250);
  /// A process that did nothing for this long was paused.
  static constexpr Duration PauseThreshold = std::chrono::milliseconds(500);
};

/// Says what a holder has and wants; the whole state each time.
struct LeaseRequest {
  std::uint64_t Sequence = 0;
  /// Highest grant heard of in this keeper's tenure.
  std::uint64_t HighestGrantSeen = 0;
  /// Slots wanted besides those held.
  std::uint32_t Wanted = 0;
  /// Requests queued or running, the measure of a fair share.
  std::uint32_t Load = 0;
  std::vector<SlotLease> Held;
};

/// Says what a keeper has lent to one holder; the whole state each time.
struct LeaseGrant {
  /// Of the demand answered.
  std::uint64_t Sequence = 0;
  /// How many loans the holder may keep when they fall idle.
  std::uint32_t RetainLimit = 0;
  /// Slots that all holders together want and cannot get.
  std::uint32_t Unmet = 0;
  std::vector<SlotLease> Leases;
};

} // namespace boragebridge

#endif
