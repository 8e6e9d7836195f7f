/// \file
/// Queues of the requests that wait for a slot of an upstream, one queue per
/// service. Each queue is bounded by its length and by the deadlines of its
/// entries.
#ifndef BORAGEBRIDGE_REQUEST_FAIR_QUEUE_H
#define BORAGEBRIDGE_REQUEST_FAIR_QUEUE_H

#include "boragebridge/types.h"

#include <deque>
#include <unordered_map>

namespace boragebridge {

/// A queued request: the number of its attempt, and the deadline after which it
/// is not worth running.
struct QueuedRequest {
  std::uint32_t Attempt = 0;
  TimePoint Deadline;
};

/// One queue per service. Each slot belongs to one service, so requests wait
/// only behind requests of the same service. The services share the limit on
/// the total length, of which no service may take more than its share while
/// others use theirs. Not thread-safe.
class FairQueue {
public:
  explicit FairQueue(std::size_t maxTotal) : MaxTotal(maxTotal) {}

  /// Appends \p q. False when the total limit is reached, or the queue of \p s
  /// has its share: an equal part of the total, by the services with queued
  /// requests and one more that stays free for new ones.
  [[nodiscard]] auto push(ServiceId s, QueuedRequest q) -> bool;
  /// Inserts \p q at the front, regardless of the limits; for an attempt that
  /// an upstream refused.
  auto pushFront(ServiceId s, QueuedRequest q) -> void;
  /// Removes the oldest request of \p s into \p q; false when there is none.
  [[nodiscard]] auto pop(ServiceId s, QueuedRequest &q) -> bool;
  /// Removes \p attempt; false when it is not queued.
  auto remove(ServiceId s, std::uint32_t attempt) -> bool;
  /// Removes and returns the requests of \p s whose deadline is before
  /// \p limit.
  auto takeLate(ServiceId s, TimePoint limit) -> std::deque<QueuedRequest>;
  auto size(ServiceId s) const -> std::size_t;
  auto total() const -> std::size_t { return Total; }
  /// Returns the services that have had a queue so far, also if it is now
  /// empty.
  auto services() const -> std::vector<ServiceId>;

private:
  std::size_t MaxTotal;
  std::size_t Total = 0;
  std::unordered_map<ServiceId, std::deque<QueuedRequest>> Queues;
};

} // namespace boragebridge

#endif
