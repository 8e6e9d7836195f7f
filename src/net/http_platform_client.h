/// \file
/// The platform's object API over HTTP and JSON; docs/API.md describes it.
#ifndef BORAGEBRIDGE_NET_HTTP_PLATFORM_CLIENT_H
#define BORAGEBRIDGE_NET_HTTP_PLATFORM_CLIENT_H

#include "boragebridge/platform_client.h"
#include "net/http.h"

#include <boost/asio/io_context.hpp>

namespace boragebridge {

/// Each call uses a connection of its own, so that one that has gone silent
/// holds up no other call. Not thread-safe; the io_context outlives it.
class HttpPlatformClient final : public PlatformClient {
public:
  /// Longest wait for the answer to a call, besides the wait of a watch.
  static constexpr Duration CallTimeout = std::chrono::seconds(3);

  HttpPlatformClient(boost::asio::io_context &io, const Endpoint &store)
      : Io(io), Store(store) {}

  auto get(std::string key, Callback<StoredObject> done) -> void override;
  auto list(std::string prefix, Callback<ObjectList> done) -> void override;
  auto put(std::string key, std::string value, ObjectVersion expected,
           Callback<ObjectVersion> done) -> void override;
  auto remove(std::string key, ObjectVersion expected,
              Callback<ObjectVersion> done) -> void override;
  auto watch(std::string prefix, ObjectVersion after, Duration wait,
             Callback<ObjectList> done) -> void override;

private:
  template <typename T>
  auto call(HttpRequest r, Duration timeout,
            absl::StatusOr<T> (*read)(const HttpResponse &), Callback<T> done)
      -> void;

  boost::asio::io_context &Io;
  Endpoint Store;
  /// Expires with the client, so that a late answer finds nobody.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
