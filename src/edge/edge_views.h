/// \file
/// Keeps an UpstreamDirectory and a ColdStartQuota up to date, with one watch
/// each for upstreams, configuration, withdrawn data centres and members. A
/// view is this instance's copy of the objects under one prefix of the store;
/// it is confirmed while the store or the parent's mirror answers. The views
/// are read from the platform's store or from the mirror of an instance of the
/// same data centre with a higher rank (mirror_tree.h); this instance's own
/// mirror serves them to others.
///
/// A record that cannot be parsed is logged and ignored; if it replaces the
/// record of an upstream, the upstream is treated as removed. Other records are
/// not affected. Free of sockets: runs on any PlatformClient. Not
/// thread-safe.
#ifndef BORAGEBRIDGE_EDGE_EDGE_VIEWS_H
#define BORAGEBRIDGE_EDGE_EDGE_VIEWS_H

#include "edge/cold_start_quota.h"
#include "edge/configuration_parts.h"
#include "edge/edge_adapter.h"
#include "edge/member_expiry.h"
#include "edge/mirror_tree.h"
#include "edge/parent_discovery.h"
#include "store/mirrored_platform.h"
#include "store/object_mirror.h"
#include "store/object_watcher.h"
#include "store/parent_list.h"
#include "store/view_confirmer.h"
#include "store/watch_monitor.h"

namespace boragebridge {

struct EdgeViewsOptions {
  /// The record that this instance registers.
  MemberRecord Self;
  /// Mirrors to read from after a start while the store does not answer.
  std::vector<Endpoint> Seeds = {};
  /// How long the store may hold a watch open. WatchMonitor and ViewConfirmer
  /// detect a dead watch sooner.
  Duration WatchWait = std::chrono::seconds(25);
  /// The same for the watch of withdrawals, whose answers carry the present
  /// revision of the store at least this often, see ViewConfirmer.
  Duration RevisionWait = std::chrono::seconds(2);
  /// Delay between events and the next watch of the same prefix, so that events
  /// arrive in batches.
  Duration BatchDelay = std::chrono::milliseconds(250);
  /// The delay for configurations, which replaces BatchDelay. It is longer
  /// because an instance that reads the store receives the whole configuration
  /// each time.
  Duration ConfigurationBatchDelay = std::chrono::milliseconds(500);
  /// Time in which operators write again what a restored store has lost.
  Duration RewriteTime = std::chrono::milliseconds(2500);
  /// Time between two attempts to register.
  Duration RegistrationInterval = std::chrono::seconds(3);
  /// Delay after a start before the first seed is asked, and between two seeds.
  /// The store has precedence: its lists are long if there are many upstreams,
  /// and seeds may be in other data centres.
  Duration SeedInterval = std::chrono::milliseconds(1200);
  /// Checks the watches while this instance reads the store directly. Empty:
  /// watches are not checked.
  WatchMonitor::Poll Poll = {};
  /// Reads the list of members from the store at a low cost; it may be some
  /// seconds old. With it, an instance that starts reads its first lists from
  /// its parent. Empty: it reads them from the store.
  ParentDiscovery::ReadMembers MemberSnapshot = {};
  ParentDiscoveryOptions Discovery = {};
  /// Called with all members whenever the list of them was read. May be empty.
  std::function<void(const std::vector<MemberRecord> &)> OnMembers = {};
  /// After the lists of one mirror were requested, advertisements of others are
  /// ignored for this long, because each mirror's lists may be long.
  Duration AdoptionInterval = std::chrono::milliseconds(700);
  /// Time between two rounds of advertisements.
  Duration AdvertisementInterval = std::chrono::milliseconds(400);
  /// Members that one instance sends its advertisement to in one round.
  std::size_t AdvertisementsPerRound = 8;
  /// A new instance opens no flow to a cold upstream for this long after it
  /// registered, so that all other instances have read its record.
  Duration NewMemberWait = std::chrono::seconds(20);
  /// An instance that has just started opens no flow to a cold upstream for
  /// this long, because an earlier process of this instance may just have used
  /// its quota.
  Duration RestartWait = std::chrono::milliseconds(1300);
};

/// What this instance spent on the configurations that it put into force.
struct ConfigurationTotals {
  std::uint64_t ReceivedBytes = 0;
  Duration Receiving{};
  /// Processor time and pauses from the received body to the routes in force.
  Duration Reading{};
};

class EdgeViews {
public:
  /// Reads through \p platform. All references must outlive the object.
  EdgeViews(const Clock &time, RandomSource &random, EventLog &log,
            MirroredPlatform &platform, const RecordFormat &format,
            UpstreamDirectory &directory, ColdStartQuota &quota,
            EdgeViewsOptions opt);
  EdgeViews(const EdgeViews &) = delete;
  auto operator=(const EdgeViews &) -> EdgeViews & = delete;
  ~EdgeViews() = default;

  /// Starts the calls that are due. Call every few tens of milliseconds.
  auto tick(TimePoint now) -> void;
  /// Replaces the list of seeds.
  auto setSeeds(std::vector<Endpoint> all) -> void {
    Options.Seeds = std::move(all);
  }
  /// The mirror at \p address did not answer. Another one becomes the parent.
  auto onParentLost(const Endpoint &address, const absl::Status &why) -> void;
  /// Another instance advertises its mirror at \p address to instances that
  /// start while the store is unavailable.
  auto onMirrorAdvertised(const Endpoint &address) -> void;
  /// The instances to which this one should advertise its mirror now: some of
  /// the other members of its data centre in turn, while the store does not
  /// answer. One of them may start without the store and without an address of
  /// any mirror. The rounds of different instances are offset, so that each
  /// member hears from AdvertisementsPerRound others in a round.
  auto nextAdvertisements(TimePoint now) -> std::vector<Endpoint>;
  /// The mirrors of the other members, of this data centre and of others in
  /// turn, each in the order after this instance.
  auto peers() const -> std::vector<Endpoint>;
  /// Whether the views of upstreams, configuration and withdrawn data centres
  /// have all been received.
  auto isComplete() const -> bool;
  /// Age of the oldest of these three views.
  auto age(TimePoint now) const -> Duration;
  /// How often a view was listed again because its objects were not those of
  /// the mirror.
  auto differences() const -> std::uint64_t;
  /// Number of calls for changes that an open watch may have lost.
  auto confirmations() const -> std::uint64_t;
  /// Number of those that found changes.
  auto lostAnswers() const -> std::uint64_t;
  auto configurationTotals() const -> const ConfigurationTotals & {
    return ConfigurationCounts;
  }
  /// The mirror that serves the views to other instances.
  auto mirror() -> ObjectMirror & { return Mirror; }
  auto mirror() const -> const ObjectMirror & { return Mirror; }

private:
  /// Handlers of the objects under one prefix.
  struct Handlers {
    void (EdgeViews::*OnList)(const ObjectList &);
    void (EdgeViews::*OnEvents)(const ObjectList &);
  };

  auto makeHandlers(const std::string &prefix, Handlers h) -> WatcherHandlers;
  auto makeOptions(const std::string &prefix) -> WatcherOptions;
  /// Whether a list of \p prefix, at \p version, is the first one since the
  /// store was restored from an earlier copy.
  auto isRestored(const std::string &prefix, ObjectVersion version) -> bool;
  auto onUpstreamList(const ObjectList &l) -> void;
  auto onUpstreamEvents(const ObjectList &l) -> void;
  /// The prefix below which mirrors serve the objects below \p prefix.
  auto mirrorPrefix(const std::string &prefix) const -> std::string;
  auto onConfigurationList(const ObjectList &l) -> void;
  auto onConfigurationEvents(const ObjectList &l) -> void;
  /// A list or events of the store, which has the configuration in one piece.
  auto onConfigurationDocument(const ObjectList &l) -> void;
  /// What the last configuration in \p l changes; logs those that cannot be
  /// split. Empty if there is none.
  auto configurationChanges(const ObjectList &l)
      -> std::optional<std::vector<ObjectEvent>>;
  /// Puts the present parts, which follow \p read, into force.
  auto applyConfiguration(const ObjectList &read, TimePoint begin) -> void;
  auto onWithdrawalList(const ObjectList &l) -> void;
  auto onWithdrawalEvents(const ObjectList &l) -> void;
  /// Passes the withdrawn data centres on to the directory.
  auto applyWithdrawals() -> void;
  auto onMemberList(const ObjectList &l) -> void;
  auto onMemberEvents(const ObjectList &l) -> void;
  auto logUpstream(const UpstreamRecord &r) -> void;
  auto logRefused(const StoredObject &o, const absl::Status &why) -> void;
  /// Parses a record; logs one that cannot be parsed.
  auto decode(const StoredObject &o) -> absl::StatusOr<UpstreamRecord>;
  auto askSeeds(TimePoint now) -> void;
  /// Starts the reads of all views that are due.
  auto tickWatchers(TimePoint now) -> void;
  /// The records in \p l that can be parsed.
  auto parseMembers(const ObjectList &l) const -> std::vector<MemberRecord>;
  /// The mirrors of the other members that are, or are not, in this data
  /// centre, from the one after this instance on, in an order that all
  /// instances share.
  auto otherMirrors(bool isLocal) const -> std::vector<Endpoint>;
  /// The reader of the members that determine the parent; empty if it is not
  /// determined before the views are read.
  auto makeMemberReader() -> ParentDiscovery::ReadMembers;
  /// Determines the parent from \p members, unless the view of the members is
  /// there already.
  auto onMembersRead(const ObjectList &members) -> void;
  /// Reads from the mirror at \p address the views that the store has not
  /// delivered yet.
  auto adoptFrom(const Endpoint &address) -> void;
  auto isStoreReachable() const -> bool;
  /// The sum of a count over all watchers.
  auto sum(std::uint64_t (ObjectWatcher::*count)() const) const
      -> std::uint64_t;
  auto registerSelf(TimePoint now) -> void;
  /// Writes the record of this instance; \p version is that of its last record,
  /// 0 if there is none.
  auto putSelf(ObjectVersion version, TimePoint now) -> void;
  /// Version of the record of member \p name; 0 if there is none.
  auto memberVersion(const std::string &name) const -> ObjectVersion;
  /// Checks the next member of the data centre if a check is due.
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
  ConfigurationParts Parts;
  ConfigurationTotals ConfigurationCounts;
  MirrorTree Tree;
  std::set<std::string> Withdrawn;
  /// The data centres that were withdrawn when the store was restored. They
  /// stay withdrawn until HeldWithdrawalsUntil, although the store may lack
  /// them.
  std::set<std::string> HeldWithdrawals;
  TimePoint HeldWithdrawalsUntil;
  std::map<std::string, MemberRecord> Members;
  ParentDiscovery Discovery;
  ParentListReader FirstLists;
  ObjectWatcher Upstreams;
  ObjectWatcher Configurations;
  ObjectWatcher Withdrawals;
  ObjectWatcher MemberWatch;
  /// All four watchers, by prefix.
  const std::map<std::string, ObjectWatcher *> Watchers;
  WatchMonitor Monitor;
  ViewConfirmer Confirmer;
  /// The eras of the last lists, by prefix.
  std::map<std::string, StoreEra> Eras;
  /// Whether isRestored() holds for the list that is being handled.
  bool IsRestoredList = false;
  /// Versions of the members' records, including those that cannot be parsed.
  std::map<std::string, ObjectVersion> MemberVersions;
  MemberExpiry Expiry;
  /// Client of the member that is being checked.
  std::unique_ptr<PlatformClient> CheckClient;
  bool Registering = false;
  TimePoint NextRegistration;
  TimePoint NextSeed;
  TimePoint NextAdoption;
  std::size_t SeedIndex = 0;
  TimePoint NextAdvertisement;
  std::size_t AdvertisementRound = 0;
  /// Clients of the last mirrors that were asked for their views. Destroyed,
  /// with their pending calls, when the views are complete.
  std::deque<std::unique_ptr<PlatformClient>> SeedClients;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
