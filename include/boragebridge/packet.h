/// \file
/// Packets between fabric, instances and upstreams, and the interface for
/// sending them.
///
/// The fabric may deliver any packet of any caller to any instance. Flow
/// packets carry the bytes of long connections; request packets carry one typed
/// message of the request protocol. Each packet is sent as one datagram.
#ifndef BORAGEBRIDGE_PACKET_H
#define BORAGEBRIDGE_PACKET_H

#include "boragebridge/types.h"

namespace boragebridge {

/// The kind of a packet. The values are part of the datagram format.
enum class PacketKind : std::uint8_t {
  FlowOpen = 1,  ///< First packet of a flow (TCP SYN, QUIC Initial).
  FlowData = 2,  ///< Any later packet of a flow.
  FlowClose = 3, ///< Regular end of a flow.
  FlowReset = 4, ///< Aborts the flow; sent to either end.
  Request = 10,  ///< Caller to instance: a request or retransmission.
  Reply = 11,    ///< Instance to caller: answer, refusal or unknown.
  Cancel = 12,   ///< Caller to instance, instance to upstream.
  Execute = 20,  ///< Instance to upstream: run this attempt.
  Result = 21,   ///< Upstream to instance: answer or refusal.
  Report = 30,   ///< Upstream to instance: health and load.
  Probe = 31,    ///< Instance to upstream: asks for a Report.
};

/// One datagram between fabric, instance and upstream.
struct Packet {
  PacketKind Kind = PacketKind::FlowData;
  FlowKey Flow;
  /// A typed message (request plane) or opaque bytes (flows).
  Bytes Payload;
};

/// The side from which a packet arrived at an instance.
enum class PacketOrigin : std::uint8_t { Fabric, Upstream };

/// Sends the packets of an instance. The implementation may drop any packet,
/// and must not call back into the instance from within a call.
class PacketSink {
public:
  PacketSink() = default;
  PacketSink(const PacketSink &) = delete;
  auto operator=(const PacketSink &) -> PacketSink & = delete;
  virtual ~PacketSink() = default;
  /// Sends \p p to the upstream that listens at \p to.
  virtual auto sendToUpstream(const Endpoint &to, const Packet &p) -> void = 0;
  /// Sends \p p through the fabric to the caller p.Flow.Caller.
  virtual auto sendToCaller(const Packet &p) -> void = 0;
};

} // namespace boragebridge

#endif
