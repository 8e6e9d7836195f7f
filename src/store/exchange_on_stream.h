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

namespace boragebridge {

/// Connects \p stream. Returns Unavailable on failure; nothing has been sent
/// then.
auto connectTo(boost::beast::tcp_stream &stream, const Endpoint &to)
    -> boost::asio::awaitable<absl::Status>;

/// Sends \p request and reads the response. A body of more than \p limit bytes
/// is DataLoss; it is not read. Any other failure is DeadlineExceeded: from
/// the first byte sent until the response is complete, it is unknown whether
/// the request took effect.
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
  if (ec == http::error::body_limit)
    co_return absl::DataLossError("the response is too long");
  if (ec)
    co_return absl::DeadlineExceededError(ec.message());
  co_return parser.release();
}

} // namespace boragebridge

#endif
