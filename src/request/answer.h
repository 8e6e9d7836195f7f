/// \file
/// Answers larger than a datagram: cut into chunks, put together again, and
/// checked against a digest of the whole, so that a cut or mixed answer is
/// never taken for a whole one.
#ifndef BORAGEBRIDGE_REQUEST_ANSWER_H
#define BORAGEBRIDGE_REQUEST_ANSWER_H

#include "boragebridge/types.h"

#include <optional>

namespace boragebridge {

/// Payload bytes of one chunk; a packet with it fits an Ethernet frame.
constexpr std::size_t ChunkSize = 1200;
/// Largest answer, in chunks (about 1.2 MB).
constexpr std::size_t MaxChunks = 1024;

/// The digest of a whole answer.
auto digestAnswer(ByteView body) -> std::uint64_t;
/// How many chunks \p size bytes need; at least one.
auto chunkCount(std::size_t size) -> std::size_t;
/// Chunk \p n of \p body. Precondition: n < chunkCount(body.size()).
auto chunkOf(ByteView body, std::size_t n) -> ByteView;

/// Collects the chunks of one answer, in any order and with duplicates.
class AnswerAssembler {
public:
  /// Adds chunk \p n of \p count of the answer with \p digest. Chunks that
  /// contradict the first one seen, or are out of range, are ignored.
  auto add(std::size_t n, std::size_t count, std::uint64_t digest,
           ByteView part) -> void;
  /// The whole answer, once every chunk is there and the digest fits. When
  /// the digest does not fit, everything collected is dropped.
  auto take() -> std::optional<Bytes>;
  /// True when some chunk has arrived.
  auto isStarted() const -> bool { return !Parts.empty(); }

private:
  std::vector<std::optional<Bytes>> Parts;
  std::size_t Missing = 0;
  std::uint64_t Digest = 0;
};

} // namespace boragebridge

#endif
