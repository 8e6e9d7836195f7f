/// \file
/// The packet path of flows. Packets of settled slots are forwarded from the
/// tables; those of an unsettled slot go to the slot's home, the instance that
/// decides for its flows.
///
/// Example:
/// \code
///   all.push_back(makeFlowController(ctx));
/// \endcode
#ifndef BORAGEBRIDGE_FLOW_FLOW_CONTROLLER_H
#define BORAGEBRIDGE_FLOW_FLOW_CONTROLLER_H

#include "flow/flow_home.h"
#include "flow/stalled_flow_detector.h"

namespace boragebridge {

/// The flow controller of one instance. Reads Configuration, Readiness,
/// Membership and Health; writes no section of the blackboard. Not thread-safe.
class FlowController final : public Controller {
public:
  explicit FlowController(const ControllerContext &ctx, FlowOptions opt = {});

  auto name() const -> std::string_view override { return "flow"; }
  auto family() const -> MessageFamily override { return MessageFamily::Flow; }
  auto tick(TimePoint now) -> void override;
  [[nodiscard]] auto onPeerFrame(const PeerFrame &f) -> bool override;
  auto onPacket(PacketOrigin from, const Endpoint &peer, const Packet &p)
      -> bool override;
  auto beginStop() -> void override;
  auto isStopped() const -> bool override;
  auto dump() const -> boost::json::object override;

  /// The upstream of a packet of \p k when its slot is settled; null otherwise.
  /// Sends nothing; experiments call it. Does not allocate or lock.
  auto settledTarget(const FlowKey &k) -> const Target *;

  auto agreement() -> PlacementAgreement & { return Agreement; }
  auto home() -> FlowHome & { return Home; }

private:
  auto onFabricPacket(const Packet &p, TimePoint now) -> void;
  auto onUpstreamPacket(const Endpoint &peer, const Packet &p, TimePoint now)
      -> void;
  auto onRelay(const PeerFrame &f) -> bool;
  /// Decides \p p as its home, or asks another instance that may have its
  /// record.
  auto decideLocally(const ResolvedPacket &p, TimePoint now) -> void;
  /// Forwards \p p by a cached record, or relays it to \p home.
  auto forwardCachedOrRelay(const ResolvedPacket &p, const Peer &home,
                            TimePoint now) -> void;
  /// Relays \p p to an owner of its slot because the tables of this instance
  /// cannot be used.
  auto relayUndecided(const ResolvedPacket &p) -> void;
  /// Relays \p p to the other owner of its slot, whose configuration may be
  /// newer. Drops \p p when there is none or it has used up its hops.
  auto relayToOtherOwner(const ResolvedPacket &p) -> void;
  auto relay(const Peer &to, const ResolvedPacket &p, std::uint8_t hops)
      -> void;
  auto forward(const Target &t, const Packet &p, FlowHash h, TimePoint now)
      -> void;
  /// Resets the flow of \p p, a mid-flow packet whose upstream is removed or
  /// withdrawn.
  auto resetCaller(const Packet &p) -> void;
  auto updateMembers() -> void;
  static auto settledTargetOf(const ServiceEntry &e, std::uint64_t h)
      -> const Target *;

  const ControllerContext Context;
  FlowOptions Options;
  LiveMembers Members;
  PeerMessenger Messenger;
  PlacementAgreement Agreement;
  ServiceDirectory Directory;
  FlowHome Home;
  StalledFlowDetector StalledFlows;
  std::uint64_t SeenMembership = 0;
  bool Stopping = false;
  TimePoint StopSince;

  Counter &SettledPackets;
  Counter &DecidedPackets;
  Counter &CachedPackets;
  Counter &RelayedPackets;
  Counter &DroppedPackets;
  Counter &UpstreamGoneResets;
  Counter &StalledResets;
  Gauge &UnsettledGauge;
  Gauge &RecordGauge;
  Gauge &RecordBytesGauge;
};

auto makeFlowController(const ControllerContext &ctx)
    -> std::unique_ptr<Controller>;

} // namespace boragebridge

#endif
