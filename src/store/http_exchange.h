/// \file
/// One HTTP request to the store and its response, as HttpPlatform runs it.
#ifndef BORAGEBRIDGE_STORE_HTTP_EXCHANGE_H
#define BORAGEBRIDGE_STORE_HTTP_EXCHANGE_H

#include "boragebridge/types.h"

#include "absl/status/statusor.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <string>

namespace boragebridge {

using StoreHttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using StoreHttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/// A response, and how long it took from its first byte to its last.
struct StoreExchange {
  StoreHttpResponse Response;
  Duration Receiving{};
};
using StoreExchangeResult =
    boost::asio::awaitable<absl::StatusOr<StoreExchange>>;

/// Limits of an exchange. A response that has begun is given up only when it
/// makes no progress, however long it is for the link.
struct ExchangeLimits {
  /// Until the header of the response is complete, connecting included.
  Duration Timeout{};
  /// Between two parts of the body.
  Duration StallTimeout{};
  /// From the first to the last byte of the body. Bounds what a sender that is
  /// hardly faster than StallTimeout can hold up.
  Duration TransferTimeout{};
  /// Maximum size of the body.
  std::size_t ResponseBytes = 0;
};

/// Runs one exchange with \p to over a new TCP connection, on \p executor.
/// Errors: Unavailable when nothing was sent, DataLoss when the response is
/// too long, DeadlineExceeded when it is unknown whether the request took
/// effect.
auto exchangePlain(boost::asio::any_io_executor executor, Endpoint to,
                   StoreHttpRequest request, ExchangeLimits limits)
    -> StoreExchangeResult;

/// Whether an exchange failed with \p s because the peer closed the connection
/// before its response began.
auto isClosedByPeer(const absl::Status &s) -> bool;

} // namespace boragebridge

#endif
