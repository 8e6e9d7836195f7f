/// \file
/// The flows of unsettled slots that an instance knows the upstream of.
#ifndef BORAGEBRIDGE_FLOW_RECORD_TABLE_H
#define BORAGEBRIDGE_FLOW_RECORD_TABLE_H

#include "boragebridge/types.h"

#include <unordered_map>

namespace boragebridge {

/// 64-bit hash of a flow's key; stands for the flow in records.
enum class FlowHash : std::uint64_t {};

/// A flow and its upstream.
struct FlowRecord {
  ServiceId Service{};
  UpstreamId Upstream{};
  TimePoint LastActive;
  /// When its opening packet was seen; none when it was known before.
  TimePoint Opened;
  /// When a packet of it last went to its home; for a cached record.
  TimePoint LastRelayed;
  /// Packets of it that others have relayed here, up to the next hint.
  std::uint8_t RelaysSinceHint = 0;
  /// The flow has ended; kept for packets that are still on the way.
  bool Closing = false;
};

/// Bounded map of records, swept a few at a time. Not thread-safe.
class RecordTable {
public:
  RecordTable(std::size_t limit, Duration idleLimit, Duration closingLimit)
      : Limit(limit), IdleTimeout(idleLimit), ClosingRetention(closingLimit) {}

  /// The record of \p h, or null. Valid until the next other call.
  auto find(FlowHash h) -> FlowRecord *;
  /// Adds or replaces a record; false when the table is full.
  auto put(FlowHash h, const FlowRecord &r) -> bool;
  auto erase(FlowHash h) -> void { Records.erase(raw(h)); }
  auto size() const -> std::size_t { return Records.size(); }
  /// Bytes held, from the sizes of nodes and buckets.
  auto bytes() const -> std::size_t;

  /// Calls \p visit(hash, record) for all records.
  template <typename F> auto forEach(const F &visit) const -> void {
    for (const auto &[h, r] : Records)
      visit(FlowHash{h}, r);
  }

  /// Looks at the next buckets, at least \p n records' worth: drops expired
  /// records and calls \p visit(hash, record) for the others. True when this
  /// call ended a pass over the whole table.
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
