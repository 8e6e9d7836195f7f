#include "net/http_client.h"

#include "net/asio_endpoint.h"
#include "net/http_headers.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace boragebridge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

/// One call. Pending operations keep the object alive.
class Call : public std::enable_shared_from_this<Call> {
public:
  Call(asio::io_context &io, const Endpoint &to, HttpRequest r,
       HttpResponseHandler done)
      : Stream(io), To(to), Done(std::move(done)) {
    constexpr unsigned Http11 = 11;
    Request.version(Http11);
    Request.method_string(r.Method);
    Request.target(r.Target);
    Request.set(http::field::host, toString(to));
    for (const auto &[name, value] : r.Headers)
      Request.set(name, value);
    Request.keep_alive(false);
    Request.body() = std::move(r.Body);
    Request.prepare_payload();
    Parser.body_limit(MaxHttpBodyBytes);
    Parser.header_limit(MaxHttpHeaderBytes);
  }

  auto start(Duration timeout) -> void {
    Stream.expires_after(timeout);
    Stream.async_connect(toAsio<tcp>(To), [self = shared_from_this()](auto ec) {
      self->onConnected(ec);
    });
  }

private:
  auto onConnected(beast::error_code ec) -> void {
    if (ec)
      return Done(absl::UnavailableError("cannot connect to " + toString(To) +
                                         ": " + ec.message()));
    http::async_write(
        Stream, Request,
        [self = shared_from_this()](auto e, auto) { self->onWritten(e); },
        nullptr);
  }
  auto onWritten(beast::error_code ec) -> void {
    if (ec)
      return fail(ec);
    http::async_read(
        Stream, Buffer, Parser,
        [self = shared_from_this()](auto e, auto) { self->onRead(e); });
  }
  auto onRead(beast::error_code ec) -> void {
    if (ec)
      return fail(ec);
    auto &in = Parser.get();
    Done(HttpResponse{in.result_int(),
                      std::string(in[http::field::content_type]),
                      std::move(in.body()), copyHeaders(in)});
  }
  auto fail(beast::error_code ec) -> void {
    Done(absl::DeadlineExceededError("no complete response from " +
                                     toString(To) + ": " + ec.message()));
  }

  beast::tcp_stream Stream;
  Endpoint To;
  HttpResponseHandler Done;
  beast::flat_buffer Buffer;
  http::request<http::string_body> Request;
  http::response_parser<http::string_body> Parser;
};

} // namespace

auto httpCall(asio::io_context &io, const Endpoint &to, HttpRequest r,
              Duration timeout, HttpResponseHandler done) -> void {
  std::make_shared<Call>(io, to, std::move(r), std::move(done))->start(timeout);
}

auto httpCallAndWait(const Endpoint &to, HttpRequest r, Duration timeout)
    -> absl::StatusOr<HttpResponse> {
  asio::io_context io;
  absl::StatusOr<HttpResponse> out =
      absl::InternalError("HTTP call ended without a result");
  httpCall(io, to, std::move(r), timeout,
           [&out](auto v) { out = std::move(v); });
  io.run();
  return out;
}

} // namespace boragebridge
