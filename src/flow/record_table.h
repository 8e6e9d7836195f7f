/// \file
/// The flows of unsettled slots whose upstream this instance knows.
#ifndef BORAGEBRIDGE_FLOW_RECORD_TABLE_H
#define BORAGEBRIDGE_FLOW_RECORD_TABLE_H

#include "boragebridge/types.h"

#include <unordered_map>

namespace boragebridge {

/// A 64-bit hash of a flow's key, which identifies the flow in records.
enum class FlowHash : std::uint64_t {};

/// A flow and its upstream.
struct FlowRecord {
  ServiceId Service{};
  UpstreamId Upstream{};
  TimePoint LastActive;
  /// When its opening packet was seen; the zero time when the flow was open
  /// before.
  TimePoint Opened;
  /// For a cached record: when a packet of the flow was last relayed to its
  /// home.
  TimePoint LastRelayed;
  /// Packets of the flow that peers have relayed here since a record was last
  /// sent to one of them.
  std::uint8_t RelaysSinceHint = 0;
  /// The flow is closed. The record is kept for packets that are still in
  /// transit.
  bool Closing = false;
};

/// A bounded map of records, swept incrementally. Not thread-safe.
class RecordTable {
public:
  RecordTable(std::size_t limit, Duration idleTimeout,
              Duration closingRetention)
      : Limit(limit), IdleTimeout(idleTimeout),
        ClosingRetention(closingRetention) {}

  /// The record of \p h, or null. The pointer is valid until the next call of
  /// another function.
  auto find(FlowHash h) -> FlowRecord *;
  /// Adds or replaces a record; false when the table is full.
  auto put(FlowHash h, const FlowRecord &r) -> bool;
  auto erase(FlowHash h) -> void { Records.erase(raw(h)); }
  auto size() const -> std::size_t { return Records.size(); }
  /// The memory used in bytes, computed from the sizes of nodes and buckets.
  auto bytes() const -> std::size_t;

  /// Calls \p visit(hash, record) for all records.
  template <typename F> auto forEach(const F &visit) const -> void {
    for (const auto &[h, r] : Records)
      visit(FlowHash{h}, r);
  }

  /// Sweeps the next \p n buckets: removes expired records and passes the
  /// others to \p visit(hash, record). Returns true when this call has
  /// completed a pass over the whole table.
  template <typename F>
  auto sweep(std::size_t n, TimePoint now, const F &visit) -> bool {
    std::size_t seen = 0;
    while (NextBucket < Records.bucket_count() && seen < n) {
      seen += 1;
      Expired.clear();
      for (auto it = Records.begin(NextBucket); it != Records.end(NextBucket);
           ++it) {
        if (isExpired(it->second, now))
          Expired.push_back(it->first);
        else
          visit(FlowHash{it->first}, it->second);
      }
      for (auto h : Expired)
        Records.erase(h);
      ++NextBucket;
    }
    if (NextBucket < Records.bucket_count())
      return false;
    NextBucket = 0;
    return true;
  }

private:
  auto isExpired(const FlowRecord &r, TimePoint now) const -> bool {
    return now - r.LastActive >= (r.Closing ? ClosingRetention : IdleTimeout);
  }

  std::size_t Limit;
  Duration IdleTimeout;
  Duration ClosingRetention;
  std::unordered_map<std::uint64_t, FlowRecord> Records;
  std::vector<std::uint64_t> Expired;
  std::size_t NextBucket = 0;
};

} // namespace boragebridge

#endif
