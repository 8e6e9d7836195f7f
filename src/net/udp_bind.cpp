#include "net/udp_bind.h"

#include "net/asio_endpoint.h"

namespace boragebridge {

using boost::asio::ip::udp;

static auto openAndBind(udp::socket &socket, const Endpoint &at,
                        const UdpBufferSizes &buffers)
    -> boost::system::error_code {
  boost::system::error_code ec;
  if (socket.open(udp::v4(), ec); ec)
    return ec;
  boost::system::error_code ignored;
  socket.set_option(udp::socket::receive_buffer_size(buffers.ReceiveBytes),
                    ignored);
  if (buffers.SendBytes != 0)
    socket.set_option(udp::socket::send_buffer_size(buffers.SendBytes),
                      ignored);
  if (socket.non_blocking(true, ec); ec)
    return ec;
  socket.bind(toAsio<udp>(at), ec);
  return ec;
}

auto bindUdp(udp::socket &socket, const Endpoint &at,
             const UdpBufferSizes &buffers) -> absl::Status {
  if (auto ec = openAndBind(socket, at, buffers))
    return absl::UnavailableError("cannot bind UDP " + toString(at) + ": " +
                                  ec.message());
  return absl::OkStatus();
}

} // namespace boragebridge
