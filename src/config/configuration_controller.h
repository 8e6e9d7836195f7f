/// \file
/// Keeps the newest configuration that any reachable instance or the store has,
/// and publishes the Configuration and Readiness sections of the blackboard.
/// Distributes revisions by gossip, watches the store on behalf of the data
/// centre, and accepts operators' changes.
#ifndef BORAGEBRIDGE_CONFIG_CONFIGURATION_CONTROLLER_H
#define BORAGEBRIDGE_CONFIG_CONFIGURATION_CONTROLLER_H

#include "config/change_writer.h"

#include <set>

namespace boragebridge {

/// Timing and fan-out of a ConfigurationController.
struct ConfigurationSettings {
  /// Instances of each data centre that watch the store.
  std::size_t Watchers = 2;
  /// How long one watch call waits for a change.
  Duration WatchWait = std::chrono::seconds(2);
  /// Interval at which the revision is sent to a random peer for comparison.
  Duration DigestPeriod = std::chrono::milliseconds(500);
  /// A fetch that was not answered within this time is repeated, from another
  /// source.
  Duration FetchTimeout = std::chrono::milliseconds(200);
  /// Peers that are notified of a new revision, in the local data centre and in
  /// all others.
  std::size_t LocalFanOut = 3;
  std::size_t RemoteFanOut = 1;
  Duration BootstrapRetry = std::chrono::milliseconds(200);
  /// After this time, a new instance becomes ready without the answers of the
  /// peers that are still missing.
  Duration BootstrapWait = std::chrono::seconds(1);
  /// How long queryHolders() waits for the revisions of the members.
  Duration HolderQueryTime = std::chrono::milliseconds(500);
};

/// The live members that have a revision, as far as they answered.
struct Holders {
  std::size_t Live = 0;
  std::size_t Holding = 0;
  /// Peer addresses of the members that do not have it; bounded in number.
  std::vector<Endpoint> Missing;
};

/// The controller of the configuration. Not thread-safe.
class ConfigurationController final : public Controller {
public:
  /// \p ctx outlives the controller. The owner of \p platform calls its tick().
  ConfigurationController(const ControllerContext &ctx,
                          std::shared_ptr<BudgetedPlatform> platform,
                          ConfigurationSettings settings = {});
  ~ConfigurationController() override;

  auto name() const -> std::string_view override { return "configuration"; }
  auto family() const -> MessageFamily override {
    return MessageFamily::Configuration;
  }
  auto start() -> void override;
  auto tick(TimePoint now) -> void override;
  auto onPeerFrame(const PeerFrame &f) -> bool override;
  auto dump() const -> boost::json::object override;

  auto state() const -> const ConfigurationState & { return State; }
  /// Queues a change for the store; see ChangeWriter::submit(). A request with
  /// no base revision is based on the current one.
  auto submit(ChangeRequest request, ChangeDone done) -> void;
  /// Whether change \p id is queued or being written by this instance.
  auto isChangeOpen(std::string_view id) const -> bool;
  /// Looks up an accepted change in the local head, else in the store's head.
  /// Errors: NotFound when the change is not among the newest ones, DataLoss
  /// when the head cannot be decoded, and those of PlatformClient::get().
  auto findChange(const std::string &id,
                  const std::function<void(absl::StatusOr<ChangeRecord>)> &done)
      -> void;
  /// Asks the live members for their revisions and calls \p done with the
  /// number of those that have revision \p n or a newer one. An empty result is
  /// passed at once when too many queries are open.
  auto queryHolders(Revision n, std::function<void(const Holders &)> done)
      -> void;

private:
  using Handler = auto(ConfigurationController::*)(const PeerFrame &f) -> bool;
  /// An open queryHolders() call.
  struct HolderQuery {
    Revision RevisionNumber{};
    TimePoint Until;
    std::function<void(const Holders &)> Done;
  };
  /// The revision that a peer last reported.
  struct PeerRevision {
    Incarnation PeerIncarnation{};
    Revision RevisionNumber{};
  };

  auto onDigest(const PeerFrame &f) -> bool;
  auto onFetch(const PeerFrame &f) -> bool;
  auto onHeadFrame(const PeerFrame &f) -> bool;
  auto onShard(const PeerFrame &f) -> bool;
  auto onDelta(const PeerFrame &f) -> bool;

  auto sendDigest(const Endpoint &to, bool answerWanted) -> void;
  auto sendFetch(const Endpoint &to, const std::vector<std::string> &shards)
      -> void;
  /// Acts on the result of an update; \p from is the peer that sent it, null
  /// for the store.
  auto handleUpdate(ConfigurationState::UpdateResult result,
                    const Endpoint *from) -> void;
  /// Like handleUpdate(), but does nothing while further shards of the same
  /// fetch are expected.
  auto handleShardUpdate(ConfigurationState::UpdateResult result,
                         const Endpoint *from) -> void;
  auto publish() -> void;
  /// Sends the revision to a few peers; those that lack it fetch it.
  auto announceRevision() -> void;
  auto announceTo(bool local, std::size_t n) -> void;
  auto livePeers() const -> std::vector<Member>;

  /// Whether this instance is one of those that watch the store for the data
  /// centre: the instances in state Alive with the lowest identifiers.
  auto isWatcher() const -> bool;
  auto runWatch() -> void;
  auto readHead() -> void;
  auto onPlatformHead(const Head &head) -> void;
  auto updateFromStore(const StoredObject &o) -> void;

  auto bootstrap(TimePoint now) -> void;
  auto compareWithPeer(TimePoint now) -> void;
  auto fetchMissing(TimePoint now) -> void;
  auto finishHolderQueries(TimePoint now) -> void;
  auto updateReadiness(TimePoint now) -> void;

  const ControllerContext &Ctx;
  std::shared_ptr<BudgetedPlatform> Platform;
  ConfigurationSettings Settings;
  ConfigurationState State;
  ChangeWriter Writer;
  std::map<InstanceId, PeerRevision> PeerRevisions;
  std::vector<HolderQuery> HolderQueries;

  std::set<Endpoint> AskedPeers;
  std::set<Endpoint> AnsweredPeers;
  bool PlatformAnswered = false;
  bool Ready = false;
  TimePoint StartedAt;
  TimePoint NextBootstrap;
  TimePoint NextDigest;
  /// The revision that was last fetched from a peer. The fetch counts as open
  /// until FetchUntil.
  Revision FetchingRevision{};
  TimePoint FetchUntil;
  TimePoint NextMissingFetch;

  bool WatchOpen = false;
  bool ReadOpen = false;
  bool HeadVersionKnown = false;
  ObjectVersion WatchAfter = 0;
};

} // namespace boragebridge

#endif
