/// \file
/// Log lines about single flows, with what decided about them.
///
/// Not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_FLOW_LOG_H
#define BORAGEBRIDGE_EDGE_FLOW_LOG_H

#include "edge/forwarder.h"

namespace boragebridge {

class StreamLog;

/// Returns \p d in whole milliseconds, as log fields have it.
auto inMilliseconds(Duration d) -> std::string;

class FlowLog {
public:
  /// All references must outlive the object.
  FlowLog(StreamLog &log, const UpstreamDirectory &directory,
          const UpstreamEstimates &estimates)
      : Log(log), Directory(directory), Estimates(estimates) {}

  /// The opening packet \p p was forwarded as \p d says. \p viewAge is the age
  /// of this instance's view of the store. Precondition: d.Upstream is set.
  auto onOpened(const FlowPacket &p, const EdgeDecision &d, Duration viewAge,
                TimePoint now) -> void;
  /// The flow of \p p was reset as \p d says.
  auto onReset(const FlowPacket &p, const EdgeDecision &d, Duration viewAge,
               TimePoint now) -> void;

private:
  StreamLog &Log;
  const UpstreamDirectory &Directory;
  const UpstreamEstimates &Estimates;
};

} // namespace boragebridge

#endif
