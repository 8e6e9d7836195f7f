#include "net/packet_socket.h"

#include "codec/datagram_codec.h"
#include "net/asio_endpoint.h"
#include "net/udp_bind.h"

#include <boost/asio/buffer.hpp>

namespace boragebridge {

namespace asio = boost::asio;
using asio::ip::udp;

auto PacketSocket::open(asio::io_context &io, const Endpoint &at)
    -> absl::StatusOr<std::unique_ptr<PacketSocket>> {
  auto socket = std::make_unique<PacketSocket>(io);
  if (auto s =
          bindUdp(socket->Socket, at, {KernelBufferBytes, KernelBufferBytes});
      !s.ok())
    return s;
  return socket;
}

auto PacketSocket::start(Handler h) -> void {
  Receive = std::move(h);
  Buffer.resize(MaxDatagramBytes);
  wait();
}

auto PacketSocket::wait() -> void {
  Socket.async_wait(udp::socket::wait_read,
                    [this, alive = std::weak_ptr(Alive)](auto ec) {
                      if (ec || alive.expired())
                        return;
                      receiveBatch();
                    });
}

auto PacketSocket::receiveBatch() -> void {
  const std::weak_ptr<bool> alive = Alive;
  for (int n = 0; n < ReceiveBatch; ++n) {
    if (!receiveOne())
      break;
    if (alive.expired())
      return;
  }
  wait();
}

auto PacketSocket::receiveOne() -> bool {
  udp::endpoint from;
  boost::system::error_code ec;
  auto n = Socket.receive_from(asio::buffer(Buffer), from, 0, ec);
  // An ICMP error for an earlier send is reported here; the socket stays
  // usable.
  if (ec)
    return ec != asio::error::would_block &&
           ec != asio::error::operation_aborted &&
           ec != asio::error::bad_descriptor;
  auto p = decodeDatagram(ByteView(Buffer).first(n));
  if (!p.ok()) {
    ++Counts.Malformed;
    return true;
  }
  ++Counts.Received;
  Receive(fromAsio(from), *p);
  return true;
}

auto PacketSocket::send(const Endpoint &to, const Packet &p) -> void {
  auto datagram = encodeDatagram(p);
  if (!datagram.ok()) {
    ++Counts.SendFailed;
    return;
  }
  boost::system::error_code ec;
  Socket.send_to(asio::buffer(*datagram), toAsio<udp>(to), 0, ec);
  ++(ec ? Counts.SendFailed : Counts.Sent);
}

auto PacketSocket::localEndpoint() const -> Endpoint {
  boost::system::error_code ec;
  return fromAsio(Socket.local_endpoint(ec));
}

} // namespace boragebridge
