/// \file
/// The protocol by which the instances of a data centre agree on generations.
///
/// The proposer of a service announces a generation to every participant and
/// activates it once all have acknowledged it. After a time-out the proposer
/// activates it without those that do not answer. Such a participant detects by
/// itself that it was paused or cut off, from a gap in its clock readings or
/// from receiving no message from any peer, and then uses no table until a peer
/// with current tables has answered its request. Periodic digests detect
/// differences that a lost message has left.
#ifndef BORAGEBRIDGE_FLOW_PLACEMENT_AGREEMENT_H
#define BORAGEBRIDGE_FLOW_PLACEMENT_AGREEMENT_H

#include "flow/address_quarantine.h"
#include "flow/flow_options.h"
#include "flow/peer_messenger.h"
#include "flow/proposer.h"
#include "flow/service_placement.h"

#include <optional>

namespace boragebridge {

/// The participant's side and the proposer's side of the protocol. Not
/// thread-safe.
class PlacementAgreement {
public:
  PlacementAgreement(const ControllerContext &ctx, const FlowOptions &opt,
                     LiveMembers &members, PeerMessenger &messenger);

  /// Detects a pause of this instance from the time since the last clock
  /// reading. Precondition: called before any table is used.
  auto checkForPause(TimePoint now) -> void {
    if (now - LastClockReading > Options.PauseThreshold)
      markOutdated("paused", now);
    LastClockReading = now;
  }
  auto tick(TimePoint now) -> void;
  /// Handles a frame of the kinds State to SyncRequest. False when malformed.
  [[nodiscard]] auto onFrame(FlowMessage kind, const PeerFrame &f) -> bool;

  /// True when the tables may be used without asking a peer.
  auto isCurrent() const -> bool { return Current; }
  /// When the answer of a peer last made the tables current; none after a start
  /// without peers.
  auto syncedAt() const -> std::optional<TimePoint> { return SyncedAt; }
  /// The time since which \p service has had unsettled slots without
  /// interruption; none when all are settled.
  auto unsettledSince(ServiceId service) const -> std::optional<TimePoint>;
  /// The placement of \p service, or null.
  auto find(ServiceId service) -> ServicePlacement *;
  auto placements() const
      -> const std::unordered_map<ServiceId, ServicePlacement> & {
    return Placements;
  }
  /// Increases with every change of any placement.
  auto version() const -> std::uint64_t { return Version; }
  /// Settles \p slots of \p service, which have no flow from before the active
  /// generation, here and at all participants.
  auto announceSettled(ServiceId service, std::vector<std::uint16_t> slots)
      -> void;

private:
  /// An announcement that is not activated yet.
  struct Round {
    GenerationId Id;
    std::vector<ServiceId> Services;
    TimePoint Since;
    TimePoint LastSent;
    Duration Delay{};
    std::set<InstanceId> Acknowledged;
  };
  /// A generation to propose for one service.
  struct Change {
    ServiceId Service{};
    Generation Content;
    bool Urgent = false;
  };

  /// Stops the use of the tables until a peer has confirmed them.
  auto markOutdated(std::string_view why, TimePoint now) -> void;
  auto markCurrent(bool fromPeer, TimePoint now) -> void;
  auto tickOutdated(TimePoint now) -> void;
  auto tickDigest(TimePoint now) -> void;
  auto tickRound(TimePoint now) -> void;
  auto tickProposer(TimePoint now) -> void;
  auto tickQuarantine(TimePoint now) -> void;
  auto wantedChanges(TimePoint now) -> std::vector<Change>;
  auto wantedChange(ServiceId service, std::span<const Upstream *const> all,
                    TimePoint now) -> std::optional<Change>;
  auto isOverdue(const Change &c, TimePoint now) -> bool;
  auto startRound(std::vector<Change> changes, TimePoint now) -> void;
  auto sendAnnouncement(const Peer &to) -> void;
  auto activateAll(const GenerationId &id, TimePoint now) -> void;
  auto randomPeer() -> const Peer *;
  /// The lowest configuration revision that any participant may still use.
  auto lowestKnownRevision() const -> Revision;
  auto onPlacementChanged(const ServicePlacement &p) -> void;
  auto sendSyncRequest(const Peer &to) -> void;
  auto sendState(const Peer &to, const SyncRequestMessage &request) -> void;

  auto onState(const PeerFrame &f) -> bool;
  auto onAck(const PeerFrame &f) -> bool;
  auto onActivate(const PeerFrame &f) -> bool;
  auto onSettled(const PeerFrame &f) -> bool;
  auto onDigest(const PeerFrame &f) -> bool;
  auto onSyncRequest(const PeerFrame &f) -> bool;

  const ControllerContext &Context;
  const FlowOptions &Options;
  LiveMembers &Members;
  PeerMessenger &Messenger;
  std::unordered_map<ServiceId, ServicePlacement> Placements;
  std::unordered_map<ServiceId, std::uint64_t> Hashes;
  std::unordered_map<ServiceId, TimePoint> UnsettledSince;
  std::vector<std::uint64_t> Buckets;
  std::uint64_t Version = 0;

  bool Current = false;
  TimePoint LastClockReading;
  TimePoint LastPeerMessage;
  TimePoint OutdatedSince;
  TimePoint LastRequest;
  TimePoint LastDigest;
  std::optional<TimePoint> SyncedAt;
  /// The number of the newest request. Answers to earlier ones are ignored,
  /// since they may have become outdated.
  std::uint64_t RequestNumber = 0;
  std::set<InstanceId> QueriedPeers;
  std::set<InstanceId> OutdatedPeers;

  std::optional<Round> InFlight;
  std::uint64_t HighestCounter = 0;
  std::uint64_t SeenConfiguration = 0;
  std::uint64_t SeenHealth = 0;
  std::uint64_t QuarantineVersion = 0;
  TimePoint LastCheck;
  std::unordered_map<ServiceId, TimePoint> LastReweight;
  /// For a service that this instance is not the proposer of: since when an
  /// urgent change has not been announced.
  std::unordered_map<ServiceId, TimePoint> OverdueSince;
  std::unordered_map<InstanceId, Revision> KnownRevisions;
  AddressQuarantine Quarantine;
  TimePoint LastPing;

  Counter &Announced;
  Counter &Unacknowledged;
  Counter &Outdated;
  Counter &SyncRequests;
};

} // namespace boragebridge

#endif
