/// \file
/// The store over TLS. A file of its own, so that a program which talks to its
/// store in the clear does not load OpenSSL.
#ifndef BORAGEBRIDGE_STORE_TLS_EXCHANGE_H
#define BORAGEBRIDGE_STORE_TLS_EXCHANGE_H

#include "store/http_platform.h"

#include <boost/asio/ssl/context.hpp>

#include <memory>

namespace boragebridge {

/// Exchanges over TLS with the keys of \p tls. \p serverName is what the
/// store's certificate has to carry; empty: any.
auto makeTlsTransport(std::shared_ptr<boost::asio::ssl::context> tls,
                      std::string serverName) -> StoreTransport;

} // namespace boragebridge

#endif
