/// \file
/// Limits and times of the flow controller.
#ifndef BORAGEBRIDGE_FLOW_FLOW_OPTIONS_H
#define BORAGEBRIDGE_FLOW_FLOW_OPTIONS_H

#include "boragebridge/types.h"

namespace boragebridge {

/// Times are measured by the clock of the instance itself.
struct FlowOptions {
  /// A flow without packets for this long is considered closed.
  Duration IdleTimeout = std::chrono::minutes(5);
  /// A participant that has not acknowledged a generation for this long is
  /// considered paused or cut off. Longer than PauseThreshold and PeerTimeout,
  /// so that the participant has detected that by itself by then.
  Duration AckTimeout = std::chrono::milliseconds(2000);
  /// Minimum time from announcement to activation of a change that is not
  /// urgent. Covers the retransmission of an opening packet.
  Duration ActivationDelay = std::chrono::milliseconds(1200);
  /// A longer gap between two clock readings means that this instance was
  /// paused and must ask its peers before it uses its tables again.
  Duration PauseThreshold = std::chrono::milliseconds(500);
  /// An instance that has received no message from any peer for this long
  /// considers itself cut off.
  Duration PeerTimeout = std::chrono::milliseconds(1500);
  Duration DigestInterval = std::chrono::milliseconds(500);
  /// Minimum time between two requests for the tables of peers.
  Duration SyncRetry = std::chrono::milliseconds(200);
  /// How long an instance without peers waits for some before it starts alone.
  Duration StandaloneStartDelay = std::chrono::milliseconds(2000);
  /// An urgent change that its proposer has not announced for this long is
  /// proposed by the service's backup proposer.
  Duration BackupProposerDelay = std::chrono::milliseconds(1000);
  /// Minimum time between two changes that only change weights.
  Duration ReweightInterval = std::chrono::seconds(10);
  /// From this long after the instance learned that an upstream drains, the
  /// upstream gets no new flow even when no new generation has become active.
  Duration DrainGracePeriod = std::chrono::milliseconds(3000);
  /// An address that served another service is not used for this long, nor
  /// before every participant has the revision that moved it.
  Duration QuarantineTime = std::chrono::milliseconds(5000);
  /// How long the record of a closed flow is kept, for packets that arrive
  /// after the close.
  Duration ClosingRetention = std::chrono::seconds(5);
  /// Flows recorded at the same time.
  std::size_t RecordLimit = 1048576;
  /// Bytes of records sent to other instances in one second.
  double RecordBytesPerSecond = 3000;
  /// Records queued for other instances; further ones are not replicated.
  std::size_t RecordQueueLimit = 65536;
  /// Flows whose upstream is being searched at the same time.
  std::size_t CandidateSearchLimit = 16384;
  /// A flow is stalled when at least this many packets over at least
  /// StalledTime had no answer.
  std::uint32_t StalledPackets = 4;
  Duration StalledTime = std::chrono::seconds(10);
};

} // namespace boragebridge

#endif
