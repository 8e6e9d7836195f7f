/// \file
/// Encoded frames that wait for one connection. Control overtakes data.
#ifndef BORAGEBRIDGE_NET_FRAME_QUEUE_H
#define BORAGEBRIDGE_NET_FRAME_QUEUE_H

#include "boragebridge/peer_link.h"

#include <array>
#include <deque>

namespace boragebridge {

/// Frames joined for one write.
struct FrameBatch {
  Bytes Content;
  std::size_t Frames = 0;
};

/// Bounded in bytes for each priority; a full queue drops its oldest frames.
/// Not thread-safe.
class FrameQueue {
public:
  explicit FrameQueue(std::size_t limit) : Limit(limit) {}

  /// Adds \p frame; returns how many older frames were dropped for it.
  auto push(Bytes frame, Priority pr) -> std::size_t;
  /// Takes frames of up to \p maxBytes bytes in all (one at least, when there
  /// is any), control first.
  auto takeBatch(std::size_t maxBytes) -> FrameBatch;
  /// Drops everything; returns the number of frames.
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
