/// \file
/// HTTP messages as the programs see them.
#ifndef BORAGEBRIDGE_NET_HTTP_H
#define BORAGEBRIDGE_NET_HTTP_H

#include <functional>
#include <map>
#include <string>

namespace boragebridge {

/// The longest body of a request or response, in bytes.
inline constexpr std::size_t MaxHttpBodyBytes = std::size_t{8} << 20;
/// The longest header, in bytes.
inline constexpr std::size_t MaxHttpHeaderBytes = std::size_t{16} << 10;

/// Status codes that the programs use by name.
enum class HttpStatus : unsigned {
  Ok = 200,
  BadRequest = 400,
  NotFound = 404,
  Gone = 410,
  PreconditionFailed = 412,
  ServiceUnavailable = 503,
};

/// Header fields; names in lower case.
using HttpHeaders = std::map<std::string, std::string>;

struct HttpRequest {
  /// "GET", "POST", "PUT", "DELETE".
  std::string Method;
  /// Path and query, "/v1/services?x=y".
  std::string Target;
  std::string Body;
  HttpHeaders Headers;
};

struct HttpResponse {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
  /// Besides Content-Type and what the transport itself needs.
  HttpHeaders Headers;
};

/// Ends one request; may be called once, at once or later.
using HttpRespond = std::function<void(HttpResponse)>;
/// Handles one request.
using HttpHandler = std::function<void(const HttpRequest &, HttpRespond)>;

} // namespace boragebridge

#endif
