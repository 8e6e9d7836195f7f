/// \file
/// Copies the header fields of a Beast message. For the .cpp files of HTTP
/// only, since Beast is slow to compile.
#ifndef BORAGEBRIDGE_NET_HTTP_HEADERS_H
#define BORAGEBRIDGE_NET_HTTP_HEADERS_H

#include "net/http.h"

#include <boost/beast/http/fields.hpp>

#include <algorithm>
#include <cctype>

namespace boragebridge {

/// The fields of \p f; of several with one name the last one counts.
inline auto copyHeaders(const boost::beast::http::fields &f) -> HttpHeaders {
  HttpHeaders out;
  for (const auto &it : f) {
    std::string name(it.name_string());
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    out[name] = std::string(it.value());
  }
  return out;
}

} // namespace boragebridge

#endif
