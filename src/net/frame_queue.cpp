#include "net/frame_queue.h"

namespace boragebridge {

auto FrameQueue::push(Bytes frame, Priority pr) -> std::size_t {
  auto &queue = PriorityClasses[static_cast<std::size_t>(pr)];
  std::size_t dropped = 0;
  while (!queue.Frames.empty() && queue.Size + frame.size() > Limit) {
    queue.Size -= queue.Frames.front().size();
    queue.Frames.pop_front();
    ++dropped;
  }
  queue.Size += frame.size();
  queue.Frames.push_back(std::move(frame));
  return dropped;
}

auto FrameQueue::takeBatch(std::size_t maxBytes) -> FrameBatch {
  FrameBatch out;
  for (auto &queue : PriorityClasses)
    while (!queue.Frames.empty()) {
      const auto &f = queue.Frames.front();
      if (out.Frames > 0 && out.Content.size() + f.size() > maxBytes)
        return out;
      out.Content.insert(out.Content.end(), f.begin(), f.end());
      queue.Size -= f.size();
      queue.Frames.pop_front();
      ++out.Frames;
    }
  return out;
}

auto FrameQueue::clear() -> std::size_t {
  auto n = frames();
  PriorityClasses = {};
  return n;
}

auto FrameQueue::frames() const -> std::size_t {
  return PriorityClasses[0].Frames.size() + PriorityClasses[1].Frames.size();
}

} // namespace boragebridge
