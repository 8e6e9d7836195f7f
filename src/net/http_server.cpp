#include "net/http_server.h"

#include "net/asio_endpoint.h"
#include "net/http_headers.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <set>

namespace boragebridge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

struct HttpServer::Impl : std::enable_shared_from_this<Impl> {
  Impl(asio::io_context &io, HttpHandler h, const HttpServerOptions &opt)
      : Acceptor(io), Handle(std::move(h)), Options(opt) {}

  auto listen(const Endpoint &at) -> boost::system::error_code;
  auto accept() -> void;
  auto close() -> void;

  tcp::acceptor Acceptor;
  HttpHandler Handle;
  HttpServerOptions Options;
  HttpServerCounts Counts;
  std::set<Session *> Sessions;
  bool Closed = false;
};

/// One connection. Pending operations keep the object alive.
class HttpServer::Session : public std::enable_shared_from_this<Session> {
public:
  Session(tcp::socket socket, std::shared_ptr<Impl> owner)
      : Stream(std::move(socket)), Owner(std::move(owner)) {
    Owner->Sessions.insert(this);
    Owner->Counts.Open = Owner->Sessions.size();
  }
  ~Session() {
    Owner->Sessions.erase(this);
    Owner->Counts.Open = Owner->Sessions.size();
  }
  Session(const Session &) = delete;
  auto operator=(const Session &) -> Session & = delete;

  auto read() -> void {
    Parser.emplace();
    Parser->body_limit(Owner->Options.RequestBytes);
    Parser->header_limit(MaxHttpHeaderBytes);
    Stream.expires_after(Owner->Options.Timeout);
    http::async_read(
        Stream, Buffer, *Parser,
        [self = shared_from_this()](auto ec, auto) { self->onRead(ec); });
  }
  auto close() -> void { Stream.close(); }

private:
  auto onRead(beast::error_code ec) -> void {
    if (Owner->Closed || ec == asio::error::operation_aborted)
      return;
    if (ec == http::error::end_of_stream)
      return;
    if (ec) {
      ++Owner->Counts.Refused;
      return refuse(ec);
    }
    ++Owner->Counts.Requests;
    const auto &in = Parser->get();
    HttpRequest r{std::string(in.method_string()), std::string(in.target()),
                  in.body(), copyHeaders(in)};
    KeepAlive = in.keep_alive();
    Owner->Handle(r, [self = shared_from_this()](HttpResponse out) {
      self->write(std::move(out));
    });
  }

  /// Sends the reason for refusing a malformed request.
  auto refuse(beast::error_code ec) -> void {
    KeepAlive = false;
    write({static_cast<unsigned>(HttpStatus::BadRequest),
           "text/plain",
           "malformed request: " + ec.message() + "\n",
           {}});
  }

  auto write(HttpResponse out) -> void {
    if (Owner->Closed || Writing)
      return;
    Writing = true;
    constexpr unsigned Http11 = 11;
    Response.emplace(static_cast<http::status>(out.Status), Http11);
    Response->set(http::field::content_type, out.ContentType);
    for (const auto &[name, value] : out.Headers)
      Response->set(name, value);
    Response->keep_alive(KeepAlive);
    Body = out.SharedBody != nullptr
               ? std::move(out.SharedBody)
               : std::make_shared<const std::string>(std::move(out.Body));
    Response->body() = {Body->data(), Body->size()};
    Response->prepare_payload();
    Serializer.emplace(*Response);
    writeSome();
  }

  /// Sends what the connection accepts. A client that takes a long response
  /// slowly is given up only when it takes nothing.
  auto writeSome() -> void {
    Stream.expires_after(Owner->Options.Timeout);
    http::async_write_some(Stream, *Serializer,
                           [self = shared_from_this()](auto ec, auto) {
                             if (ec || self->Serializer->is_done())
                               self->onWritten(ec);
                             else
                               self->writeSome();
                           });
  }

  auto onWritten(beast::error_code ec) -> void {
    Writing = false;
    Serializer.reset();
    Response.reset();
    Body.reset();
    if (Owner->Closed || ec)
      return;
    if (KeepAlive)
      return read();
    Stream.socket().shutdown(tcp::socket::shutdown_send, ec);
  }

  beast::tcp_stream Stream;
  std::shared_ptr<Impl> Owner;
  beast::flat_buffer Buffer;
  std::optional<http::request_parser<http::string_body>> Parser;
  std::optional<http::response<http::span_body<const char>>> Response;
  std::optional<http::response_serializer<http::span_body<const char>>>
      Serializer;
  /// The body of Response.
  std::shared_ptr<const std::string> Body;
  bool KeepAlive = false;
  bool Writing = false;
};

auto HttpServer::Impl::listen(const Endpoint &at) -> boost::system::error_code {
  boost::system::error_code ec;
  if (Acceptor.open(tcp::v4(), ec); ec)
    return ec;
  if (Acceptor.set_option(tcp::acceptor::reuse_address(true), ec); ec)
    return ec;
  if (Acceptor.bind(toAsio<tcp>(at), ec); ec)
    return ec;
  Acceptor.listen(asio::socket_base::max_listen_connections, ec);
  return ec;
}

auto HttpServer::Impl::accept() -> void {
  Acceptor.async_accept(
      [self = shared_from_this()](auto ec, tcp::socket socket) {
        if (self->Closed)
          return;
        if (!ec && self->Sessions.size() >= self->Options.MaxConnections)
          ++self->Counts.OverLimit;
        else if (!ec)
          std::make_shared<Session>(std::move(socket), self)->read();
        self->accept();
      });
}

auto HttpServer::Impl::close() -> void {
  Closed = true;
  boost::system::error_code ec;
  Acceptor.close(ec);
  for (auto *it : Sessions)
    it->close();
}

auto HttpServer::open(asio::io_context &io, const Endpoint &at, HttpHandler h,
                      const HttpServerOptions &opt)
    -> absl::StatusOr<std::unique_ptr<HttpServer>> {
  auto state = std::make_shared<Impl>(io, std::move(h), opt);
  if (auto ec = state->listen(at))
    return absl::UnavailableError("cannot listen on TCP " + toString(at) +
                                  ": " + ec.message());
  state->accept();
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

HttpServer::HttpServer(std::shared_ptr<Impl> state) : State(std::move(state)) {}

HttpServer::~HttpServer() { State->close(); }

auto HttpServer::localEndpoint() const -> Endpoint {
  boost::system::error_code ec;
  return fromAsio(State->Acceptor.local_endpoint(ec));
}

auto HttpServer::counts() const -> const HttpServerCounts & {
  return State->Counts;
}

} // namespace boragebridge
