/// \file
/// A PlatformClient over HTTP. A StoreDialect formats the requests and parses
/// the responses; the default dialect is the JSON API of docs/API.md, "Platform
/// object API".
///
/// Each call opens its own connection. A connection that stops responding
/// therefore affects one call only, and a write is never sent on a connection
/// that the store is about to close.
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

/// The address of the store and the protocol to use.
struct HttpPlatformSettings {
  Endpoint Address;
  /// exchangePlain, or a transport made by tls_exchange.h. When keys rotate, a
  /// new client with a new transport is made.
  StoreTransport Transport = exchangePlain;
  std::shared_ptr<const StoreDialect> Dialect =
      std::make_shared<NativeDialect>();
  /// Value of the Host header; empty for the address.
  std::string ServerName = {};
  /// Limit of the time until a response begins, connecting included. A list
  /// takes one exchange for each page.
  Duration Timeout = std::chrono::seconds(2);
  /// How much longer than its wait a watch may take until its response begins.
  Duration WatchGrace = std::chrono::seconds(2);
  /// A response that has begun is given up after this time without progress.
  Duration StallTimeout = std::chrono::seconds(1);
  /// Limit of the duration of a response that makes progress.
  Duration TransferTimeout = std::chrono::seconds(10);
  /// Whether responses may be compressed (deflate.h).
  bool AcceptsDeflate = false;
  /// Maximum size of a response body, in bytes, after decompression.
  std::size_t ResponseBytes = std::size_t{64} << 20;
  /// Maximum size of the body of a response to a watch or a poll, in bytes. A
  /// store may return every version of a large object since a watch was
  /// interrupted; a list has only the last.
  std::size_t WatchResponseBytes = std::size_t{4} << 20;
};

/// The client. All calls and callbacks are made on the thread that runs \p io.
/// The object may be destroyed while calls are open; their callbacks are then
/// not called.
class HttpPlatform final : public PlatformClient {
public:
  /// \p io outlives the client.
  HttpPlatform(boost::asio::io_context &io, HttpPlatformSettings settings);
  ~HttpPlatform() override;

  /// Sets the address of the store for all later calls.
  auto setAddress(const Endpoint &e) -> void { Settings.Address = e; }

  auto get(std::string key, Callback<StoredObject> done) -> void override;
  /// Reads all pages of the list. The result has the version of the oldest
  /// page. Unavailable if the store was restored between two pages.
  auto list(std::string prefix, Callback<ObjectList> done) -> void override;
  auto put(std::string key, std::string value, ObjectVersion expected,
           Callback<ObjectVersion> done) -> void override;
  auto remove(std::string key, ObjectVersion expected,
              Callback<ObjectVersion> done) -> void override;
  auto watch(std::string prefix, ObjectVersion after, Duration wait,
             Callback<ObjectList> done) -> void override;

  /// Reads the changes below \p prefix after \p after without waiting for new
  /// ones. The result may be out of date. This is a cheap way to find out
  /// whether the store answers within \p timeout, and whether a watch was lost.
  /// DataLoss if there are more changes than the client reads at once. If the
  /// store was restored since \p after, the result is empty and has a version
  /// of the present era.
  auto poll(const std::string &prefix, ObjectVersion after, Duration timeout,
            Callback<ObjectList> done) -> void;

  /// Like list(), but each page may be out of date. Much cheaper for the store.
  auto listSnapshot(const std::string &prefix, Callback<ObjectList> done)
      -> void;

private:
  struct CallLimits {
    ExchangeLimits Exchange;
    /// The error when the response is too long.
    absl::StatusCode TooLong;
  };

  /// Formats the request for a page of a list.
  using FormatPage = StoreRequest (StoreDialect::*)(
      const std::string &prefix, const std::string &next) const;

  /// Runs \p request, parses the body of a successful response with \p parse
  /// and calls \p done with the result.
  template <typename T, typename Parse>
  auto run(const StoreRequest &request, const CallLimits &limits, Parse parse,
           Callback<T> done) -> void;
  /// The version to send for \p v.
  auto onWire(ObjectVersion v) const -> ObjectVersion;
  /// Adds the era that \p r gives to the versions in \p value. Without one, the
  /// last known era counts.
  template <typename T>
  auto addEra(const StoreHttpResponse &r, absl::StatusOr<T> &value) -> void;
  /// Fails a conditional write whose version is outdated.
  auto failLater(Callback<ObjectVersion> done) -> void;
  /// Whether \p expected is of an era that has ended.
  auto isOutdated(ObjectVersion expected) const -> bool {
    return expected != 0 && eraOf(expected) < Era;
  }
  /// The limits of a call that is neither a watch nor a poll. It is unknown
  /// whether a call whose response is too long took effect.
  auto limits() const -> CallLimits {
    return {exchangeLimits(Settings.Timeout, Settings.ResponseBytes),
            absl::StatusCode::kDeadlineExceeded};
  }
  /// The limits of an exchange whose response begins within \p timeout.
  auto exchangeLimits(Duration timeout, std::size_t bytes) const
      -> ExchangeLimits {
    return {timeout, Settings.StallTimeout, Settings.TransferTimeout, bytes};
  }
  /// Runs a request whose response lists events below \p prefix.
  auto runForEvents(const StoreRequest &request, const std::string &prefix,
                    const CallLimits &limits, Callback<ObjectList> done)
      -> void;
  /// Passes a response to a watch from \p after on to \p done if it is of the
  /// same era; any era will do for 0, the beginning.
  static auto requireEra(ObjectVersion after, Callback<ObjectList> done)
      -> Callback<ObjectList>;
  /// Reads the page \p next and all further ones, and appends them to \p soFar.
  auto listPage(FormatPage format, const std::string &prefix,
                const std::string &next, ObjectList soFar,
                Callback<ObjectList> done) -> void;

  boost::asio::io_context &Io;
  HttpPlatformSettings Settings;
  /// The latest era that a response gave.
  StoreEra Era = 0;
  /// Expires with the client, so that open calls do not call back.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
