#include "store/http_platform.h"

#include "net/deflate.h"

// GCC wrongly reports a zero used as a null pointer in the code that it
// generates for coroutines and in Beast's templates.
#pragma GCC diagnostic ignored "-Wzero-as-null-pointer-constant"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <type_traits>

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
static auto read(StoreHttpResponse &r, std::size_t maxBytes,
                 absl::StatusCode tooLong, Parse parse) -> absl::StatusOr<T> {
  if (auto s = statusOf(r); !s.ok())
    return s;
  const auto body = takeBody(r, maxBytes);
  if (absl::IsResourceExhausted(body.status()))
    return absl::Status(tooLong, body.status().message());
  absl::StatusOr<T> value = body.ok() ? parse(*body) : body.status();
  if (!value.ok())
    return absl::DeadlineExceededError("malformed response: " +
                                       std::string(value.status().message()));
  return value;
}

/// Adds \p era to the versions in a value.
static auto addEraTo(ObjectVersion &v, StoreEra era) -> void {
  v = makeVersion(era, v);
}
static auto addEraTo(StoredObject &o, StoreEra era) -> void {
  addEraTo(o.Version, era);
}
static auto addEraTo(StorePage &p, StoreEra era) -> void {
  addEraTo(p.Objects.CurrentVersion, era);
  for (auto &it : p.Objects.Events)
    addEraTo(it.Object, era);
}

/// Adds the report of a further page.
static auto addTo(TransferReport &sum, const TransferReport &page) -> void {
  sum.From = page.From;
  sum.Bytes += page.Bytes;
  sum.Receiving += page.Receiving;
  sum.Parsing += page.Parsing;
}

HttpPlatform::HttpPlatform(asio::io_context &io, HttpPlatformSettings settings)
    : Io(io), Settings(std::move(settings)) {}

HttpPlatform::~HttpPlatform() = default;

auto HttpPlatform::onWire(ObjectVersion v) const -> ObjectVersion {
  return Settings.Dialect->eraHeader().empty() ? v : revisionOf(v);
}

/// Adds how the value was received, if it is a list.
template <typename T>
static auto addTransfer(const TransferReport &r, absl::StatusOr<T> &value)
    -> void {
  if constexpr (std::is_same_v<T, StorePage>)
    if (value.ok())
      value->Objects.Transfer = r;
}

template <typename T>
auto HttpPlatform::addEra(const StoreHttpResponse &r, absl::StatusOr<T> &value)
    -> void {
  const auto header = Settings.Dialect->eraHeader();
  if (header.empty())
    return;
  const auto text = r[header];
  auto era = Era;
  StoreEra given = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), given);
  if (ec == std::errc() && end == text.data() + text.size())
    era = eraOf(makeVersion(given, 0));
  Era = std::max(Era, era);
  if (value.ok())
    addEraTo(*value, era);
}

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
  asio::co_spawn(
      Io,
      Settings.Transport(Io.get_executor(), Settings.Address,
                         std::move(message), limits.Exchange),
      [this, parse = std::move(parse), done = std::move(done), limits,
       alive = std::weak_ptr<bool>(Alive)](const std::exception_ptr &failure,
                                           absl::StatusOr<StoreExchange> r) {
        if (alive.expired())
          return;
        if (failure != nullptr)
          return done(absl::DeadlineExceededError(
              "the HTTP exchange threw an exception"));
        if (absl::IsDataLoss(r.status()))
          return done(absl::Status(limits.TooLong, r.status().message()));
        if (!r.ok())
          return done(r.status());
        const auto begin = std::chrono::steady_clock::now();
        const auto bytes = r->Response.body().size();
        auto value = read<T>(r->Response, limits.Exchange.ResponseBytes,
                             limits.TooLong, parse);
        addEra(r->Response, value);
        addTransfer({Settings.Address, bytes, r->Receiving,
                     std::chrono::steady_clock::now() - begin},
                    value);
        done(std::move(value));
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
    const auto version = r->Objects.CurrentVersion;
    const auto isFirst = soFar.CurrentVersion == 0;
    if (!isFirst && eraOf(version) != eraOf(soFar.CurrentVersion))
      return done(absl::UnavailableError("restored between two pages"));
    // Pages may be of different age. The changes since the oldest one bring all
    // of them up to date.
    if (isFirst || version < soFar.CurrentVersion)
      soFar.CurrentVersion = version;
    for (auto &it : r->Objects.Events)
      soFar.Events.push_back(std::move(it));
    soFar.Unreadable += r->Objects.Unreadable;
    addTo(soFar.Transfer, r->Objects.Transfer);
    if (r->Next.empty())
      return done(std::move(soFar));
    listPage(format, prefix, r->Next, std::move(soFar), std::move(done));
  };
  run<StorePage>(request, limits(), std::move(parse), std::move(onPage));
}

auto HttpPlatform::failLater(Callback<ObjectVersion> done) -> void {
  asio::post(Io, [done = std::move(done), alive = std::weak_ptr<bool>(Alive)] {
    if (!alive.expired())
      done(absl::AbortedError("the version is of an earlier era"));
  });
}

auto HttpPlatform::put(std::string key, std::string value,
                       ObjectVersion expected, Callback<ObjectVersion> done)
    -> void {
  if (isOutdated(expected))
    return failLater(std::move(done));
  run<ObjectVersion>(
      Settings.Dialect->put(key, value, onWire(expected)), limits(),
      [dialect = Settings.Dialect](const std::string &body) {
        return dialect->parseVersion(body);
      },
      std::move(done));
}

auto HttpPlatform::remove(std::string key, ObjectVersion expected,
                          Callback<ObjectVersion> done) -> void {
  if (isOutdated(expected))
    return failLater(std::move(done));
  run<ObjectVersion>(
      Settings.Dialect->remove(key, onWire(expected)), limits(),
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

auto HttpPlatform::requireEra(ObjectVersion after, Callback<ObjectList> done)
    -> Callback<ObjectList> {
  return [after, done = std::move(done)](absl::StatusOr<ObjectList> r) {
    if (!r.ok() || after == 0 || eraOf(r->CurrentVersion) == eraOf(after))
      done(std::move(r));
    else if (eraOf(r->CurrentVersion) < eraOf(after))
      done(absl::UnavailableError("the answer is of an earlier era"));
    else
      done(absl::OutOfRangeError("the store was restored from a copy"));
  };
}

auto HttpPlatform::watch(std::string prefix, ObjectVersion after, Duration wait,
                         Callback<ObjectList> done) -> void {
  auto onEnd = [done = std::move(done)](absl::StatusOr<ObjectList> r) {
    if (isClosedByPeer(r.status()))
      r = absl::AbortedError("the watch was cut off");
    done(std::move(r));
  };
  runForEvents(
      Settings.Dialect->watch(prefix, onWire(after), wait), prefix,
      {exchangeLimits(wait + Settings.WatchGrace, Settings.WatchResponseBytes),
       absl::StatusCode::kOutOfRange},
      requireEra(after, std::move(onEnd)));
}

auto HttpPlatform::poll(const std::string &prefix, ObjectVersion after,
                        Duration timeout, Callback<ObjectList> done) -> void {
  auto onEvents = [this, after,
                   done = std::move(done)](absl::StatusOr<ObjectList> r) {
    // The response may be out of date, or report that the history is gone, but
    // its header field always gives the era.
    if (Era > eraOf(after) && (r.ok() || absl::IsOutOfRange(r.status())))
      r = ObjectList{{}, makeVersion(Era, 0)};
    else if (r.ok() && eraOf(r->CurrentVersion) < eraOf(after))
      r = ObjectList{{}, after};
    done(std::move(r));
  };
  runForEvents(Settings.Dialect->poll(prefix, onWire(after)), prefix,
               {exchangeLimits(timeout, Settings.WatchResponseBytes),
                absl::StatusCode::kDataLoss},
               std::move(onEvents));
}

} // namespace boragebridge
