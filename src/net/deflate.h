/// \file
/// Compression of HTTP bodies in the zlib format (RFC 1950), which HTTP calls
/// "deflate". It carries a checksum of the text. Both functions are
/// thread-safe.
#ifndef BORAGEBRIDGE_NET_DEFLATE_H
#define BORAGEBRIDGE_NET_DEFLATE_H

#include "absl/status/statusor.h"

#include <string>
#include <string_view>

namespace boragebridge {

/// Name of the encoding in Accept-Encoding and Content-Encoding.
inline constexpr std::string_view DeflateEncoding = "deflate";

/// Returns ResourceExhausted if there is no memory.
auto deflate(std::string_view text) -> absl::StatusOr<std::string>;
/// The inverse of deflate(). Returns InvalidArgument if \p data is malformed or
/// ends early, and ResourceExhausted if the result exceeds \p maxBytes.
auto inflate(std::string_view data, std::size_t maxBytes)
    -> absl::StatusOr<std::string>;

} // namespace boragebridge

#endif
