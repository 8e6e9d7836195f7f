/// \file
/// Converts between Endpoint and the endpoint types of Boost.Asio.
#ifndef BORAGEBRIDGE_NET_ASIO_ENDPOINT_H
#define BORAGEBRIDGE_NET_ASIO_ENDPOINT_H

#include "boragebridge/types.h"

#include <boost/asio/ip/address_v4.hpp>

namespace boragebridge {

/// Converts \p e to an endpoint of \p Protocol (ip::tcp or ip::udp).
template <typename Protocol>
auto toAsio(const Endpoint &e) -> typename Protocol::endpoint {
  return {boost::asio::ip::address_v4(e.Address), e.Port};
}

/// Converts \p e to an Endpoint. Precondition: \p e has an IPv4 address.
template <typename AsioEndpoint>
auto fromAsio(const AsioEndpoint &e) -> Endpoint {
  return {static_cast<std::uint32_t>(e.address().to_v4().to_uint()), e.port()};
}

} // namespace boragebridge

#endif
