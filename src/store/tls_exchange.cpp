#include "store/tls_exchange.h"

// GCC wrongly reports a zero used as a null pointer in the code that it
// generates for coroutines and in Beast's templates.
#pragma GCC diagnostic ignored "-Wzero-as-null-pointer-constant"

#include "store/exchange_on_stream.h"

#include <boost/asio/ssl/host_name_verification.hpp>
#include <boost/beast/ssl.hpp>

namespace boragebridge {

namespace asio = boost::asio;
namespace beast = boost::beast;

static auto exchangeOverTls(std::shared_ptr<asio::ssl::context> tls,
                            std::string serverName,
                            asio::any_io_executor executor, Endpoint to,
                            StoreHttpRequest request, ExchangeLimits limits)
    -> StoreExchangeResult {
  beast::ssl_stream<beast::tcp_stream> stream(std::move(executor), *tls);
  beast::get_lowest_layer(stream).expires_after(limits.Timeout);
  if (auto s = co_await connectTo(beast::get_lowest_layer(stream), to); !s.ok())
    co_return s;
  if (!serverName.empty())
    stream.set_verify_callback(asio::ssl::host_name_verification(serverName));
  beast::error_code ec;
  co_await stream.async_handshake(
      asio::ssl::stream_base::client,
      asio::redirect_error(asio::use_awaitable, ec));
  if (ec)
    co_return absl::UnavailableError(ec.message());
  co_return co_await exchangeOn(stream, std::move(request), limits);
}

auto makeTlsTransport(std::shared_ptr<asio::ssl::context> tls,
                      std::string serverName) -> StoreTransport {
  return [tls = std::move(tls), serverName = std::move(serverName)](
             asio::any_io_executor executor, Endpoint to,
             StoreHttpRequest request, ExchangeLimits limits) {
    return exchangeOverTls(tls, serverName, std::move(executor), to,
                           std::move(request), limits);
  };
}

} // namespace boragebridge
