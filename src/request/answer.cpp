#include "request/answer.h"

#include <xxhash.h>

#include <algorithm>

namespace boragebridge {

auto digestAnswer(ByteView body) -> std::uint64_t {
  return XXH3_64bits(body.data(), body.size());
}

auto chunkCount(std::size_t size) -> std::size_t {
  return std::max<std::size_t>(1, (size + ChunkSize - 1) / ChunkSize);
}

auto chunkOf(ByteView body, std::size_t n) -> ByteView {
  const auto at = n * ChunkSize;
  return body.subspan(at, std::min(ChunkSize, body.size() - at));
}

auto AnswerAssembler::add(std::size_t n, std::size_t count,
                          std::uint64_t digest, ByteView part) -> void {
  if (count == 0 || count > MaxChunks || n >= count || part.size() > ChunkSize)
    return;
  if (Parts.empty()) {
    Parts.resize(count);
    Missing = count;
    Digest = digest;
  }
  if (Parts.size() != count || Digest != digest || Parts[n])
    return;
  Parts[n] = Bytes(part.begin(), part.end());
  --Missing;
}

auto AnswerAssembler::take() -> std::optional<Bytes> {
  if (Parts.empty() || Missing != 0)
    return std::nullopt;
  Bytes whole;
  for (const auto &it : Parts)
    whole.insert(whole.end(), it->begin(), it->end());
  Parts.clear();
  if (digestAnswer(whole) != Digest)
    return std::nullopt;
  return whole;
}

} // namespace boragebridge
