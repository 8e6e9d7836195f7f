/// \file
/// Splits answers larger than a datagram into chunks and reassembles them. A
/// digest of the whole answer ensures that an incomplete answer, or one with
/// chunks of another answer, is never accepted as whole.
#ifndef BORAGEBRIDGE_REQUEST_ANSWER_H
#define BORAGEBRIDGE_REQUEST_ANSWER_H

#include "boragebridge/types.h"

#include <optional>

namespace boragebridge {

/// Payload of one chunk, in bytes. A packet with a full chunk fits into an
/// Ethernet frame.
constexpr std::size_t ChunkSize = 1200;
/// Largest answer, in chunks (about 1.2 MB).
constexpr std::size_t MaxChunks = 1024;

/// Returns the digest of a whole answer.
auto digestAnswer(ByteView body) -> std::uint64_t;
/// Returns the number of chunks that \p size bytes need; at least one.
auto chunkCount(std::size_t size) -> std::size_t;
/// Returns chunk \p n of \p body. Precondition: n < chunkCount(body.size()).
auto chunkOf(ByteView body, std::size_t n) -> ByteView;

/// Collects the chunks of one answer, in any order and with duplicates. Not
/// thread-safe.
class AnswerAssembler {
public:
  /// Adds chunk \p n of \p count of the answer with \p digest. Chunks that are
  /// out of range, or whose count or digest differs from the first chunk seen,
  /// are ignored.
  auto add(std::size_t n, std::size_t count, std::uint64_t digest,
           ByteView part) -> void;
  /// Returns the whole answer once every chunk has arrived and the digest
  /// matches. If the digest does not match, all collected chunks are discarded.
  auto take() -> std::optional<Bytes>;
  /// True when at least one chunk has arrived.
  auto isStarted() const -> bool { return !Parts.empty(); }

private:
  std::vector<std::optional<Bytes>> Parts;
  std::size_t Missing = 0;
  std::uint64_t Digest = 0;
};

} // namespace boragebridge

#endif
