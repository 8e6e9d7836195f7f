/// \file
/// One HTTP exchange with the store, as HttpPlatform runs it; over plain TCP
/// or over TLS. Beast is slow to compile: for .cpp files of src/store only.
#ifndef BORAGEBRIDGE_STORE_HTTP_EXCHANGE_H
#define BORAGEBRIDGE_STORE_HTTP_EXCHANGE_H

#include "boragebridge/types.h"

#include "absl/status/statusor.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <string>

namespace boragebridge {

using StoreHttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using StoreHttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;
using StoreExchangeResult =
    boost::asio::awaitable<absl::StatusOr<StoreHttpResponse>>;

/// What bounds an exchange.
struct ExchangeLimits {
  Duration Timeout{};
  std::size_t ResponseBytes = 0;
};

/// Connects \p stream. Unavailable when that fails: nothing was sent.
auto connectTo(boost::beast::tcp_stream &stream, const Endpoint &to)
    -> boost::asio::awaitable<absl::Status>;

/// Sends \p request and reads the answer. Once sent, its fate is unknown
/// until the answer has come whole: DeadlineExceeded.
template <typename Stream>
auto exchangeOn(Stream &stream, StoreHttpRequest request, std::size_t limit)
    -> StoreExchangeResult {
  namespace asio = boost::asio;
  namespace http = boost::beast::http;
  boost::beast::error_code ec;
  co_await http::async_write(stream, request,
                             asio::redirect_error(asio::use_awaitable, ec));
  if (ec)
    co_return absl::DeadlineExceededError(ec.message());
  boost::beast::flat_buffer buf;
  http::response_parser<http::string_body> parser;
  parser.body_limit(limit);
  co_await http::async_read(stream, buf, parser,
                            asio::redirect_error(asio::use_awaitable, ec));
  if (ec)
    co_return absl::DeadlineExceededError(ec.message());
  co_return parser.release();
}

/// One exchange with \p to over a new TCP connection.
auto exchangePlain(Endpoint to, StoreHttpRequest request, ExchangeLimits limits)
    -> StoreExchangeResult;

} // namespace boragebridge

#endif
