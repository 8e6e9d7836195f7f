/// \file
/// A small HTTP/1.1 server for administration, metrics and state dumps.
#ifndef BORAGEBRIDGE_NET_HTTP_SERVER_H
#define BORAGEBRIDGE_NET_HTTP_SERVER_H

#include "boragebridge/types.h"
#include "net/http.h"

#include "absl/status/statusor.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace boragebridge {

/// Bounds of a server.
struct HttpServerOptions {
  /// Connections at once; a further one is closed at once and counted.
  std::size_t MaxConnections = 256;
  /// Longest wait for a whole request or for a response to be taken.
  Duration Timeout = std::chrono::seconds(30);
};

/// What a server has seen.
struct HttpServerCounts {
  std::uint64_t Requests = 0;
  /// Malformed or over-long requests and senders that were too slow.
  std::uint64_t Refused = 0;
  /// Connections over the limit.
  std::uint64_t OverLimit = 0;
  std::size_t Open = 0;
};

/// Not thread-safe; runs on the thread of its io_context, which outlives it.
/// Requests in progress end when the server is destroyed.
class HttpServer {
public:
  /// Listens at \p at (port 0: any free one). Unavailable when that fails.
  static auto open(boost::asio::io_context &io, const Endpoint &at,
                   HttpHandler h, const HttpServerOptions &opt = {})
      -> absl::StatusOr<std::unique_ptr<HttpServer>>;
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  auto operator=(const HttpServer &) -> HttpServer & = delete;

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
