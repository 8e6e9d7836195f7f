/// \file
/// Requests that wait for a slot of an upstream, one queue a service, each
/// bounded by number and by the deadline of its entries.
#ifndef BORAGEBRIDGE_REQUEST_FAIR_QUEUE_H
#define BORAGEBRIDGE_REQUEST_FAIR_QUEUE_H

#include "boragebridge/types.h"

#include <deque>
#include <unordered_map>

namespace boragebridge {

/// What waits: the key of an attempt and until when it is worth running.
struct QueuedRequest {
  std::uint32_t Attempt = 0;
  TimePoint Deadline;
};

/// Not thread-safe. Because slots belong to one service each, a service's own
/// queue is all that its requests wait in; the shared limit is the total, of
/// which no service may take more than its share while others use theirs.
class FairQueue {
public:
  explicit FairQueue(std::size_t maxTotal) : MaxTotal(maxTotal) {}

  /// Adds \p q; false when the service's queue is full: longer than an equal
  /// share of the total over the services that have queues.
  [[nodiscard]] auto push(ServiceId s, QueuedRequest q) -> bool;
  /// Returns \p q to the front; for an attempt that an upstream refused.
  auto pushFront(ServiceId s, QueuedRequest q) -> void;
  /// Takes the oldest of \p s; false when there is none.
  [[nodiscard]] auto pop(ServiceId s, QueuedRequest &q) -> bool;
  /// Takes \p attempt out; false when it is not queued.
  auto remove(ServiceId s, std::uint32_t attempt) -> bool;
  /// Takes out those of \p s whose deadline is before \p limit.
  auto takeLate(ServiceId s, TimePoint limit) -> std::deque<QueuedRequest>;
  auto size(ServiceId s) const -> std::size_t;
  auto total() const -> std::size_t { return Total; }
  /// The services that had queues so far.
  auto services() const -> std::vector<ServiceId>;

private:
  std::size_t MaxTotal;
  std::size_t Total = 0;
  std::unordered_map<ServiceId, std::deque<QueuedRequest>> Queues;
};

} // namespace boragebridge

#endif
