#include "net/frame_queue.h"

namespace boragebridge {

auto FrameQueue::push(Bytes frame, Priority pr) -> std::size_t {
  auto &lane = Lanes[static_cast<std::size_t>(pr)];
  std::size_t dropped = 0;
  while (!lane.Frames.empty() && lane.Size + frame.size() > Limit) {
    lane.Size -= lane.Frames.front().size();
    lane.Frames.pop_front();
    ++dropped;
  }
  lane.Size += frame.size();
  lane.Frames.push_back(std::move(frame));
  return dropped;
}

auto FrameQueue::take(std::size_t most) -> FrameBatch {
  FrameBatch out;
  for (auto &lane : Lanes)
    while (!lane.Frames.empty()) {
      const auto &f = lane.Frames.front();
      if (out.Frames > 0 && out.Content.size() + f.size() > most)
        return out;
      out.Content.insert(out.Content.end(), f.begin(), f.end());
      lane.Size -= f.size();
      lane.Frames.pop_front();
      ++out.Frames;
    }
  return out;
}

auto FrameQueue::clear() -> std::size_t {
  auto n = frames();
  Lanes = {};
  return n;
}

auto FrameQueue::frames() const -> std::size_t {
  return Lanes[0].Frames.size() + Lanes[1].Frames.size();
}

} // namespace boragebridge
