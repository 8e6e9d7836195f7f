/// \file
/// HTTP exchanges with the store over TLS. They are in a separate file so that
/// a program that calls its store without TLS does not load OpenSSL.
#ifndef BORAGEBRIDGE_STORE_TLS_EXCHANGE_H
#define BORAGEBRIDGE_STORE_TLS_EXCHANGE_H

#include "store/http_platform.h"

#include <boost/asio/ssl/context.hpp>

#include <memory>

namespace boragebridge {

/// Makes a transport that runs exchanges over TLS with the keys of \p tls.
/// \p serverName is the name that the store's certificate has to contain; empty
/// for any.
auto makeTlsTransport(std::shared_ptr<boost::asio::ssl::context> tls,
                      std::string serverName) -> StoreTransport;

} // namespace boragebridge

#endif
