/// \file
/// Flows whose upstream is not known for sure. Their packets go to the most
/// likely upstream; one that does not know the flow resets it, as any TCP host
/// does, and the next upstream of the same service is tried.
#ifndef BORAGEBRIDGE_FLOW_CANDIDATE_SEARCH_TABLE_H
#define BORAGEBRIDGE_FLOW_CANDIDATE_SEARCH_TABLE_H

#include "boragebridge/packet.h"
#include "flow/record_table.h"

namespace boragebridge {

/// One flow being tried.
struct Trial {
  ServiceId Service{};
  std::vector<UpstreamId> Candidates;
  std::size_t Position = 0;
  /// The newest packet, to be sent again to the next candidate.
  Packet Held;
  TimePoint Since;
  TimePoint LastSent;
  auto current() const -> UpstreamId { return Candidates[Position]; }
};

/// Bounded. Not thread-safe.
class TrialTable {
public:
  explicit TrialTable(std::size_t limit) : Limit(limit) {}

  /// The trial of \p h, or null. Valid until the next other call.
  auto find(FlowHash h) -> Trial * {
    if (Trials.empty())
      return nullptr;
    auto it = Trials.find(raw(h));
    return it == Trials.end() ? nullptr : &it->second;
  }
  /// Null when the table is full.
  auto add(FlowHash h, Trial t) -> Trial * {
    if (Trials.size() >= Limit)
      return nullptr;
    return &Trials.insert_or_assign(raw(h), std::move(t)).first->second;
  }
  auto erase(FlowHash h) -> void { Trials.erase(raw(h)); }
  auto size() const -> std::size_t { return Trials.size(); }
  /// Drops trials that had no packet for \p age.
  auto expire(TimePoint now, Duration age) -> void {
    std::erase_if(Trials, [&](const auto &it) {
      return now - it.second.LastSent >= age;
    });
  }

private:
  std::size_t Limit;
  std::unordered_map<std::uint64_t, Trial> Trials;
};

} // namespace boragebridge

#endif
