#include "store/http_platform.h"

#include "net/deflate.h"

// GCC wrongly reports a zero used as a null pointer in the code that it
// generates for coroutines and in Beast's templates.
#pragma GCC diagnostic ignored "-Wzero-as-null-pointer-constant"

#include <boost/asio/co_spawn.hpp>

namespace boragebridge {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Maps the status of a response to the errors of platform_client.h. An
/// unexpected status is DeadlineExceeded, as a write may have taken effect.
static auto statusOf(const StoreHttpResponse &r) -> absl::Status {
  constexpr std::size_t MaxTextLength = 200;
  const auto text = r.body().substr(0, MaxTextLength);
  switch (r.result()) {
  case http::status::ok:
  case http::status::created:
    return absl::OkStatus();
  case http::status::not_found:
    return absl::NotFoundError(text);
  case http::status::conflict:
    return absl::AbortedError(text);
  case http::status::gone:
    return absl::OutOfRangeError(text);
  case http::status::precondition_failed:
    return absl::FailedPreconditionError(text);
  case http::status::too_many_requests:
    return absl::ResourceExhaustedError(text);
  case http::status::service_unavailable:
    return absl::UnavailableError(text);
  case http::status::bad_request:
  case http::status::payload_too_large:
    return absl::InvalidArgumentError(text);
  default:
    return absl::DeadlineExceededError("status " +
                                       std::to_string(r.result_int()));
  }
}

/// The body of \p r, of at most \p maxBytes, decompressed if it is compressed.
static auto takeBody(StoreHttpResponse &r, std::size_t maxBytes)
    -> absl::StatusOr<std::string> {
  if (r[http::field::content_encoding] != DeflateEncoding)
    return std::move(r.body());
  return inflate(r.body(), maxBytes);
}

/// Returns the parsed value of a response, or the error. A body that is longer
/// than \p maxBytes is \p tooLong. A malformed body is DeadlineExceeded, as a
/// write may have taken effect.
template <typename T, typename Parse>
static auto read(absl::StatusOr<StoreHttpResponse> r, std::size_t maxBytes,
                 absl::StatusCode tooLong, Parse parse) -> absl::StatusOr<T> {
  if (absl::IsDataLoss(r.status()))
    return absl::Status(tooLong, r.status().message());
  if (!r.ok())
    return r.status();
  if (auto s = statusOf(*r); !s.ok())
    return s;
  const auto body = takeBody(*r, maxBytes);
  if (absl::IsResourceExhausted(body.status()))
    return absl::Status(tooLong, body.status().message());
  absl::StatusOr<T> value = body.ok() ? parse(*body) : body.status();
  if (!value.ok())
    return absl::DeadlineExceededError("malformed response: " +
                                       std::string(value.status().message()));
  return value;
}

HttpPlatform::HttpPlatform(asio::io_context &io, HttpPlatformSettings settings)
    : Io(io), Settings(std::move(settings)) {}

HttpPlatform::~HttpPlatform() = default;

template <typename T, typename Parse>
auto HttpPlatform::run(const StoreRequest &request, const CallLimits &limits,
                       Parse parse, Callback<T> done) -> void {
  constexpr unsigned Http11 = 11;
  StoreHttpRequest message(http::string_to_verb(request.Method), request.Target,
                           Http11);
  message.set(http::field::host, Settings.ServerName.empty()
                                     ? toString(Settings.Address)
                                     : Settings.ServerName);
  message.set(http::field::content_type, "application/json");
  if (Settings.AcceptsDeflate)
    message.set(http::field::accept_encoding, DeflateEncoding);
  message.keep_alive(false);
  message.body() = request.Body;
  message.prepare_payload();
  asio::co_spawn(Io,
                 Settings.Transport(Io.get_executor(), Settings.Address,
                                    std::move(message), limits.Exchange),
                 [parse = std::move(parse), done = std::move(done), limits,
                  alive = std::weak_ptr<bool>(Alive)](
                     const std::exception_ptr &failure,
                     absl::StatusOr<StoreHttpResponse> r) {
                   if (alive.expired())
                     return;
                   if (failure != nullptr)
                     done(absl::DeadlineExceededError(
                         "the HTTP exchange threw an exception"));
                   else
                     done(read<T>(std::move(r), limits.Exchange.ResponseBytes,
                                  limits.TooLong, parse));
                 });
}

auto HttpPlatform::get(std::string key, Callback<StoredObject> done) -> void {
  run<StoredObject>(
      Settings.Dialect->get(key), limits(),
      [dialect = Settings.Dialect, key](const std::string &body) {
        return dialect->parseObject(key, body);
      },
      std::move(done));
}

auto HttpPlatform::list(std::string prefix, Callback<ObjectList> done) -> void {
  listPage(&StoreDialect::list, prefix, {}, {}, std::move(done));
}

auto HttpPlatform::listSnapshot(const std::string &prefix,
                                Callback<ObjectList> done) -> void {
  listPage(&StoreDialect::snapshot, prefix, {}, {}, std::move(done));
}

auto HttpPlatform::listPage(FormatPage format, const std::string &prefix,
                            const std::string &next, ObjectList soFar,
                            Callback<ObjectList> done) -> void {
  const auto request = (*Settings.Dialect.*format)(prefix, next);
  auto parse = [dialect = Settings.Dialect, prefix](const std::string &body) {
    return dialect->parsePage(prefix, body);
  };
  auto onPage = [this, format, prefix, soFar = std::move(soFar),
                 done = std::move(done)](absl::StatusOr<StorePage> r) mutable {
    if (!r.ok())
      return done(r.status());
    // Pages may be of different age. The changes since the oldest one bring all
    // of them up to date.
    if (soFar.CurrentVersion == 0 ||
        r->Objects.CurrentVersion < soFar.CurrentVersion)
      soFar.CurrentVersion = r->Objects.CurrentVersion;
    for (auto &it : r->Objects.Events)
      soFar.Events.push_back(std::move(it));
    soFar.Unreadable += r->Objects.Unreadable;
    if (r->Next.empty())
      return done(std::move(soFar));
    listPage(format, prefix, r->Next, std::move(soFar), std::move(done));
  };
  run<StorePage>(request, limits(), std::move(parse), std::move(onPage));
}

auto HttpPlatform::put(std::string key, std::string value,
                       ObjectVersion expected, Callback<ObjectVersion> done)
    -> void {
  run<ObjectVersion>(
      Settings.Dialect->put(key, value, expected), limits(),
      [dialect = Settings.Dialect](const std::string &body) {
        return dialect->parseVersion(body);
      },
      std::move(done));
}

auto HttpPlatform::remove(std::string key, ObjectVersion expected,
                          Callback<ObjectVersion> done) -> void {
  run<ObjectVersion>(
      Settings.Dialect->remove(key, expected), limits(),
      [dialect = Settings.Dialect](const std::string &body) {
        return dialect->parseVersion(body);
      },
      std::move(done));
}

auto HttpPlatform::runForEvents(const StoreRequest &request,
                                const std::string &prefix,
                                const CallLimits &limits,
                                Callback<ObjectList> done) -> void {
  run<StorePage>(
      request, limits,
      [dialect = Settings.Dialect, prefix](const std::string &body) {
        return dialect->parsePage(prefix, body);
      },
      [done = std::move(done)](absl::StatusOr<StorePage> r) {
        if (r.ok())
          done(std::move(r->Objects));
        else
          done(r.status());
      });
}

auto HttpPlatform::watch(std::string prefix, ObjectVersion after, Duration wait,
                         Callback<ObjectList> done) -> void {
  runForEvents(Settings.Dialect->watch(prefix, after, wait), prefix,
               {{wait + Settings.WatchGrace, Settings.WatchResponseBytes},
                absl::StatusCode::kOutOfRange},
               std::move(done));
}

auto HttpPlatform::poll(const std::string &prefix, ObjectVersion after,
                        Duration timeout, Callback<ObjectList> done) -> void {
  runForEvents(
      Settings.Dialect->poll(prefix, after), prefix,
      {{timeout, Settings.WatchResponseBytes}, absl::StatusCode::kDataLoss},
      std::move(done));
}

} // namespace boragebridge
