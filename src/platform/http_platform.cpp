#include "platform/http_platform.h"

// GCC reports it in code that it makes for coroutines and in Beast's templates.
#pragma GCC diagnostic ignored "-Wzero-as-null-pointer-constant"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl/host_name_verification.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <boost/json.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace boragebridge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

/// One exchange.
struct HttpPlatform::Call {
  http::verb Method = http::verb::get;
  std::string Target;
  std::string Body;
  Duration Timeout{};
};

namespace {

using Response = http::response<http::string_body>;

auto encode(const std::string &s) -> std::string {
  return boost::urls::encode(s, boost::urls::unreserved_chars);
}

/// Encodes a key for a path, in which slashes stay.
auto encodePath(const std::string &s) -> std::string {
  return boost::urls::encode(s, boost::urls::unreserved_chars + '/');
}

/// Turns the status of an answer into the errors of platform_client.h.
auto statusOf(const Response &r) -> absl::Status {
  const auto text = r.body().substr(0, 200);
  switch (r.result()) {
  case http::status::ok:
    return absl::OkStatus();
  case http::status::not_found:
    return absl::NotFoundError(text);
  case http::status::conflict:
    return absl::AbortedError(text);
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

/// Sends \p request and reads the answer. Once sent, its fate is unknown
/// until the answer has come whole.
template <typename Stream>
auto exchange(Stream &stream, http::request<http::string_body> request,
              std::size_t limit) -> asio::awaitable<absl::StatusOr<Response>> {
  beast::error_code ec;
  co_await http::async_write(stream, request,
                             asio::redirect_error(asio::use_awaitable, ec));
  if (ec)
    co_return absl::DeadlineExceededError(ec.message());
  beast::flat_buffer buf;
  http::response_parser<http::string_body> parser;
  parser.body_limit(limit);
  co_await http::async_read(stream, buf, parser,
                            asio::redirect_error(asio::use_awaitable, ec));
  if (ec)
    co_return absl::DeadlineExceededError(ec.message());
  co_return parser.release();
}

auto connect(beast::tcp_stream &stream, const Endpoint &to)
    -> asio::awaitable<absl::Status> {
  beast::error_code ec;
  const asio::ip::tcp::endpoint address(asio::ip::address_v4(to.Address),
                                        to.Port);
  co_await stream.async_connect(address,
                                asio::redirect_error(asio::use_awaitable, ec));
  if (ec)
    co_return absl::UnavailableError(ec.message());
  co_return absl::OkStatus();
}

auto exchangeOverTls(std::shared_ptr<const HttpPlatformSettings> settings,
                     http::request<http::string_body> request, Duration timeout)
    -> asio::awaitable<absl::StatusOr<Response>> {
  beast::ssl_stream<beast::tcp_stream> stream(
      co_await asio::this_coro::executor, *settings->Tls);
  beast::get_lowest_layer(stream).expires_after(timeout);
  if (auto s =
          co_await connect(beast::get_lowest_layer(stream), settings->Address);
      !s.ok())
    co_return s;
  if (!settings->ServerName.empty())
    stream.set_verify_callback(
        asio::ssl::host_name_verification(settings->ServerName));
  beast::error_code ec;
  co_await stream.async_handshake(
      asio::ssl::stream_base::client,
      asio::redirect_error(asio::use_awaitable, ec));
  if (ec)
    co_return absl::UnavailableError(ec.message());
  co_return co_await exchange(stream, std::move(request),
                              settings->ResponseBytes);
}

auto exchangePlain(std::shared_ptr<const HttpPlatformSettings> settings,
                   http::request<http::string_body> request, Duration timeout)
    -> asio::awaitable<absl::StatusOr<Response>> {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(timeout);
  if (auto s = co_await connect(stream, settings->Address); !s.ok())
    co_return s;
  co_return co_await exchange(stream, std::move(request),
                              settings->ResponseBytes);
}

auto parseObject(const json::value &v) -> StoredObject {
  const auto &o = v.as_object();
  StoredObject object;
  object.Key = std::string(o.at("key").as_string());
  object.Version = o.at("version").to_number<ObjectVersion>();
  if (const auto *value = o.if_contains("value"))
    object.Value = std::string(value->as_string());
  return object;
}

auto parseList(const json::value &v) -> ObjectList {
  ObjectList list;
  list.CurrentVersion = v.at("current_version").to_number<ObjectVersion>();
  for (const auto &it : v.at("objects").as_array()) {
    const auto *removed = it.as_object().if_contains("removed");
    list.Events.push_back(
        {parseObject(it), removed != nullptr && removed->as_bool()});
  }
  return list;
}

auto parseVersion(const json::value &v) -> ObjectVersion {
  return v.at("version").to_number<ObjectVersion>();
}

/// The value of an answer, or why there is none.
template <typename T, typename Parse>
auto read(const absl::StatusOr<Response> &r, Parse parse) -> absl::StatusOr<T> {
  if (!r.ok())
    return r.status();
  if (auto s = statusOf(*r); !s.ok())
    return s;
  try {
    return parse(json::parse(r->body()));
  } catch (const std::exception &e) {
    return absl::DeadlineExceededError(std::string("bad answer: ") + e.what());
  }
}

} // namespace

HttpPlatform::HttpPlatform(asio::io_context &io, HttpPlatformSettings settings)
    : Io(io), Settings(std::make_shared<const HttpPlatformSettings>(
                  std::move(settings))) {}

HttpPlatform::~HttpPlatform() = default;

template <typename T, typename Parse>
auto HttpPlatform::run(Call call, Parse parse, Callback<T> done) -> void {
  constexpr unsigned Http11 = 11;
  http::request<http::string_body> request(call.Method, call.Target, Http11);
  request.set(http::field::host, Settings->ServerName.empty()
                                     ? toString(Settings->Address)
                                     : Settings->ServerName);
  request.set(http::field::content_type, "application/json");
  request.keep_alive(false);
  request.body() = std::move(call.Body);
  request.prepare_payload();
  auto work = Settings->Tls != nullptr
                  ? exchangeOverTls(Settings, std::move(request), call.Timeout)
                  : exchangePlain(Settings, std::move(request), call.Timeout);
  asio::co_spawn(
      Io, std::move(work),
      [parse, done = std::move(done),
       alive = std::weak_ptr<bool>(Alive)](const std::exception_ptr &failure,
                                           const absl::StatusOr<Response> &r) {
        if (alive.expired())
          return;
        if (failure != nullptr)
          done(absl::DeadlineExceededError("the call failed"));
        else
          done(read<T>(r, parse));
      });
}

auto HttpPlatform::get(std::string key, Callback<StoredObject> done) -> void {
  run<StoredObject>({http::verb::get, "/v1/objects/" + encodePath(key), "",
                     Settings->Timeout},
                    parseObject, std::move(done));
}

auto HttpPlatform::list(std::string prefix, Callback<ObjectList> done) -> void {
  run<ObjectList>({http::verb::get, "/v1/objects?prefix=" + encode(prefix), "",
                   Settings->Timeout},
                  parseList, std::move(done));
}

auto HttpPlatform::put(std::string key, std::string value,
                       ObjectVersion expected, Callback<ObjectVersion> done)
    -> void {
  const json::object body{{"value", value}};
  run<ObjectVersion>({http::verb::put,
                      "/v1/objects/" + encodePath(key) +
                          "?expected=" + std::to_string(expected),
                      json::serialize(body), Settings->Timeout},
                     parseVersion, std::move(done));
}

auto HttpPlatform::remove(std::string key, ObjectVersion expected,
                          Callback<ObjectVersion> done) -> void {
  run<ObjectVersion>({http::verb::delete_,
                      "/v1/objects/" + encodePath(key) +
                          "?expected=" + std::to_string(expected),
                      "", Settings->Timeout},
                     parseVersion, std::move(done));
}

auto HttpPlatform::watch(std::string prefix, ObjectVersion after, Duration wait,
                         Callback<ObjectList> done) -> void {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
  run<ObjectList>({http::verb::get,
                   "/v1/watch?prefix=" + encode(prefix) +
                       "&after=" + std::to_string(after) +
                       "&wait_ms=" + std::to_string(ms.count()),
                   "", Settings->Timeout + wait},
                  parseList, std::move(done));
}

} // namespace boragebridge
