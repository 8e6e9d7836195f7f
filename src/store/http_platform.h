/// \file
/// PlatformClient over HTTP and JSON. A StoreDialect says how the calls look
/// on the wire; the default is docs/API.md, "Platform object API".
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
#ifndef BORAGEBRIDGE_STORE_HTTP_PLATFORM_H
#define BORAGEBRIDGE_STORE_HTTP_PLATFORM_H

#include "store/http_exchange.h"
#include "store/store_dialect.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace boragebridge {

/// Runs one exchange with the store at an address.
using StoreTransport = std::function<StoreExchangeResult(
    boost::asio::any_io_executor executor, Endpoint to,
    StoreHttpRequest request, ExchangeLimits limits)>;

/// Where the store is and how to talk to it.
struct HttpPlatformSettings {
  Endpoint Address;
  /// exchangePlain, or one of tls_exchange.h. Replaced by making a new client
  /// when keys rotate.
  StoreTransport Transport = exchangePlain;
  std::shared_ptr<const StoreDialect> Dialect =
      std::make_shared<NativeDialect>();
  /// Name for the Host field; empty: the address.
  std::string ServerName = {};
  /// From the start of a call to its end.
  Duration Timeout = std::chrono::seconds(2);
  /// What a watch may take beyond its wait.
  Duration WatchGrace = std::chrono::seconds(2);
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

  /// Where the store is from the next call on.
  auto setAddress(const Endpoint &e) -> void { Settings.Address = e; }

  auto get(std::string key, Callback<StoredObject> done) -> void override;
  /// Reads page after page; the list is current to the version of its first
  /// page.
  auto list(std::string prefix, Callback<ObjectList> done) -> void override;
  auto put(std::string key, std::string value, ObjectVersion expected,
           Callback<ObjectVersion> done) -> void override;
  auto remove(std::string key, ObjectVersion expected,
              Callback<ObjectVersion> done) -> void override;
  auto watch(std::string prefix, ObjectVersion after, Duration wait,
             Callback<ObjectList> done) -> void override;

  /// The changes below \p prefix after \p after, at once; they may be old. A
  /// cheap way to see whether the store answers within \p timeout, and whether
  /// a watch was lost.
  auto poll(const std::string &prefix, ObjectVersion after, Duration timeout,
            Callback<ObjectList> done) -> void;

private:
  /// Runs \p request and gives \p parse its body; \p done gets what comes of
  /// it.
  template <typename T, typename Parse>
  auto run(const StoreRequest &request, Duration timeout, Parse parse,
           Callback<T> done) -> void;
  /// Runs a request whose answer is all events of \p prefix.
  auto runForEvents(const StoreRequest &request, const std::string &prefix,
                    Duration timeout, Callback<ObjectList> done) -> void;
  auto listPage(const std::string &prefix, const std::string &next,
                ObjectList soFar, Callback<ObjectList> done) -> void;

  boost::asio::io_context &Io;
  HttpPlatformSettings Settings;
  /// Expires with the client, so that open calls end with no callback.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
