/// \file
/// Parses the target of an HTTP request into path and query parameters.
#ifndef BORAGEBRIDGE_NET_URL_TARGET_H
#define BORAGEBRIDGE_NET_URL_TARGET_H

#include <cstdint>
#include <map>
#include <string>

namespace boragebridge {

/// A parsed request target. A value type; distinct objects may be used from
/// different threads.
struct UrlTarget {
  /// The percent-decoded path.
  std::string Path;
  std::map<std::string, std::string> Query;

  /// Returns the query parameter \p name as a number, or 0 when it is absent or
  /// does not start with a number.
  auto number(const std::string &name) const -> std::uint64_t;
  /// Returns the query parameter \p name, or an empty string when it is absent.
  auto text(const std::string &name) const -> std::string;
};

/// Parses \p s. The path is empty when \p s is not a valid request target.
auto parseUrlTarget(const std::string &s) -> UrlTarget;

} // namespace boragebridge

#endif
