/// \file
/// The packet side of an instance: one UDP socket towards fabric and
/// upstreams. What comes from the fabric's address is from callers; all else
/// is taken as from an upstream.
#ifndef BORAGEBRIDGE_NET_UDP_PACKET_SINK_H
#define BORAGEBRIDGE_NET_UDP_PACKET_SINK_H

#include "net/packet_socket.h"

namespace boragebridge {

/// Not thread-safe; the socket outlives it.
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
  auto originOf(const Endpoint &from) const -> PacketOrigin {
    return from == Fabric ? PacketOrigin::Fabric : PacketOrigin::Upstream;
  }

private:
  PacketSocket &Socket;
  Endpoint Fabric;
};

} // namespace boragebridge

#endif
