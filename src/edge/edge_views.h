/// \file
/// Keeps a Directory and a ColdStartQuota up to date: one watch for each of
/// upstreams, configuration, withdrawn data centres and members. The calls go
/// to the platform's store or to the mirror of a stronger instance of the data
/// centre (relay_tree.h); this instance mirrors its own views for others.
///
/// A record that cannot be read names no upstream and harms no other; it is
/// logged. Free of sockets: runs on any PlatformClient. Not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_EDGE_VIEWS_H
#define BORAGEBRIDGE_EDGE_EDGE_VIEWS_H

#include "edge/cold_start_quota.h"
#include "edge/edge_adapter.h"
#include "edge/member_expiry.h"
#include "edge/mirror_tree.h"
#include "store/mirrored_platform.h"
#include "store/object_mirror.h"
#include "store/object_watcher.h"
#include "store/watch_monitor.h"

namespace boragebridge {

struct EdgeViewsOptions {
  /// What this instance puts on record of itself.
  MemberRecord Self;
  /// Mirrors to ask after a start while the store does not answer.
  std::vector<Endpoint> Seeds = {};
  /// How long the store may hold a watch open. WatchMonitor finds one that is
  /// dead sooner.
  Duration WatchWait = std::chrono::seconds(15);
  /// After events, so long passes before the next watch of the same prefix.
  Duration BatchDelay = std::chrono::milliseconds(250);
  /// The same for configurations: they are long, and each reader of this
  /// instance's mirror takes each that it reads.
  Duration ConfigurationBatchDelay = std::chrono::milliseconds(500);
  /// Between two attempts to register.
  Duration RegistrationInterval = std::chrono::seconds(3);
  /// Between two seeds that are asked after a start, the store coming first:
  /// its lists are long where there are many upstreams, and seeds may be in
  /// other data centres.
  Duration SeedInterval = std::chrono::milliseconds(1200);
  /// Checks on watches, while this instance reads the store directly. Empty:
  /// they are not checked.
  WatchMonitor::Poll Poll = {};
  /// After the lists of one mirror were asked for, offers of others are passed
  /// over for so long: each may be long.
  Duration AdoptionInterval = std::chrono::milliseconds(700);
  /// Between two rounds of offers.
  Duration AdvertisementInterval = std::chrono::milliseconds(400);
  /// A new instance opens no flow to a cold upstream for so long after it
  /// registered, so that all others have counted it.
  Duration NewMemberWait = std::chrono::seconds(20);
  /// The same after a restart: an earlier process of this instance may just
  /// have used its share.
  Duration RestartWait = std::chrono::milliseconds(1300);
};

class EdgeViews {
public:
  /// Reads through \p platform. All references outlive the object.
  EdgeViews(const Clock &time, RandomSource &random, EventLog &log,
            MirroredPlatform &platform, const RecordFormat &format,
            UpstreamDirectory &directory, ColdStartQuota &quota,
            EdgeViewsOptions opt);
  EdgeViews(const EdgeViews &) = delete;
  auto operator=(const EdgeViews &) -> EdgeViews & = delete;
  ~EdgeViews() = default;

  /// Starts the calls that are due. Call every few tens of milliseconds.
  auto tick(TimePoint now) -> void;
  /// The seeds to ask from now on.
  auto setSeeds(std::vector<Endpoint> all) -> void {
    Options.Seeds = std::move(all);
  }
  /// The mirror at \p address did not answer.
  auto onParentLost(const Endpoint &address, const absl::Status &why) -> void;
  /// An instance offers its mirror, at \p address, to those that start without
  /// the store.
  auto onMirrorAdvertised(const Endpoint &address) -> void;
  /// To whom this instance should offer its mirror now: the others of its data
  /// centre, while the store does not answer. One of them may have to start,
  /// and would know nobody.
  auto nextAdvertisements(TimePoint now) -> std::vector<Endpoint>;
  /// Whether all of upstreams, configuration and withdrawn data centres are
  /// known.
  auto isComplete() const -> bool;
  /// Age of the oldest of the three views.
  auto age(TimePoint now) const -> Duration;
  /// For other instances.
  auto mirror() -> ObjectMirror & { return Mirror; }

private:
  /// What is done with the objects of one prefix.
  struct Handlers {
    void (EdgeViews::*OnList)(const ObjectList &);
    void (EdgeViews::*OnEvents)(const ObjectList &);
  };

  auto makeHandlers(const std::string &prefix, Handlers h) -> WatcherHandlers;
  auto makeOptions(const std::string &prefix) const -> WatcherOptions;
  auto onUpstreamList(const ObjectList &l) -> void;
  auto onUpstreamEvents(const ObjectList &l) -> void;
  auto onConfiguration(const ObjectList &l) -> void;
  auto onWithdrawalList(const ObjectList &l) -> void;
  auto onWithdrawalEvents(const ObjectList &l) -> void;
  auto onMemberList(const ObjectList &l) -> void;
  auto onMemberEvents(const ObjectList &l) -> void;
  auto logUpstream(const UpstreamRecord &r) -> void;
  auto logRefused(const StoredObject &o, const absl::Status &why) -> void;
  /// Logs a record that cannot be read.
  auto decode(const StoredObject &o) -> absl::StatusOr<UpstreamRecord>;
  auto askSeeds(TimePoint now) -> void;
  /// Takes the views that the mirror at \p address has for those that the
  /// store has not given yet.
  auto adoptFrom(const Endpoint &address) -> void;
  auto isStoreReachable() const -> bool;
  auto registerSelf(TimePoint now) -> void;
  /// Version of the record of member \p name; 0 when there is none.
  auto memberVersion(const std::string &name) const -> ObjectVersion;
  /// Checks on the next member of the data centre, if it is time.
  auto checkMember(TimePoint now) -> void;
  auto onMemberChecked(const MemberRecord &m, bool answered) -> void;

  const Clock &Time;
  EventLog &Log;
  MirroredPlatform &Platform;
  const RecordFormat &Format;
  UpstreamDirectory &Directory;
  ColdStartQuota &Quota;
  EdgeViewsOptions Options;
  ObjectMirror Mirror;
  MirrorTree Tree;
  std::set<std::string> Withdrawn;
  std::map<std::string, MemberRecord> Members;
  ObjectWatcher Upstreams;
  ObjectWatcher Configurations;
  ObjectWatcher Withdrawals;
  ObjectWatcher MemberWatch;
  /// All four, by prefix.
  const std::map<std::string, ObjectWatcher *> Watchers;
  WatchMonitor Monitor;
  /// Versions of the members' records, unreadable ones included.
  std::map<std::string, ObjectVersion> MemberVersions;
  MemberExpiry Expiry;
  /// Of the member that is checked now.
  std::unique_ptr<PlatformClient> CheckClient;
  bool Registering = false;
  TimePoint NextRegistration;
  TimePoint NextSeed;
  TimePoint NextAdoption;
  std::size_t SeedIndex = 0;
  TimePoint NextAdvertisement;
  /// Of the mirrors that were asked for their views; dropped with their calls
  /// once the views are known.
  std::vector<std::unique_ptr<PlatformClient>> SeedClients;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
