/// \file
/// Membership of the instances, as in the SWIM protocol: each instance probes
/// one other member per period, asks others to probe a member before it
/// suspects that member, and spreads updates by gossip.
///
/// The work and the bytes of an instance depend on the probe period and on how
/// often members change, not on the number of members.
#ifndef BORAGEBRIDGE_MEMBERSHIP_MEMBERSHIP_CONTROLLER_H
#define BORAGEBRIDGE_MEMBERSHIP_MEMBERSHIP_CONTROLLER_H

#include "membership/membership_messages.h"
#include "store/budgeted_platform.h"

#include <deque>

namespace boragebridge {

/// Timing and fan-out of the membership protocol.
struct MembershipSettings {
  Duration ProbePeriod = std::chrono::milliseconds(500);
  /// Time without an answer after which other members are asked to probe.
  Duration DirectTimeout = std::chrono::milliseconds(150);
  /// How long a suspected member has to refute the suspicion.
  Duration SuspicionTime = std::chrono::seconds(2);
  /// Longer gaps between two ticks mean that this process was paused.
  Duration PauseThreshold = std::chrono::milliseconds(400);
  Duration JoinRetryInterval = std::chrono::seconds(1);
  /// Time between two reads of the platform's list of members, until a peer has
  /// answered.
  Duration ListPeriod = std::chrono::seconds(2);
  /// Time between two probes of dead members and seeds, which let the fleet
  /// recover from partitions.
  Duration ReconnectPeriod = std::chrono::seconds(1);
  Duration SyncPeriod = std::chrono::seconds(2);
  Duration DeadRetention = std::chrono::hours(2);
  /// How long a dead member stays in the published view.
  Duration DeadVisibleTime = std::chrono::minutes(5);
  /// Time between the announcement of a planned stop and the end.
  Duration LeaveNoticeTime = std::chrono::seconds(1);
  std::size_t IndirectProbeCount = 3;
  std::size_t GossipFanOut = 3;
};

/// Owner of the Membership section of the blackboard. Not thread-safe.
class MembershipController final : public Controller {
public:
  /// \p ctx must outlive the controller, which copies \p settings and calls
  /// tick() of \p platform.
  MembershipController(const ControllerContext &ctx,
                       std::shared_ptr<BudgetedPlatform> platform,
                       MembershipSettings settings = {});
  ~MembershipController() override;

  auto name() const -> std::string_view override { return "membership"; }
  auto family() const -> MessageFamily override {
    return MessageFamily::Membership;
  }
  auto start() -> void override;
  auto tick(TimePoint now) -> void override;
  auto onPeerFrame(const PeerFrame &f) -> bool override;
  auto beginStop() -> void override;
  auto isStopped() const -> bool override;
  auto dump() const -> boost::json::object override;

private:
  struct Probe {
    InstanceId Target{};
    std::uint32_t Nonce = 0;
    TimePoint StartedAt;
    bool SentIndirect = false;
    bool Answered = false;
  };
  /// A probe made on behalf of another instance.
  struct IndirectProbe {
    std::uint32_t Nonce = 0;
    std::uint32_t OriginNonce = 0;
    Endpoint Origin;
  };
  /// An update that is still attached to outgoing messages.
  struct PendingUpdate {
    MemberUpdate Update;
    unsigned Sends = 0;
  };
  using Handler = auto(MembershipController::*)(const PeerFrame &f,
                                                const MembershipMessage &m)
                      -> bool;

  auto runProbe(TimePoint now) -> void;
  auto beginProbe(TimePoint now) -> void;
  auto endProbe(TimePoint now) -> void;
  auto expireSuspects(TimePoint now) -> void;
  auto reconnect(TimePoint now) -> void;
  auto join(TimePoint now) -> void;
  auto handlePause(TimePoint now) -> void;
  auto publishIfChanged(TimePoint now) -> void;
  auto sendNewUpdates() -> void;

  auto applyUpdate(const MemberUpdate &u) -> void;
  auto applyUpdateAboutSelf(const MemberUpdate &u) -> void;
  auto recordChange(const MemberUpdate &u) -> void;
  auto setSelfState(MemberState state, std::uint32_t version) -> void;
  auto declare(InstanceId id, MemberState state) -> void;
  auto compareDigest(std::uint64_t digest, const Endpoint &from) -> void;

  auto onPing(const PeerFrame &f, const MembershipMessage &m) -> bool;
  auto onAck(const PeerFrame &f, const MembershipMessage &m) -> bool;
  auto onProbeRequest(const PeerFrame &f, const MembershipMessage &m) -> bool;
  auto onGossip(const PeerFrame &f, const MembershipMessage &m) -> bool;
  auto onJoin(const PeerFrame &f, const MembershipMessage &m) -> bool;
  auto onView(const PeerFrame &f, const MembershipMessage &m) -> bool;
  auto onSync(const PeerFrame &f, const MembershipMessage &m) -> bool;
  auto onSyncAnswer(const PeerFrame &f, const MembershipMessage &m) -> bool;
  auto notifyStaleSender(const PeerFrame &f) -> void;

  auto makeMessage(std::uint32_t nonce = 0) -> MembershipMessage;
  auto attachUpdates(MembershipMessage &m) -> void;
  auto send(const Endpoint &to, MembershipKind kind, const MembershipMessage &m)
      -> void;
  /// Sends the entries of the member table. If \p peerDigests is not empty,
  /// only the buckets whose digests differ from those of the peer are sent.
  auto sendView(const Endpoint &to, MembershipKind kind,
                const std::vector<std::uint64_t> &peerDigests) -> void;
  auto randomLivePeers(std::size_t n) -> std::vector<Endpoint>;
  auto selfUpdate() const -> MemberUpdate;

  auto readList(TimePoint now) -> void;
  auto registerSelf() -> void;
  auto unregisterSelf() -> void;
  auto platformKey() const -> std::string;

  const ControllerContext &Ctx;
  std::shared_ptr<BudgetedPlatform> Platform;
  MembershipSettings Settings;
  MemberTable Table;
  std::deque<PendingUpdate> PendingUpdates;
  std::vector<MemberUpdate> NewUpdates;
  std::vector<InstanceId> ProbeOrder;
  /// Members that were suspected and may still be suspected.
  std::vector<InstanceId> Suspects;
  std::deque<IndirectProbe> IndirectProbes;
  std::vector<Endpoint> ListedPeers;
  Probe CurrentProbe;
  std::uint32_t LastNonce = 0;
  unsigned DigestMismatches = 0;
  std::size_t LiveCount = 0;
  bool Joined = false;
  bool Changed = true;
  bool Registered = false;
  bool RegistrationOpen = false;
  TimePoint LastTick;
  TimePoint NextProbe;
  TimePoint NextJoin;
  TimePoint NextListRead;
  TimePoint NextReconnect;
  TimePoint NextSync;
  TimePoint NextEviction;
  TimePoint StopAt = TimePoint::max();
  Counter &Suspicions;
  Counter &Deaths;
  Counter &Refutations;
  Counter &Dropped;
};

/// Creates the membership controller with default settings.
auto makeMembershipController(const ControllerContext &ctx,
                              std::shared_ptr<BudgetedPlatform> platform)
    -> std::unique_ptr<Controller>;

} // namespace boragebridge

#endif
