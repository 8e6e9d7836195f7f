#include "net/deflate.h"

#define ZLIB_CONST
#include <zlib.h>

#include <algorithm>
#include <memory>

namespace boragebridge {

auto deflate(std::string_view text) -> absl::StatusOr<std::string> {
  // Lists of records are repetitive, so a fast level is enough.
  constexpr int Level = 2;
  auto n = ::compressBound(text.size());
  std::string out(n, '\0');
  if (::compress2(reinterpret_cast<Bytef *>(out.data()), &n,
                  reinterpret_cast<const Bytef *>(text.data()), text.size(),
                  Level) != Z_OK)
    return absl::ResourceExhaustedError("no memory to compress a body");
  out.resize(n);
  return out;
}

auto inflate(std::string_view data, std::size_t maxBytes)
    -> absl::StatusOr<std::string> {
  constexpr std::size_t MinBytes = 1024;
  constexpr std::size_t ExpectedRatio = 8;
  z_stream stream{};
  if (::inflateInit(&stream) != Z_OK)
    return absl::ResourceExhaustedError("no memory to decompress a body");
  const std::unique_ptr<z_stream, int (*)(z_stream *)> end(&stream,
                                                           &::inflateEnd);
  std::string out(std::min(maxBytes, MinBytes + data.size() * ExpectedRatio),
                  '\0');
  stream.next_in = reinterpret_cast<const Bytef *>(data.data());
  stream.avail_in = static_cast<uInt>(data.size());
  for (;;) {
    stream.next_out = reinterpret_cast<Bytef *>(out.data()) + stream.total_out;
    stream.avail_out = static_cast<uInt>(out.size() - stream.total_out);
    const auto result = ::inflate(&stream, Z_NO_FLUSH);
    if (result == Z_STREAM_END)
      break;
    if (result != Z_OK || stream.avail_out != 0)
      return absl::InvalidArgumentError("compressed body is malformed");
    if (out.size() == maxBytes)
      return absl::ResourceExhaustedError("compressed body is too long");
    out.resize(std::min(maxBytes, out.size() * 2));
  }
  out.resize(stream.total_out);
  return out;
}

} // namespace boragebridge
