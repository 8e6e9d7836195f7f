/// \file
/// The part of an HTTP exchange that plain TCP and TLS share. To be included
/// only by .cpp files of src/store, which disable
/// -Wzero-as-null-pointer-constant: GCC wrongly reports it in the code that it
/// generates for coroutines.
#ifndef BORAGEBRIDGE_STORE_EXCHANGE_ON_STREAM_H
#define BORAGEBRIDGE_STORE_EXCHANGE_ON_STREAM_H

#include "store/http_exchange.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>

#include <algorithm>
#include <chrono>

namespace boragebridge {

/// Connects \p stream. Returns Unavailable on failure; nothing has been sent
/// then.
auto connectTo(boost::beast::tcp_stream &stream, const Endpoint &to)
    -> boost::asio::awaitable<absl::Status>;

/// The error of an exchange that failed with \p ec before the response began.
auto noResponse(const boost::beast::error_code &ec) -> absl::Status;

/// The error of an exchange that failed with \p ec after \p received bytes of
/// a body of \p length bytes.
inline auto incompleteResponse(const boost::beast::error_code &ec,
                               std::uint64_t received, std::uint64_t length)
    -> absl::Status {
  const auto why =
      ec == boost::beast::error::timeout ? "too slow" : ec.message();
  return absl::DeadlineExceededError("the response ended after " +
                                     std::to_string(received) + " of " +
                                     std::to_string(length) + " bytes: " + why);
}

/// Sends \p request and reads the response. A body of more than
/// \p limits.ResponseBytes is DataLoss; it is not read. Any other failure is
/// DeadlineExceeded: from the first byte sent until the response is complete,
/// it is unknown whether the request took effect.
template <typename Stream>
auto exchangeOn(Stream &stream, StoreHttpRequest request, ExchangeLimits limits)
    -> StoreExchangeResult {
  namespace asio = boost::asio;
  namespace http = boost::beast::http;
  boost::beast::error_code ec;
  co_await http::async_write(stream, request,
                             asio::redirect_error(asio::use_awaitable, ec));
  if (ec)
    co_return noResponse(ec);
  boost::beast::flat_buffer buf;
  http::response_parser<http::string_body> parser;
  parser.body_limit(limits.ResponseBytes);
  co_await http::async_read_header(
      stream, buf, parser, asio::redirect_error(asio::use_awaitable, ec));
  if (ec == http::error::body_limit)
    co_return absl::DataLossError("the response is too long");
  if (ec)
    co_return noResponse(ec);
  const auto begin = std::chrono::steady_clock::now();
  while (!parser.is_done()) {
    const auto now = std::chrono::steady_clock::now();
    boost::beast::get_lowest_layer(stream).expires_at(
        std::min(now + limits.StallTimeout, begin + limits.TransferTimeout));
    co_await http::async_read_some(
        stream, buf, parser, asio::redirect_error(asio::use_awaitable, ec));
    if (ec == http::error::body_limit)
      co_return absl::DataLossError("the response is too long");
    if (ec)
      co_return incompleteResponse(ec, parser.get().body().size(),
                                   parser.content_length().value_or(0));
  }
  co_return StoreExchange{parser.release(),
                          std::chrono::steady_clock::now() - begin};
}

} // namespace boragebridge

#endif
