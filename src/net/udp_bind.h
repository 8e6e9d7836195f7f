/// \file
/// Opens and binds a non-blocking UDP socket.
#ifndef BORAGEBRIDGE_NET_UDP_BIND_H
#define BORAGEBRIDGE_NET_UDP_BIND_H

#include "boragebridge/types.h"

#include "absl/status/status.h"

#include <boost/asio/ip/udp.hpp>

namespace boragebridge {

/// Requested sizes of the kernel's buffers, in bytes. The kernel caps them at
/// its own limit; a smaller buffer is not an error.
struct UdpBufferSizes {
  int ReceiveBytes = 0;
  /// 0 selects the kernel's default.
  int SendBytes = 0;
};

/// Opens \p socket as non-blocking and binds it to \p at; port 0 selects a free
/// port. Returns Unavailable when that fails. Precondition: \p socket is not
/// open.
auto bindUdp(boost::asio::ip::udp::socket &socket, const Endpoint &at,
             const UdpBufferSizes &buffers) -> absl::Status;

} // namespace boragebridge

#endif
