/// \file
/// Reads JSON text whose writers may be untrusted. Include this header only in
/// .cpp files, since Boost.JSON is slow to compile.
#ifndef BORAGEBRIDGE_NET_JSON_TEXT_H
#define BORAGEBRIDGE_NET_JSON_TEXT_H

#include "absl/status/statusor.h"

#include <boost/json.hpp>

#include <string>
#include <string_view>

namespace boragebridge {

/// Returns parse options that accept strings with invalid UTF-8.
inline auto allowInvalidUtf8() -> boost::json::parse_options {
  boost::json::parse_options opt;
  opt.allow_invalid_utf8 = true;
  return opt;
}

/// Parses \p text and returns the result of \p read for the parsed value.
/// Returns InvalidArgument when \p text is not JSON or when \p read throws.
template <typename Read>
auto readJson(std::string_view text, Read read,
              const boost::json::parse_options &opt = {})
    -> absl::StatusOr<decltype(read(boost::json::value()))> {
  boost::system::error_code ec;
  // Lists have thousands of values, which are all freed together.
  boost::json::monotonic_resource memory;
  const auto v =
      boost::json::parse({text.data(), text.size()}, ec, &memory, opt);
  if (ec)
    return absl::InvalidArgumentError("not JSON: " + ec.message());
  try {
    return read(v);
  } catch (const std::exception &e) {
    return absl::InvalidArgumentError(std::string("unexpected JSON: ") +
                                      e.what());
  }
}

} // namespace boragebridge

#endif
