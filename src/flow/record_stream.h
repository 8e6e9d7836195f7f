/// \file
/// Sends flow records, in batches and within a byte rate, to the peers that may
/// have to decide for those flows next.
#ifndef BORAGEBRIDGE_FLOW_RECORD_STREAM_H
#define BORAGEBRIDGE_FLOW_RECORD_STREAM_H

#include "flow/flow_options.h"
#include "flow/peer_messenger.h"

#include <deque>
#include <map>

namespace boragebridge {

/// The queues of records of one instance, one for each destination. Not
/// thread-safe.
class RecordStream {
public:
  RecordStream(const ControllerContext &ctx, const FlowOptions &opt,
               PeerMessenger &messenger);

  /// Queues a record for \p to. When the queue is full the record is dropped
  /// and counted; only this instance then knows the flow.
  auto push(const Peer &to, ServiceId service, FlowHash flow, UpstreamId u)
      -> void;
  /// Sends the batches that are due and within the byte rate.
  auto tick(TimePoint now) -> void;
  /// Raises the byte rate and shortens the interval, for the handover of a
  /// planned stop.
  auto useHandoverRate() -> void { AtHandoverRate = true; }
  /// True when a hint may be queued: a record that only saves relays and is not
  /// needed to keep a flow.
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
  /// Bytes that may be sent now; at most those of one second.
  double Budget = 0;
  TimePoint LastTick;
  TimePoint LastFlush;
  bool AtHandoverRate = false;
  Counter &Sent;
  Counter &Dropped;
};

} // namespace boragebridge

#endif
