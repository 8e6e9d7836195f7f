/// \file
/// Candidate searches: flows whose upstream is not known for certain. Their
/// packets go to the most likely candidate. An upstream that does not know the
/// flow resets it, as any TCP host does, and the packet then goes to the next
/// candidate of the same service.
#ifndef BORAGEBRIDGE_FLOW_CANDIDATE_SEARCH_TABLE_H
#define BORAGEBRIDGE_FLOW_CANDIDATE_SEARCH_TABLE_H

#include "boragebridge/packet.h"
#include "flow/record_table.h"

namespace boragebridge {

/// The search for the upstream of one flow.
struct CandidateSearch {
  ServiceId Service{};
  std::vector<UpstreamId> Candidates;
  std::size_t Position = 0;
  /// The newest packet of the flow, to be sent again to the next candidate.
  Packet LastPacket;
  TimePoint Since;
  TimePoint LastSent;
  auto current() const -> UpstreamId { return Candidates[Position]; }
};

/// A bounded table of searches. Not thread-safe.
class CandidateSearchTable {
public:
  explicit CandidateSearchTable(std::size_t limit) : Limit(limit) {}

  /// The search of \p h, or null. The pointer is valid until the next call of
  /// another function.
  auto find(FlowHash h) -> CandidateSearch * {
    if (Searches.empty())
      return nullptr;
    auto it = Searches.find(raw(h));
    return it == Searches.end() ? nullptr : &it->second;
  }
  /// Adds or replaces the search of \p h. Returns null when the table is full.
  auto add(FlowHash h, CandidateSearch s) -> CandidateSearch * {
    if (Searches.size() >= Limit)
      return nullptr;
    return &Searches.insert_or_assign(raw(h), std::move(s)).first->second;
  }
  auto erase(FlowHash h) -> void { Searches.erase(raw(h)); }
  auto size() const -> std::size_t { return Searches.size(); }
  /// Drops searches that have had no packet for \p age.
  auto expire(TimePoint now, Duration age) -> void {
    std::erase_if(Searches, [&](const auto &it) {
      return now - it.second.LastSent >= age;
    });
  }

private:
  std::size_t Limit;
  std::unordered_map<std::uint64_t, CandidateSearch> Searches;
};

} // namespace boragebridge

#endif
