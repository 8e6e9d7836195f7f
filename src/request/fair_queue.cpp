#include "request/fair_queue.h"

#include <algorithm>

namespace boragebridge {

auto FairQueue::push(ServiceId s, QueuedRequest q) -> bool {
  auto &queue = Queues[s];
  const auto active = std::max<std::size_t>(
      1, static_cast<std::size_t>(
             std::count_if(Queues.begin(), Queues.end(), [s](const auto &v) {
               return v.first == s || !v.second.empty();
             })));
  // One share stays free for services that have no queue yet: half of the total
  // while only one service has a queue.
  const auto share = MaxTotal / (active + 1);
  if (queue.size() >= share || Total >= MaxTotal)
    return false;
  queue.push_back(q);
  ++Total;
  return true;
}

auto FairQueue::pushFront(ServiceId s, QueuedRequest q) -> void {
  Queues[s].push_front(q);
  ++Total;
}

auto FairQueue::pop(ServiceId s, QueuedRequest &q) -> bool {
  auto it = Queues.find(s);
  if (it == Queues.end() || it->second.empty())
    return false;
  q = it->second.front();
  it->second.pop_front();
  --Total;
  return true;
}

auto FairQueue::remove(ServiceId s, std::uint32_t attempt) -> bool {
  auto it = Queues.find(s);
  if (it == Queues.end())
    return false;
  const auto n = std::erase_if(it->second, [attempt](const QueuedRequest &q) {
    return q.Attempt == attempt;
  });
  Total -= n;
  return n != 0;
}

auto FairQueue::takeLate(ServiceId s, TimePoint limit)
    -> std::deque<QueuedRequest> {
  std::deque<QueuedRequest> late;
  auto it = Queues.find(s);
  if (it == Queues.end())
    return late;
  auto &queue = it->second;
  auto isLate = [limit](const QueuedRequest &q) { return q.Deadline < limit; };
  std::copy_if(queue.begin(), queue.end(), std::back_inserter(late), isLate);
  std::erase_if(queue, isLate);
  Total -= late.size();
  return late;
}

auto FairQueue::services() const -> std::vector<ServiceId> {
  std::vector<ServiceId> all;
  for (const auto &[service, queue] : Queues)
    all.push_back(service);
  return all;
}

auto FairQueue::size(ServiceId s) const -> std::size_t {
  auto it = Queues.find(s);
  return it == Queues.end() ? 0 : it->second.size();
}

} // namespace boragebridge
