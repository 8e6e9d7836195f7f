/// \file
/// Sends the packets of an instance over the UDP socket that it shares between
/// fabric and upstreams, and finds the origin of received packets by the sender
/// address: packets from the fabric's address come from callers, and all other
/// packets are treated as coming from an upstream.
#ifndef BORAGEBRIDGE_NET_UDP_PACKET_SINK_H
#define BORAGEBRIDGE_NET_UDP_PACKET_SINK_H

#include "net/packet_socket.h"

namespace boragebridge {

/// Not thread-safe. The socket must outlive the sink.
class UdpPacketSink final : public PacketSink {
public:
  UdpPacketSink(PacketSocket &socket, const Endpoint &fabric)
      : Socket(socket), Fabric(fabric) {}
  auto sendToUpstream(const Endpoint &to, const Packet &p) -> void override {
    Socket.send(to, p);
  }
  auto sendToCaller(const Packet &p) -> void override {
    Socket.send(Fabric, p);
  }
  /// Returns the origin of a packet that \p from sent.
  auto originOf(const Endpoint &from) const -> PacketOrigin {
    return from == Fabric ? PacketOrigin::Fabric : PacketOrigin::Upstream;
  }

private:
  PacketSocket &Socket;
  Endpoint Fabric;
};

} // namespace boragebridge

#endif
