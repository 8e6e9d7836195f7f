/// \file
/// Opens and binds a UDP socket that never blocks.
#ifndef BORAGEBRIDGE_NET_UDP_BIND_H
#define BORAGEBRIDGE_NET_UDP_BIND_H

#include "boragebridge/types.h"

#include "absl/status/status.h"

#include <boost/asio/ip/udp.hpp>

namespace boragebridge {

/// Kernel buffers to ask for, in bytes. The kernel caps them at its own limit;
/// a smaller buffer is no error.
struct UdpBufferSizes {
  int ReceiveBytes = 0;
  /// 0: the kernel's default.
  int SendBytes = 0;
};

/// Binds \p socket to \p at (port 0: any free one). Unavailable when that
/// fails. Precondition: \p socket is not open.
auto bindUdp(boost::asio::ip::udp::socket &socket, const Endpoint &at,
             const UdpBufferSizes &buffers) -> absl::Status;

} // namespace boragebridge

#endif
