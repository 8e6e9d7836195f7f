/// \file
/// Finds flows that get no answer from an upstream that answers others.
#ifndef BORAGEBRIDGE_FLOW_STALLED_FLOW_DETECTOR_H
#define BORAGEBRIDGE_FLOW_STALLED_FLOW_DETECTOR_H

#include "flow/flow_options.h"
#include "flow/record_table.h"

#include <array>
#include <unordered_map>

namespace boragebridge {

/// A table of fixed size that watches a sample of the flows: one flow for each
/// entry, the next one when its flow is answered or quiet. Not thread-safe.
class StalledFlowDetector {
public:
  static constexpr std::size_t TableSize = 8192;

  explicit StalledFlowDetector(const FlowOptions &opt) : Options(opt) {}

  /// A packet of \p h went to \p to. True when the flow is silent for good:
  /// enough packets over enough time without an answer, while the upstream
  /// answered other flows after the first of them.
  auto onSent(FlowHash h, const Endpoint &to, TimePoint now) -> bool;
  /// The upstream at \p from sent a packet of \p h.
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
