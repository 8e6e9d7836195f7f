/// \file
/// The packet path of flows: forwards packets of settled slots by the tables,
/// and takes the others to the instance that decides for their slot.
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

/// One for each instance. Reads Configuration, Readiness, Membership and
/// Health; writes no section.
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

  /// How a packet would be handled, for experiments: the upstream when the
  /// slot is settled, and none otherwise. No allocation, no lock.
  auto settledTarget(const FlowKey &k) -> const Target *;

  auto agreement() -> PlacementAgreement & { return Agreement; }
  auto home() -> FlowHome & { return Home; }

private:
  auto onFabricPacket(const Packet &p, TimePoint now) -> void;
  auto onUpstreamPacket(const Endpoint &peer, const Packet &p, TimePoint now)
      -> void;
  auto onRelay(const PeerFrame &f) -> bool;
  auto decideLocally(const FlowPacket &p, TimePoint now) -> void;
  auto forwardCachedOrRelay(const FlowPacket &p, const Peer &home,
                            TimePoint now) -> void;
  auto relayUndecided(const FlowPacket &p) -> void;
  /// To the other owner of the slot, which has a later configuration.
  auto relayToOtherOwner(const FlowPacket &p) -> void;
  auto relay(const Peer &to, const FlowPacket &p, std::uint8_t hops) -> void;
  auto forward(const Target &t, const Packet &p, FlowHash h, TimePoint now)
      -> void;
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
