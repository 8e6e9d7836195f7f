/// \file
/// A small HTTP/1.1 server for the administration API, metrics and state dumps.
#ifndef BORAGEBRIDGE_NET_HTTP_SERVER_H
#define BORAGEBRIDGE_NET_HTTP_SERVER_H

#include "boragebridge/types.h"
#include "net/http.h"

#include "absl/status/statusor.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace boragebridge {

/// Limits of an HttpServer.
struct HttpServerOptions {
  /// Concurrent connections. A connection over the limit is closed at once and
  /// counted.
  std::size_t MaxConnections = 256;
  /// The longest time to receive one request, and without progress while a
  /// response is sent.
  Duration Timeout = std::chrono::seconds(30);
  /// Maximum size of the body of a request, in bytes.
  std::size_t RequestBytes = MaxHttpBodyBytes;
};

/// Counters of an HttpServer since it was opened.
struct HttpServerCounts {
  std::uint64_t Requests = 0;
  /// Requests that were malformed, too long or not complete within the timeout.
  std::uint64_t Refused = 0;
  /// Connections that were closed because MaxConnections were open.
  std::uint64_t OverLimit = 0;
  /// Connections that are open now.
  std::size_t Open = 0;
};

/// Serves HTTP requests with one handler. Not thread-safe: all calls and
/// callbacks run on the thread of the io_context, which must outlive the
/// server. Destroying the server closes its connections; a response that is
/// given later is ignored.
class HttpServer {
public:
  /// Opens a server that listens on \p at; port 0 selects a free port. Returns
  /// Unavailable when listening fails.
  static auto open(boost::asio::io_context &io, const Endpoint &at,
                   HttpHandler h, const HttpServerOptions &opt = {})
      -> absl::StatusOr<std::unique_ptr<HttpServer>>;
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  auto operator=(const HttpServer &) -> HttpServer & = delete;

  /// Returns the address that the server listens on.
  auto localEndpoint() const -> Endpoint;
  auto counts() const -> const HttpServerCounts &;

private:
  struct Impl;
  class Session;
  explicit HttpServer(std::shared_ptr<Impl> state);
  std::shared_ptr<Impl> State;
};

} // namespace boragebridge

#endif
