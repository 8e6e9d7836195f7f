/// \file
/// Encodes peer frames for a byte stream and decodes them. Each frame is a
/// length of four bytes in little-endian order, then one FlatBuffers envelope.
///
/// Example:
/// \code
///   FrameDecoder decoder;
///   decoder.append(bytes);
///   for (;;) {
///     auto f = decoder.next();
///     if (!f.ok()) return close();   // malformed stream
///     if (!*f) break;                // incomplete frame
///     receive(**f);
///   }
/// \endcode
#ifndef BORAGEBRIDGE_CODEC_FRAME_CODEC_H
#define BORAGEBRIDGE_CODEC_FRAME_CODEC_H

#include "boragebridge/peer_link.h"

#include "absl/status/statusor.h"

#include <optional>

namespace boragebridge {

/// Size of the length field in front of each envelope, in bytes.
inline constexpr std::size_t FrameLengthBytes = 4;
/// The longest envelope, in bytes.
inline constexpr std::size_t MaxFrameBytes = std::size_t{1} << 20;

/// Returns the length field and the envelope of \p f, or InvalidArgument when
/// the envelope may exceed MaxFrameBytes. Thread-safe.
auto encodeFrame(const PeerFrame &f) -> absl::StatusOr<Bytes>;

/// Splits the byte stream of one connection into frames. The decoder buffers at
/// most one incomplete frame and the bytes of the last append(). Not
/// thread-safe.
class FrameDecoder {
public:
  /// Appends \p b, the next bytes of the stream.
  auto append(ByteView b) -> void;
  /// Returns the next complete frame, or nullopt when more bytes are needed.
  /// Returns InvalidArgument when the stream is malformed; every later call
  /// then returns the same error, since the stream cannot be resynchronised.
  auto next() -> absl::StatusOr<std::optional<PeerFrame>>;
  /// Returns true when undecoded bytes are buffered.
  auto isInsideFrame() const -> bool { return Consumed < Buffer.size(); }

private:
  /// Records the error that every later next() returns, and returns it.
  auto fail(const std::string &why) -> absl::Status;

  Bytes Buffer;
  std::size_t Consumed = 0;
  absl::Status Failure;
};

} // namespace boragebridge

#endif
