/// \file
/// Packets as the core sees them, and where it sends them.
///
/// The fabric hands an instance any packet of any caller. Flow packets carry
/// bytes of long connections; request packets carry one typed message of the
/// request protocol. A packet travels in one datagram.
#ifndef BORAGEBRIDGE_PACKET_H
#define BORAGEBRIDGE_PACKET_H

#include "boragebridge/types.h"

namespace boragebridge {

/// What a packet is. The values are part of the datagram format.
enum class PacketKind : std::uint8_t {
  FlowOpen = 1,  ///< First packet of a flow (TCP SYN, QUIC Initial).
  FlowData = 2,  ///< Any later packet of a flow.
  FlowClose = 3, ///< Orderly end of a flow.
  FlowReset = 4, ///< The flow is broken; towards either end.
  Request = 10,  ///< Caller to instance: a request or its retry.
  Reply = 11,    ///< Instance to caller: answer, refusal or unknown.
  Cancel = 12,   ///< Caller to instance, instance to upstream.
  Execute = 20,  ///< Instance to upstream: run this attempt.
  Result = 21,   ///< Upstream to instance: its answer or refusal.
  Report = 30,   ///< Upstream to instance: health and load.
  Probe = 31,    ///< Instance to upstream: asks for a Report.
};

/// One datagram between fabric, instance and upstream.
struct Packet {
  PacketKind Kind = PacketKind::FlowData;
  FlowKey Flow;
  /// Typed message of the kind (request plane) or opaque bytes (flows).
  Bytes Payload;
};

/// The far end of a packet that arrives at an instance.
enum class PacketOrigin : std::uint8_t { Fabric, Upstream };

/// Where an instance sends packets. The implementation may drop any of them
/// and must not call back into the instance from within a call.
class PacketSink {
public:
  PacketSink() = default;
  PacketSink(const PacketSink &) = delete;
  auto operator=(const PacketSink &) -> PacketSink & = delete;
  virtual ~PacketSink() = default;
  /// Sends \p p to the upstream that listens at \p to.
  virtual auto sendToUpstream(const Endpoint &to, const Packet &p) -> void = 0;
  /// Sends \p p back to the caller p.Flow.Caller, by way of the fabric.
  virtual auto sendToCaller(const Packet &p) -> void = 0;
};

} // namespace boragebridge

#endif
