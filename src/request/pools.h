/// \file
/// The slot pools from the point of view of one instance: the lease server of
/// each pool, the pools that this instance serves, and the leases that it
/// holds.
#ifndef BORAGEBRIDGE_REQUEST_POOLS_H
#define BORAGEBRIDGE_REQUEST_POOLS_H

#include "boragebridge/controller.h"
#include "request/messages.h"
#include "request/slot_lease_client.h"
#include "request/slot_lease_server.h"

#include <unordered_map>

namespace boragebridge {

/// A leased slot that may be used for one request.
struct LeasedSlot {
  PoolId Pool;
  SlotId Slot;
  Endpoint Address;
};

/// Load of one service at this instance.
struct ServiceLoad {
  std::uint32_t Queued = 0;
  std::uint32_t Running = 0;
};

/// The lease clients of this instance, and the lease servers of the pools that
/// it serves. Not thread-safe.
class Pools {
public:
  explicit Pools(const ControllerContext &ctx);

  /// Renews and grants leases, and follows changes of configuration, membership
  /// and health.
  auto tick(TimePoint now) -> void;
  /// Sets the load of \p s at this instance, and requests slots if necessary.
  auto setLoad(ServiceId s, const ServiceLoad &load, TimePoint now) -> void;
  /// Returns a slot for a request of \p s, preferably of an upstream in this
  /// data centre; nothing when no slot is available.
  auto acquire(ServiceId s, TimePoint now) -> std::optional<LeasedSlot>;
  /// Records that the work under \p slot has ended; \p backoffUntil is as in
  /// SlotLeaseClient::release().
  auto release(const LeasedSlot &slot, TimePoint backoffUntil) -> void;
  /// Handles a pool message. False when it is malformed.
  [[nodiscard]] auto onFrame(RequestMessage kind, const PeerFrame &f,
                             TimePoint now) -> bool;
  /// Stops serving pools and hands them over to the next lease servers.
  auto beginStop(TimePoint now) -> void;

  /// True when \p s has an upstream in a data centre that is not withdrawn.
  auto isServable(ServiceId s) const -> bool;
  /// Slots leased for \p s, busy or idle.
  auto leaseCount(ServiceId s) const -> std::size_t;
  auto servedPoolCount() const -> std::size_t { return Servers.size(); }
  auto leasedSlotCount() const -> std::size_t;

private:
  struct PoolTable {
    std::vector<SlotLimit> Limits;
  };
  struct ClientState {
    SlotLeaseClient Client;
    Endpoint ServerAddress;
    std::uint32_t RequestedSlots = 0;
    TimePoint LastRequest{};
  };
  struct PendingHandover {
    Endpoint To;
    rw::PoolHandOverT Message;
    int RepeatsLeft = 0;
    TimePoint Next;
  };

  auto refresh(TimePoint now) -> void;
  auto buildTables() -> void;
  auto electLeaseServer(const PoolId &id) const -> const Member *;
  auto updateRole(const PoolId &id, TimePoint now) -> void;
  auto startServing(const PoolId &id, TimePoint now) -> void;
  auto makeLeaseServer(TimePoint now) -> SlotLeaseServer;
  auto stopServing(const PoolId &id, const Member *next, TimePoint now) -> void;
  auto sendClaims(TimePoint now) -> void;
  auto sendHandovers(TimePoint now) -> void;
  auto requestLeases(const PoolId &id, ClientState &c, TimePoint now) -> void;
  auto handleLeaseRequest(const PoolId &id, const InstanceIncarnation &from,
                          DataCentreId dc, const LeaseRequest &r, TimePoint now)
      -> void;
  auto grantLeases(const PoolId &id, TimePoint now) -> void;
  auto sendGrant(const PoolId &id, const InstanceIncarnation &to, TimePoint now)
      -> void;
  auto wantedFrom(const PoolId &id) const -> std::uint32_t;
  auto isLocal(const PoolId &id) const -> bool;
  auto checkForPause(TimePoint now) -> void;
  auto selfId() const -> InstanceIncarnation;
  auto onDemandFrame(const PeerFrame &f, TimePoint now) -> bool;
  auto onLendFrame(const PeerFrame &f, TimePoint now) -> bool;
  auto onHandoverFrame(const PeerFrame &f, TimePoint now) -> bool;
  auto onClaimFrame(const PeerFrame &f, TimePoint now) -> bool;

  const ControllerContext &Ctx;
  std::map<PoolId, PoolTable> Tables;
  std::unordered_map<ServiceId, std::vector<PoolId>> PoolsOf;
  std::unordered_map<UpstreamId, Endpoint> Addresses;
  std::map<PoolId, SlotLeaseServer> Servers;
  std::map<PoolId, ClientState> Clients;
  /// For a pool that another instance has claimed: until when this instance
  /// does not serve it.
  std::map<PoolId, TimePoint> YieldUntil;
  std::unordered_map<ServiceId, ServiceLoad> Loads;
  std::vector<PendingHandover> Handovers;
  /// Tenure of the last handover received from each sender for each pool, so
  /// that duplicates are ignored.
  std::map<std::pair<Incarnation, PoolId>, std::uint64_t> ReceivedHandovers;
  /// Number of the handover that was created last, over all pools.
  std::uint64_t Tenure = 0;
  /// First grant number of the lease server that was created last.
  std::uint64_t GrantBase = 0;
  std::uint64_t ConfigurationVersion = UINT64_MAX;
  std::uint64_t MembershipVersion = UINT64_MAX;
  std::uint64_t HealthVersion = UINT64_MAX;
  TimePoint LastActive{};
  TimePoint NextClaims{};
  bool Stopping = false;
};

} // namespace boragebridge

#endif
