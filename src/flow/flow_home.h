/// \file
/// The home of a slot: the instance that decides for the slot's flows while it
/// is unsettled. The home separates flows opened before a change from those
/// opened after it, records their upstreams, and finds out when no flow opened
/// before the change is left.
#ifndef BORAGEBRIDGE_FLOW_FLOW_HOME_H
#define BORAGEBRIDGE_FLOW_FLOW_HOME_H

#include "flow/candidate_search_table.h"
#include "flow/record_stream.h"
#include "flow/service_directory.h"

#include <unordered_set>

namespace boragebridge {

/// A packet with the results of the lookups that the packet path has done for
/// it.
struct ResolvedPacket {
  const Packet &Content;
  FlowHash Flow{};
  ServiceEntry &Entry;
  std::uint32_t Slot = 0;
  /// The number of times the packet has been relayed.
  std::uint8_t Hops = 0;
};

/// The decisions and records of one instance, for the slots that it is home of
/// and for cached records of others. Not thread-safe.
class FlowHome {
public:
  FlowHome(const ControllerContext &ctx, const FlowOptions &opt,
           LiveMembers &members, PlacementAgreement &agreement,
           ServiceDirectory &directory, PeerMessenger &messenger);

  /// The upstream recorded for \p p, or the current candidate of its search;
  /// UpstreamId{} when there is neither.
  auto recordedUpstream(const ResolvedPacket &p, TimePoint now) -> UpstreamId;
  /// The upstream of \p p from a record that its home has sent to this
  /// instance; UpstreamId{} when there is none. Also returns UpstreamId{} at
  /// intervals, so that a packet goes to the home and keeps the record there
  /// from expiring.
  auto cachedUpstream(const ResolvedPacket &p, TimePoint now) -> UpstreamId;
  /// Counts the packet \p p, which \p from has relayed here. When \p from
  /// relays the flow often, sends it the record of the flow to cache.
  auto onRelayedPacket(const ResolvedPacket &p, const Peer &from) -> void;
  /// Another instance that may have the record of \p p; a Peer with identifier
  /// 0 when there is none to ask.
  auto peerWithRecord(const ResolvedPacket &p, TimePoint now) -> Peer;
  /// The upstream for \p p, which has no record here. Adds a record or starts a
  /// candidate search where the slot requires it. UpstreamId{} when no
  /// candidate is left.
  auto decide(const ResolvedPacket &p, TimePoint now) -> UpstreamId;

  /// The result of onReset().
  struct ResetOutcome {
    /// The reset must not be forwarded to the caller.
    bool Consumed = false;
    /// The packet to send to the next candidate, whose address is To; null
    /// when there is nothing to send.
    const Packet *Resend = nullptr;
    Endpoint To;
  };
  /// Handles a reset of \p h by the upstream at \p from. During a candidate
  /// search the next candidate is taken.
  auto onReset(FlowHash h, const Endpoint &from, TimePoint now) -> ResetOutcome;
  /// Handles an answer from the upstream at \p from to \p h. When \p h is being
  /// searched, records the upstream and ends the search.
  auto onAnswer(FlowHash h, const Endpoint &from) -> void;
  /// Marks the record of \p h as closing.
  auto onEnd(FlowHash h, TimePoint now) -> void;

  /// Adds the records in \p f that are not known here. False when malformed.
  [[nodiscard]] auto onRecords(const PeerFrame &f) -> bool;
  auto tick(TimePoint now) -> void;
  /// Queues every record whose slot has another instance as home. Precondition:
  /// LiveMembers has been updated with this instance leaving.
  auto beginHandover() -> void;
  auto isHandoverDone() const -> bool { return HandoverDone; }
  auto records() const -> const RecordTable & { return Records; }
  auto searches() const -> const CandidateSearchTable & { return Searches; }

private:
  using SlotSet = std::unordered_set<std::uint64_t>;

  auto decideOpen(const ResolvedPacket &p, UpstreamId choice, TimePoint now)
      -> UpstreamId;
  auto decideMidFlow(const ResolvedPacket &p, UpstreamId choice, TimePoint now)
      -> UpstreamId;
  auto isHomeOf(ServiceId service, FlowHash h) -> bool;
  /// True while flows opened before the active generation may not all have
  /// been recorded, so that flows opened since need records.
  auto mustRecordNewFlows(const ServicePlacement &p, TimePoint now) const
      -> bool;
  auto addRecord(const ResolvedPacket &p, UpstreamId u, bool opened,
                 TimePoint now) -> void;
  /// Queues the record for the owners of the slot other than this instance.
  auto replicateRecord(ServiceId service, std::uint32_t slot, FlowHash h,
                       UpstreamId u) -> void;
  /// Adds the slot of \p h to MovedFlowSlots when \p u is not the upstream that
  /// new flows of the slot get.
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
  /// Slots with an open flow whose upstream is not the one that new flows of
  /// the slot get. The first set is filled by the sweep in progress; the second
  /// is from the last complete one.
  SlotSet MovedFlowSlots;
  SlotSet PreviousMovedFlowSlots;
  TimePoint SweepStart;
  /// The unsettled slots that this instance is home of, and since when it is.
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
