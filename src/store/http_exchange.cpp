// GCC wrongly reports a zero used as a null pointer in the code that it
// generates for coroutines and in Beast's templates.
#pragma GCC diagnostic ignored "-Wzero-as-null-pointer-constant"

#include "store/exchange_on_stream.h"

#include "absl/strings/string_view.h"

#include <netinet/tcp.h>

namespace boragebridge {

namespace asio = boost::asio;
namespace beast = boost::beast;

/// Type of the payload that marks the errors of isClosedByPeer().
static constexpr absl::string_view ClosedByPeer = "boragebridge/closed_by_peer";

auto noResponse(const beast::error_code &ec) -> absl::Status {
  auto s = absl::DeadlineExceededError(
      ec == beast::error::timeout ? "no response in time" : ec.message());
  if (ec == beast::http::error::end_of_stream || ec == asio::error::eof ||
      ec == asio::error::connection_reset)
    s.SetPayload(ClosedByPeer, {});
  return s;
}

auto isClosedByPeer(const absl::Status &s) -> bool {
  return s.GetPayload(ClosedByPeer).has_value();
}

/// Enables TCP keep-alive, so that a connection whose peer has stopped
/// responding fails within about two seconds, even while it waits for the
/// response to a long watch.
static auto setKeepAlive(asio::ip::tcp::socket &socket) -> void {
  constexpr int IdleSeconds = 1;
  constexpr int IntervalSeconds = 1;
  constexpr int Probes = 1;
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  using asio::detail::socket_option::integer;
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(IdleSeconds), ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(IntervalSeconds),
                    ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(Probes), ignored);
}

auto connectTo(beast::tcp_stream &stream, const Endpoint &to)
    -> asio::awaitable<absl::Status> {
  beast::error_code ec;
  const asio::ip::tcp::endpoint address(asio::ip::address_v4(to.Address),
                                        to.Port);
  co_await stream.async_connect(address,
                                asio::redirect_error(asio::use_awaitable, ec));
  if (ec)
    co_return absl::UnavailableError(
        ec == beast::error::timeout ? "no connection in time" : ec.message());
  setKeepAlive(stream.socket());
  co_return absl::OkStatus();
}

auto exchangePlain(asio::any_io_executor executor, Endpoint to,
                   StoreHttpRequest request, ExchangeLimits limits)
    -> StoreExchangeResult {
  beast::tcp_stream stream(std::move(executor));
  stream.expires_after(limits.Timeout);
  if (auto s = co_await connectTo(stream, to); !s.ok())
    co_return s;
  co_return co_await exchangeOn(stream, std::move(request), limits);
}

} // namespace boragebridge
