/// \file
/// How the instances of a data centre agree on generations.
///
/// The proposer of a service announces a generation to every participant, and
/// activates it once all have acknowledged it. A participant that does not
/// answer is left behind after a time; it finds that out by itself, from the
/// gap in its own time or from the silence of all peers, and then trusts no
/// table until a peer that is up to date has answered it. Digests find what a
/// lost message left different.
#ifndef BORAGEBRIDGE_FLOW_PLACEMENT_AGREEMENT_H
#define BORAGEBRIDGE_FLOW_PLACEMENT_AGREEMENT_H

#include "flow/address_quarantine.h"
#include "flow/flow_options.h"
#include "flow/peer_messenger.h"
#include "flow/proposer.h"
#include "flow/service_placement.h"

#include <optional>

namespace boragebridge {

/// Not thread-safe.
class PlacementAgreement {
public:
  PlacementAgreement(const ControllerContext &ctx, const FlowOptions &opt,
                     LiveMembers &members, PeerMessenger &messenger);

  /// Notes that time has come to \p now; finds a pause of this instance. To be
  /// called before any table is used.
  auto checkForPause(TimePoint now) -> void {
    if (now - LastClockReading > Options.PauseThreshold)
      markOutdated("paused", now);
    LastClockReading = now;
  }
  auto tick(TimePoint now) -> void;
  /// A frame of kinds State to SyncRequest; false when malformed.
  [[nodiscard]] auto onFrame(FlowMessage kind, const PeerFrame &f) -> bool;

  /// True when settled slots may be used without asking a peer.
  auto isCurrent() const -> bool { return Current; }
  /// When the tables were last taken over from a peer; none after a start
  /// without peers.
  auto syncedAt() const -> std::optional<TimePoint> { return SyncedAt; }
  /// Since when \p service has had unsettled slots without a break; none when
  /// all are settled.
  auto unsettledSince(ServiceId service) const -> std::optional<TimePoint>;
  /// The placement of \p service, or null.
  auto find(ServiceId service) -> ServicePlacement *;
  auto placements() const
      -> const std::unordered_map<ServiceId, ServicePlacement> & {
    return Placements;
  }
  /// Rises with each change of any placement.
  auto version() const -> std::uint64_t { return Version; }
  /// Tells all participants that \p slots have no flow of before the active
  /// generation of \p service.
  auto announceSettled(ServiceId service, std::vector<std::uint16_t> slots)
      -> void;

private:
  struct Round {
    GenerationId Id;
    std::vector<ServiceId> Services;
    TimePoint Since;
    TimePoint LastSent;
    Duration Delay{};
    std::set<InstanceId> Acknowledged;
  };
  struct Change {
    ServiceId Service{};
    Generation Content;
    bool Urgent = false;
  };

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
  /// Number of the newest request; answers to earlier ones prove nothing.
  std::uint64_t RequestNumber = 0;
  std::set<InstanceId> QueriedPeers;
  std::set<InstanceId> OutdatedPeers;

  std::optional<Round> InFlight;
  std::uint64_t HighestCounter = 0;
  std::uint64_t SeenConfiguration = 0;
  std::uint64_t SeenHealth = 0;
  std::uint64_t QuarantineVersion = 0;
  TimePoint LastProposal;
  TimePoint LastCheck;
  std::unordered_map<ServiceId, TimePoint> LastReweight;
  /// Since when an urgent change is overdue that others should propose.
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
