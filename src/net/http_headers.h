/// \file
/// Copies the header fields of a Boost.Beast message. Include this header only
/// in the .cpp files of the HTTP client and server, since Beast is slow to
/// compile.
#ifndef BORAGEBRIDGE_NET_HTTP_HEADERS_H
#define BORAGEBRIDGE_NET_HTTP_HEADERS_H

#include "net/http.h"

#include <boost/beast/http/fields.hpp>

#include <algorithm>
#include <cctype>

namespace boragebridge {

/// Copies the fields of \p f, with names in lower case. Of several fields of
/// one name, the last one is kept.
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
