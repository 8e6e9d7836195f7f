/// \file
/// A queue of encoded frames for one connection. Frames of priority Control are
/// sent before frames of priority Data.
#ifndef BORAGEBRIDGE_NET_FRAME_QUEUE_H
#define BORAGEBRIDGE_NET_FRAME_QUEUE_H

#include "boragebridge/peer_link.h"

#include <array>
#include <deque>

namespace boragebridge {

/// Concatenated frames for one write.
struct FrameBatch {
  Bytes Content;
  std::size_t Frames = 0;
};

/// Holds a bounded number of bytes for each priority. A push() that would
/// exceed the bound drops the oldest frames; a single frame longer than the
/// bound is kept. Not thread-safe.
class FrameQueue {
public:
  /// Constructs a queue of at most \p limit bytes for each priority.
  explicit FrameQueue(std::size_t limit) : Limit(limit) {}

  /// Adds \p frame and returns the number of older frames of the same priority
  /// that were dropped to make room.
  auto push(Bytes frame, Priority pr) -> std::size_t;
  /// Removes and returns frames of at most \p maxBytes bytes in total, control
  /// frames first. Unless the queue is empty, at least one frame is returned,
  /// whatever its size.
  auto takeBatch(std::size_t maxBytes) -> FrameBatch;
  /// Drops all frames and returns their number.
  auto clear() -> std::size_t;
  auto frames() const -> std::size_t;

private:
  struct PriorityClass {
    std::deque<Bytes> Frames;
    std::size_t Size = 0;
  };
  std::size_t Limit;
  std::array<PriorityClass, 2> PriorityClasses;
};

} // namespace boragebridge

#endif
