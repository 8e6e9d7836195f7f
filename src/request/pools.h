/// \file
/// The pools of upstream slots as one instance takes part in them: which
/// instance keeps each, the pools that this one keeps, and what it holds.
#ifndef BORAGEBRIDGE_REQUEST_POOLS_H
#define BORAGEBRIDGE_REQUEST_POOLS_H

#include "boragebridge/controller.h"
#include "request/messages.h"
#include "request/slot_lease_client.h"
#include "request/slot_lease_server.h"

#include <unordered_map>

namespace boragebridge {

/// A slot that may be used for one request.
struct LeasedSlot {
  PoolId Pool;
  SlotId Slot;
  Endpoint Address;
};

/// Load of one service at this instance.
struct ServiceNeed {
  std::uint32_t Queued = 0;
  std::uint32_t Running = 0;
};

/// Not thread-safe.
class Pools {
public:
  explicit Pools(const ControllerContext &ctx);

  /// Renews, lends and follows changes of configuration, membership, health.
  auto tick(TimePoint now) -> void;
  /// Tells how much of \p s waits here; asks for slots when it must.
  auto setNeed(ServiceId s, const ServiceNeed &need, TimePoint now) -> void;
  /// A permit for a request of \p s; this data centre's own upstreams first.
  auto acquire(ServiceId s, TimePoint now) -> std::optional<LeasedSlot>;
  /// The work under \p p has ended; \p restUntil as SlotLeaseClient::release.
  auto release(const LeasedSlot &p, TimePoint restUntil) -> void;
  /// A pool message. False when it is malformed.
  [[nodiscard]] auto onFrame(RequestMessage kind, const PeerFrame &f,
                             TimePoint now) -> bool;
  /// Stops keeping pools and gives idle loans back.
  auto beginStop(TimePoint now) -> void;

  /// True when \p s has an upstream that may take work.
  auto isServable(ServiceId s) const -> bool;
  /// Slots held for \p s, busy or idle.
  auto loanCount(ServiceId s) const -> std::size_t;
  auto keptPools() const -> std::size_t { return Keepers.size(); }
  auto lentSlots() const -> std::size_t;

private:
  struct PoolTable {
    std::vector<SlotLimit> Limits;
  };
  struct HolderState {
    SlotLeaseClient Holder;
    Endpoint KeeperAddress;
    std::uint32_t AskedFor = 0;
    TimePoint LastDemand{};
  };
  struct PendingHandOver {
    Endpoint To;
    rw::PoolHandOverT Message;
    int Left = 0;
    TimePoint Next;
  };

  auto refresh(TimePoint now) -> void;
  auto buildTables() -> void;
  auto electKeeper(const PoolId &id) const -> const Member *;
  auto follow(const PoolId &id, TimePoint now) -> void;
  auto keep(const PoolId &id, TimePoint now) -> void;
  auto newKeeper(TimePoint now) -> SlotLeaseServer;
  auto stopKeeping(const PoolId &id, const Member *next, TimePoint now) -> void;
  auto sendClaims(TimePoint now) -> void;
  auto sendHandOvers(TimePoint now) -> void;
  auto demand(const PoolId &id, HolderState &h, TimePoint now) -> void;
  auto takeDemand(const PoolId &id, const InstanceIncarnation &from,
                  DataCentreId dc, const LeaseRequest &d, TimePoint now)
      -> void;
  auto lend(const PoolId &id, TimePoint now) -> void;
  auto tell(const PoolId &id, const InstanceIncarnation &to, TimePoint now)
      -> void;
  auto wantedFrom(const PoolId &id) const -> std::uint32_t;
  auto isLocal(const PoolId &id) const -> bool;
  auto noteActivity(TimePoint now) -> void;
  auto selfId() const -> InstanceIncarnation;
  auto onDemandFrame(const PeerFrame &f, TimePoint now) -> bool;
  auto onLendFrame(const PeerFrame &f, TimePoint now) -> bool;
  auto onHandOverFrame(const PeerFrame &f, TimePoint now) -> bool;
  auto onClaimFrame(const PeerFrame &f, TimePoint now) -> bool;

  const ControllerContext &Ctx;
  std::map<PoolId, PoolTable> Tables;
  std::unordered_map<ServiceId, std::vector<PoolId>> PoolsOf;
  std::unordered_map<UpstreamId, Endpoint> Addresses;
  std::map<PoolId, SlotLeaseServer> Keepers;
  std::map<PoolId, HolderState> Holders;
  std::map<PoolId, TimePoint> YieldUntil;
  std::unordered_map<ServiceId, ServiceNeed> Needs;
  std::vector<PendingHandOver> HandOvers;
  /// Hand-overs taken, so that a copy is not taken again.
  std::map<std::pair<Incarnation, PoolId>, std::uint64_t> TakenHandOvers;
  std::uint64_t Tenure = 0;
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
