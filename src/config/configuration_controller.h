/// \file
/// Owner of the Configuration and Readiness sections: keeps the newest
/// configuration that anyone reachable knows, spreads it by gossip, watches
/// the store on behalf of its data centre, and takes operators' changes.
#ifndef BORAGEBRIDGE_CONFIG_CONFIGURATION_CONTROLLER_H
#define BORAGEBRIDGE_CONFIG_CONFIGURATION_CONTROLLER_H

#include "config/change_writer.h"

#include <set>

namespace boragebridge {

/// Timing and fan-out.
struct ConfigurationSettings {
  /// Instances of each data centre that watch the store.
  std::size_t Watchers = 2;
  /// How long one watch call waits for a change.
  Duration WatchWait = std::chrono::seconds(2);
  /// How often the revision is compared with a random peer's.
  Duration DigestPeriod = std::chrono::milliseconds(500);
  /// A fetch that brought nothing is repeated elsewhere after this.
  Duration FetchTimeout = std::chrono::milliseconds(200);
  std::size_t LocalFanOut = 3;
  std::size_t RemoteFanOut = 1;
  Duration BootstrapRetry = std::chrono::milliseconds(200);
  /// Peers that have not answered by then do not hold up the start.
  Duration BootstrapWait = std::chrono::seconds(1);
  /// How long the holders of a revision are asked.
  Duration HolderQueryTime = std::chrono::milliseconds(500);
};

/// Which live members hold a revision, as far as they answered.
struct Holders {
  std::size_t Live = 0;
  std::size_t Holding = 0;
  /// Peer addresses of the others; bounded.
  std::vector<Endpoint> Missing;
};

/// Not thread-safe.
class ConfigurationController final : public Controller {
public:
  /// \p ctx outlives the controller. Does not tick \p platform.
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
  /// Carries a change to the store; see ChangeWriter::submit().
  auto submit(ChangeRequest request, ChangeDone done) -> void;
  auto isChangeOpen(std::string_view id) const -> bool;
  /// Finds an accepted change here, else in the store.
  auto findChange(const std::string &id,
                  const std::function<void(absl::StatusOr<ChangeRecord>)> &done)
      -> void;
  /// Asks the live members for their revisions and counts who holds \p n.
  auto queryHolders(Revision n, std::function<void(const Holders &)> done)
      -> void;

private:
  using Handler = auto(ConfigurationController::*)(const PeerFrame &f) -> bool;
  struct HolderQuery {
    Revision Number{};
    TimePoint Until;
    std::function<void(const Holders &)> Done;
  };
  struct PeerRevision {
    Incarnation PeerIncarnation{};
    Revision Number{};
  };

  auto onDigest(const PeerFrame &f) -> bool;
  auto onFetch(const PeerFrame &f) -> bool;
  auto onHeadFrame(const PeerFrame &f) -> bool;
  auto onShard(const PeerFrame &f) -> bool;
  auto onDelta(const PeerFrame &f) -> bool;

  auto sendDigest(const Endpoint &to, bool answerWanted) -> void;
  auto sendFetch(const Endpoint &to, const std::vector<std::string> &shards)
      -> void;
  auto handleUpdate(ConfigurationState::UpdateResult result,
                    const Endpoint *from) -> void;
  auto handleShardUpdate(ConfigurationState::UpdateResult result,
                         const Endpoint *from) -> void;
  auto publish() -> void;
  auto announceRevision() -> void;
  auto announceTo(bool local, std::size_t n) -> void;
  auto livePeers() const -> std::vector<Member>;

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
  /// A fetch of this revision is under way until FetchUntil.
  Revision FetchingRevision{};
  TimePoint FetchUntil;
  TimePoint NextMissingFetch;

  bool WatchOpen = false;
  bool ReadOpen = false;
  bool HeadVersionKnown = false;
  ObjectVersion WatchAfter = 0;
  TimePoint NextWatch;
};

} // namespace boragebridge

#endif
