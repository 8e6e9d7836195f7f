/// \file
/// The target of an HTTP request: its path and the values of its query.
#ifndef BORAGEBRIDGE_NET_URL_TARGET_H
#define BORAGEBRIDGE_NET_URL_TARGET_H

#include <cstdint>
#include <map>
#include <string>

namespace boragebridge {

/// A plain value; safe from any thread.
struct UrlTarget {
  /// Decoded.
  std::string Path;
  std::map<std::string, std::string> Query;

  /// The number called \p name; 0 when there is none.
  auto number(const std::string &name) const -> std::uint64_t;
  /// The text called \p name; empty when there is none.
  auto text(const std::string &name) const -> std::string;
};

/// The parts of \p s; an empty path when it is no target.
auto parseUrlTarget(const std::string &s) -> UrlTarget;

} // namespace boragebridge

#endif
