/// \file
/// Limits and times of the flow controller.
#ifndef BORAGEBRIDGE_FLOW_FLOW_OPTIONS_H
#define BORAGEBRIDGE_FLOW_FLOW_OPTIONS_H

#include "boragebridge/types.h"

namespace boragebridge {

/// All times are of the instance's own clock.
struct FlowOptions {
  /// A flow that was silent for this long is gone.
  Duration IdleTimeout = std::chrono::minutes(5);
  /// A participant that did not acknowledge a generation for this long is
  /// taken for paused or cut off. Longer than PauseThreshold and PeerTimeout,
  /// so that it knows so itself.
  Duration AckTimeout = std::chrono::milliseconds(2000);
  /// Least time from announcement to activation of a change that is not
  /// urgent: covers the retransmission of an opening packet.
  Duration ActivationDelay = std::chrono::milliseconds(1200);
  /// A longer gap between two looks at the clock means that this instance was
  /// paused and must ask its peers before it trusts its tables.
  Duration PauseThreshold = std::chrono::milliseconds(500);
  /// No word from any peer for this long means that it may be cut off.
  Duration PeerTimeout = std::chrono::milliseconds(1500);
  Duration DigestInterval = std::chrono::milliseconds(500);
  Duration SyncRetry = std::chrono::milliseconds(200);
  /// How long an instance without peers waits for some before it starts alone.
  Duration StandaloneStartDelay = std::chrono::milliseconds(2000);
  /// An urgent change that its proposer has not announced for this long is
  /// proposed by its deputy.
  Duration BackupProposerDelay = std::chrono::milliseconds(1000);
  /// Least time between two changes of weights only.
  Duration ReweightInterval = std::chrono::seconds(10);
  /// A leaving upstream gets no new flow this long after its instance learned
  /// that it leaves, even when no new generation came about.
  Duration DrainGracePeriod = std::chrono::milliseconds(3000);
  /// An address that served another service is not used for this long, nor
  /// before every participant knows that revision.
  Duration QuarantineTime = std::chrono::milliseconds(5000);
  /// Records kept for packets that follow the end of their flow.
  Duration ClosingRetention = std::chrono::seconds(5);
  std::size_t RecordLimit = 1048576;
  /// Bytes of records sent to mirrors in a second.
  double RecordBytesPerSecond = 3000;
  /// Records waiting for a mirror; more are not mirrored.
  std::size_t RecordQueueLimit = 65536;
  /// Flows whose upstream is being found out.
  std::size_t CandidateSearchLimit = 16384;
  /// A flow is silent when this many packets over this time had no answer.
  std::uint32_t StalledPackets = 4;
  Duration StalledTime = std::chrono::seconds(10);
};

} // namespace boragebridge

#endif
