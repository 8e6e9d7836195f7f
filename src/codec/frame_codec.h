/// \file
/// Peer frames on a byte stream: a length of four bytes in little-endian order,
/// then one FlatBuffers envelope.
///
/// Example:
/// \code
///   FrameDecoder decoder;
///   decoder.append(bytes);
///   for (;;) {
///     auto f = decoder.next();
///     if (!f.ok()) return cut();   // malformed
///     if (!*f) break;              // incomplete
///     receive(**f);
///   }
/// \endcode
#ifndef BORAGEBRIDGE_CODEC_FRAME_CODEC_H
#define BORAGEBRIDGE_CODEC_FRAME_CODEC_H

#include "boragebridge/peer_link.h"

#include "absl/status/statusor.h"

#include <optional>

namespace boragebridge {

/// Bytes of the length that precedes each envelope.
inline constexpr std::size_t FrameLengthBytes = 4;
/// The longest envelope, in bytes.
inline constexpr std::size_t MaxFrameBytes = std::size_t{1} << 20;

/// Length and envelope of \p f. InvalidArgument when it is over the limit.
/// Safe from any thread.
auto encodeFrame(const PeerFrame &f) -> absl::StatusOr<Bytes>;

/// Takes the bytes of one connection apart. It holds at most one incomplete
/// frame and the bytes of the last append. Not thread-safe.
class FrameDecoder {
public:
  /// Adds bytes that arrived.
  auto append(ByteView b) -> void;
  /// The next whole frame, or nothing when more bytes are needed.
  /// InvalidArgument when the stream is malformed; every later call then
  /// returns the same, since the stream cannot be resynchronised.
  auto next() -> absl::StatusOr<std::optional<PeerFrame>>;
  /// True when bytes of an incomplete frame are held.
  auto isInsideFrame() const -> bool { return Consumed < Buffer.size(); }

private:
  auto fail(const std::string &why) -> absl::Status;

  Bytes Buffer;
  std::size_t Consumed = 0;
  absl::Status Failure;
};

} // namespace boragebridge

#endif
