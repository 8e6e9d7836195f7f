/// \file
/// PlatformClient over HTTP and JSON (docs/API.md, "Platform object API").
///
/// Each call opens a connection of its own, so that a connection which went
/// silent for good harms one call, and a write is never sent on a connection
/// that the store may just be closing.
///
/// Example:
/// \code
///   HttpPlatform platform(io, {.Address = {0x7F000001, 8500}});
///   platform.get("config/head", [](absl::StatusOr<StoredObject> r) { ... });
/// \endcode
#ifndef BORAGEBRIDGE_PLATFORM_HTTP_PLATFORM_H
#define BORAGEBRIDGE_PLATFORM_HTTP_PLATFORM_H

#include "boragebridge/platform_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ssl/context.hpp>

#include <memory>

namespace boragebridge {

/// Where the store is and how to talk to it.
struct HttpPlatformSettings {
  Endpoint Address;
  /// Null: no TLS. Replaced by making a new client when keys rotate.
  std::shared_ptr<boost::asio::ssl::context> Tls = nullptr;
  /// Name that the store's certificate has to carry.
  std::string ServerName = {};
  /// From the start of a call to its end; watches get their wait on top.
  Duration Timeout = std::chrono::seconds(2);
  /// Largest answer.
  std::size_t ResponseBytes = std::size_t{64} << 20;
};

/// The client. All calls and callbacks on the thread that runs \p io; the
/// object may be destroyed while calls are open.
class HttpPlatform final : public PlatformClient {
public:
  /// \p io outlives the client.
  HttpPlatform(boost::asio::io_context &io, HttpPlatformSettings settings);
  ~HttpPlatform() override;

  auto get(std::string key, Callback<StoredObject> done) -> void override;
  auto list(std::string prefix, Callback<ObjectList> done) -> void override;
  auto put(std::string key, std::string value, ObjectVersion expected,
           Callback<ObjectVersion> done) -> void override;
  auto remove(std::string key, ObjectVersion expected,
              Callback<ObjectVersion> done) -> void override;
  auto watch(std::string prefix, ObjectVersion after, Duration wait,
             Callback<ObjectList> done) -> void override;

private:
  struct Call;
  /// Runs \p call and gives \p parse its body; \p done gets what comes of it.
  template <typename T, typename Parse>
  auto run(Call call, Parse parse, Callback<T> done) -> void;

  boost::asio::io_context &Io;
  std::shared_ptr<const HttpPlatformSettings> Settings;
  /// Expires with the client, so that open calls end with no callback.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
