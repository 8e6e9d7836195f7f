/// \file
/// Sends the messages of the flow family and counts their bytes, separately for
/// control messages and relayed packets.
#ifndef BORAGEBRIDGE_FLOW_PEER_MESSENGER_H
#define BORAGEBRIDGE_FLOW_PEER_MESSENGER_H

#include "flow/flow_wire.h"
#include "flow/live_members.h"

namespace boragebridge {

/// The sender of flow messages of one instance. Not thread-safe.
class PeerMessenger {
public:
  explicit PeerMessenger(const ControllerContext &ctx)
      : Link(ctx.Peers), Self(ctx.Self.Id),
        ControlBytes(ctx.Metrics.counter(
            "flow_control_bytes_total",
            "Bytes of flow control messages sent to peers")),
        RelayedBytes(ctx.Metrics.counter(
            "flow_relayed_bytes_total",
            "Bytes of packets relayed to the instance that decides")) {}

  /// Sends \p m to \p to. Returns the size of the body and its frame in bytes.
  /// Delivery is not guaranteed.
  template <typename M>
  auto send(const Peer &to, FlowMessage kind, const M &m) -> std::size_t {
    return transmit(to, kind, encode(m));
  }

  /// Sends \p m to every peer in \p all except this instance.
  template <typename M>
  auto sendAll(const std::vector<Peer> &all, FlowMessage kind, const M &m)
      -> void {
    const auto body = encode(m);
    for (const auto &p : all)
      if (p.Id != Self)
        transmit(p, kind, body);
  }

private:
  static constexpr std::size_t FrameOverhead = 32;

  auto transmit(const Peer &to, FlowMessage kind, Bytes body) -> std::size_t {
    const auto size = body.size() + FrameOverhead;
    const auto isData = kind == FlowMessage::Relay;
    (isData ? RelayedBytes : ControlBytes).add(size);
    const auto isBulk = isData || kind == FlowMessage::Records;
    Link.send(to.Address, frameKind(kind), std::move(body),
              isBulk ? Priority::Data : Priority::Control);
    return size;
  }

  PeerLink &Link;
  InstanceId Self;
  Counter &ControlBytes;
  Counter &RelayedBytes;
};

} // namespace boragebridge

#endif
