/// \file
/// Reads JSON text whose writers are not all to be trusted. Boost.JSON is slow
/// to compile: for .cpp files only.
#ifndef BORAGEBRIDGE_NET_JSON_TEXT_H
#define BORAGEBRIDGE_NET_JSON_TEXT_H

#include "absl/status/statusor.h"

#include <boost/json.hpp>

#include <string>

namespace boragebridge {

/// For text that may hold bytes which are no UTF-8 in its strings.
inline auto allowInvalidUtf8() -> boost::json::parse_options {
  boost::json::parse_options opt;
  opt.allow_invalid_utf8 = true;
  return opt;
}

/// What \p read makes of the JSON \p text; InvalidArgument when it is no JSON
/// or when \p read throws.
template <typename Read>
auto readJson(const std::string &text, Read read,
              const boost::json::parse_options &opt = {})
    -> absl::StatusOr<decltype(read(boost::json::value()))> {
  boost::system::error_code ec;
  const auto v = boost::json::parse(text, ec, {}, opt);
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
