/// \file
/// Sends records of flows to the peers that may have to decide them next, in
/// batches and within a budget of bytes.
#ifndef BORAGEBRIDGE_FLOW_RECORD_STREAM_H
#define BORAGEBRIDGE_FLOW_RECORD_STREAM_H

#include "flow/flow_options.h"
#include "flow/peer_messenger.h"

#include <deque>
#include <map>

namespace boragebridge {

/// Not thread-safe.
class RecordStream {
public:
  RecordStream(const ControllerContext &ctx, const FlowOptions &opt,
               PeerMessenger &messenger);

  /// Queues a record for \p to. When the queue is full it is dropped and
  /// counted: the flow then depends on this instance.
  auto push(const Peer &to, ServiceId service, FlowHash flow, UpstreamId u)
      -> void;
  /// Sends what is due and within the budget.
  auto tick(TimePoint now) -> void;
  /// Sends with the budget of a planned stop from now on.
  auto useHandoverRate() -> void { AtHandoverRate = true; }
  /// True when a record that is not needed for safety may be queued.
  auto hasRoomForHint() const -> bool {
    constexpr std::size_t MaxQueued = 200;
    return Queued < MaxQueued;
  }
  auto isEmpty() const -> bool { return Queued == 0; }

private:
  struct Destination {
    Peer To;
    std::map<ServiceId, std::deque<RecordsMessage::Entry>> Waiting;
  };

  auto flush(Destination &d) -> void;

  const FlowOptions &Options;
  PeerMessenger &Messenger;
  std::map<InstanceId, Destination> Destinations;
  std::size_t Queued = 0;
  double Budget = 0;
  TimePoint LastTick;
  TimePoint LastFlush;
  bool AtHandoverRate = false;
  Counter &Sent;
  Counter &Dropped;
};

} // namespace boragebridge

#endif
