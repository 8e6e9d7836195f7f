/// \file
/// HTTP messages, independent of the HTTP library.
#ifndef BORAGEBRIDGE_NET_HTTP_H
#define BORAGEBRIDGE_NET_HTTP_H

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace boragebridge {

/// The longest body of a request or response, in bytes.
inline constexpr std::size_t MaxHttpBodyBytes = std::size_t{8} << 20;
/// The longest header section, in bytes.
inline constexpr std::size_t MaxHttpHeaderBytes = std::size_t{16} << 10;

/// HTTP status codes that the code refers to by name.
enum class HttpStatus : unsigned {
  Ok = 200,
  BadRequest = 400,
  NotFound = 404,
  Gone = 410,
  PreconditionFailed = 412,
  ServiceUnavailable = 503,
};

/// Header fields by name. Names are in lower case.
using HttpHeaders = std::map<std::string, std::string>;

struct HttpRequest {
  /// For example "GET", "POST", "PUT" or "DELETE".
  std::string Method;
  /// Path and query, for example "/v1/services?x=y".
  std::string Target;
  std::string Body;
  HttpHeaders Headers;
};

struct HttpResponse {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
  /// Additional fields. A response to send need not contain Content-Type and
  /// the fields of the transport, which the server sets.
  HttpHeaders Headers;
  /// If set, a server sends this in place of Body. For a body that is sent to
  /// many clients.
  std::shared_ptr<const std::string> SharedBody = nullptr;
};

/// Sends the response to one request. May be called once, during the handler's
/// call or later.
using HttpRespond = std::function<void(HttpResponse)>;
/// Handles one request and calls the given HttpRespond.
using HttpHandler = std::function<void(const HttpRequest &, HttpRespond)>;

} // namespace boragebridge

#endif
