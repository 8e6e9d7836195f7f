#include "flow/record_table.h"

namespace boragebridge {

auto RecordTable::find(FlowHash h) -> FlowRecord * {
  auto it = Records.find(raw(h));
  return it == Records.end() ? nullptr : &it->second;
}

auto RecordTable::put(FlowHash h, const FlowRecord &r) -> bool {
  auto it = Records.find(raw(h));
  if (it != Records.end()) {
    it->second = r;
    return true;
  }
  if (Records.size() >= Limit)
    return false;
  Records.emplace(raw(h), r);
  // A rehash can move the records to other buckets, and the sweep starts again
  // when its position is past the end.
  if (NextBucket >= Records.bucket_count())
    NextBucket = 0;
  return true;
}

auto RecordTable::bytes() const -> std::size_t {
  using Node = std::pair<const std::uint64_t, FlowRecord>;
  return Records.size() * (sizeof(Node) + sizeof(void *)) +
         Records.bucket_count() * sizeof(void *);
}

} // namespace boragebridge
