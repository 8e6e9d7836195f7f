/// \file
/// What the home of a slot does: tells the flows of before and after a change
/// apart, remembers them, and finds when a slot has no older flow left.
#ifndef BORAGEBRIDGE_FLOW_FLOW_HOME_H
#define BORAGEBRIDGE_FLOW_FLOW_HOME_H

#include "flow/candidate_search_table.h"
#include "flow/record_stream.h"
#include "flow/service_directory.h"

#include <unordered_set>

namespace boragebridge {

/// A packet with what the packet path has found out about it.
struct FlowPacket {
  const Packet &Content;
  FlowHash Flow{};
  ServiceEntry &Entry;
  std::uint32_t Slot = 0;
  /// Instances that it was relayed by.
  std::uint8_t Hops = 0;
};

/// Not thread-safe.
class FlowHome {
public:
  FlowHome(const ControllerContext &ctx, const FlowOptions &opt,
           LiveMembers &members, PlacementAgreement &agreement,
           ServiceDirectory &directory, PeerMessenger &messenger);

  /// The upstream recorded for \p p; none when there is no record.
  auto recordedUpstream(const FlowPacket &p, TimePoint now) -> UpstreamId;
  /// The upstream of \p p by what its home told this instance; none when a
  /// packet is to go to the home, as one must from time to time so that the
  /// home hears of the flow.
  auto cachedUpstream(const FlowPacket &p, TimePoint now) -> UpstreamId;
  /// \p from has relayed \p p, which has a record. Tells it the upstream of a
  /// flow that it relays often.
  auto onRelayedPacket(const FlowPacket &p, const Peer &from) -> void;
  /// Another instance that may have the record of \p p; null when there is
  /// none to ask.
  auto peerWithRecord(const FlowPacket &p, TimePoint now) -> Peer;
  /// The upstream for \p p, which has no record; it gets one when needed.
  auto decide(const FlowPacket &p, TimePoint now) -> UpstreamId;

  /// An upstream reset \p h. When its upstream was only a guess, returns the
  /// packet to send again and its next upstream; Consumed says that the reset
  /// is not for the caller.
  struct ResetOutcome {
    bool Consumed = false;
    const Packet *Resend = nullptr;
    Endpoint To;
  };
  auto onReset(FlowHash h, const Endpoint &from, TimePoint now) -> ResetOutcome;
  /// An upstream answered \p h.
  auto onAnswer(FlowHash h, const Endpoint &from) -> void;
  /// The flow has ended.
  auto onEnd(FlowHash h, TimePoint now) -> void;

  [[nodiscard]] auto onRecords(const PeerFrame &f) -> bool;
  auto tick(TimePoint now) -> void;
  /// Hands all records over to the instances that take their slots.
  auto beginHandover() -> void;
  auto isHandedOver() const -> bool { return HandoverDone; }
  auto records() const -> const RecordTable & { return Records; }
  auto searches() const -> const CandidateSearchTable & { return Searches; }

private:
  using SlotSet = std::unordered_set<std::uint64_t>;

  auto decideOpen(const FlowPacket &p, UpstreamId choice, TimePoint now)
      -> UpstreamId;
  auto decideMidFlow(const FlowPacket &p, UpstreamId choice, TimePoint now)
      -> UpstreamId;
  auto isHomeOf(ServiceId service, FlowHash h) -> bool;
  auto mustRecordNewFlows(const ServicePlacement &p, TimePoint now) const
      -> bool;
  auto addRecord(const FlowPacket &p, UpstreamId u, bool opened, TimePoint now)
      -> void;
  auto replicateRecord(ServiceId service, std::uint32_t slot, FlowHash h,
                       UpstreamId u) -> void;
  auto addMovedFlow(ServiceId service, FlowHash h, UpstreamId u) -> void;
  auto settleSlots(TimePoint now) -> void;
  auto canSettle(const ServicePlacement &p) const -> bool;
  auto isReadyToSettle(ServiceId service, std::uint32_t slot, TimePoint now)
      -> bool;
  auto tickHandover(TimePoint now) -> void;

  const ControllerContext &Context;
  const FlowOptions &Options;
  LiveMembers &Members;
  PlacementAgreement &Agreement;
  ServiceDirectory &Directory;
  PeerMessenger &Messenger;
  RecordTable Records;
  CandidateSearchTable Searches;
  RecordStream Stream;
  /// Slots with a live flow on another upstream than new flows get; found in
  /// the pass that goes on, and in the last whole one.
  SlotSet MovedFlowSlots;
  SlotSet PreviousMovedFlowSlots;
  TimePoint SweepStart;
  /// Unsettled slots that this instance is home of, and since when.
  std::unordered_map<std::uint64_t, TimePoint> HomeSince;
  std::optional<TimePoint> SeenSync;
  TimePoint LastSettle;
  bool HandoverBegun = false;
  bool HandoverDone = false;
  Counter &SearchesStarted;
  Counter &SearchRetries;
  Counter &RecordsRefused;
  Counter &SettledSlots;
};

} // namespace boragebridge

#endif
