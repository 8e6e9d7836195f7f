/// \file
/// Detects stalled flows: flows that get no answer from an upstream that
/// answers other flows.
#ifndef BORAGEBRIDGE_FLOW_STALLED_FLOW_DETECTOR_H
#define BORAGEBRIDGE_FLOW_STALLED_FLOW_DETECTOR_H

#include "flow/flow_options.h"
#include "flow/record_table.h"

#include <array>
#include <unordered_map>

namespace boragebridge {

/// A table of fixed size that watches a sample of the flows: one flow in each
/// entry, replaced by the next one when it is answered or idle. Not
/// thread-safe.
class StalledFlowDetector {
public:
  static constexpr std::size_t TableSize = 8192;

  explicit StalledFlowDetector(const FlowOptions &opt) : Options(opt) {}

  /// Records that a packet of \p h was sent to \p to. Returns true when the
  /// flow is stalled: at least StalledPackets packets over at least StalledTime
  /// had no answer, while the upstream answered another flow within the last
  /// StalledTime.
  auto onSent(FlowHash h, const Endpoint &to, TimePoint now) -> bool;
  /// Records a packet of \p h from the upstream at \p from.
  auto onAnswer(FlowHash h, const Endpoint &from, TimePoint now) -> void;

private:
  struct Entry {
    FlowHash Flow{};
    Endpoint To;
    std::uint32_t Packets = 0;
    TimePoint First;
    TimePoint Last;
  };

  const FlowOptions &Options;
  std::array<Entry, TableSize> Entries{};
  std::unordered_map<Endpoint, TimePoint> LastAnswers;
};

} // namespace boragebridge

#endif
