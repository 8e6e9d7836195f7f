// GCC reports it in code that it makes for coroutines and in Beast's templates.
#pragma GCC diagnostic ignored "-Wzero-as-null-pointer-constant"

#include "store/exchange_on_stream.h"

namespace boragebridge {

namespace asio = boost::asio;
namespace beast = boost::beast;

auto connectTo(beast::tcp_stream &stream, const Endpoint &to)
    -> asio::awaitable<absl::Status> {
  beast::error_code ec;
  const asio::ip::tcp::endpoint address(asio::ip::address_v4(to.Address),
                                        to.Port);
  co_await stream.async_connect(address,
                                asio::redirect_error(asio::use_awaitable, ec));
  if (ec)
    co_return absl::UnavailableError(ec.message());
  co_return absl::OkStatus();
}

auto exchangePlain(Endpoint to, StoreHttpRequest request, ExchangeLimits limits)
    -> StoreExchangeResult {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(limits.Timeout);
  if (auto s = co_await connectTo(stream, to); !s.ok())
    co_return s;
  co_return co_await exchangeOn(stream, std::move(request),
                                limits.ResponseBytes);
}

} // namespace boragebridge
