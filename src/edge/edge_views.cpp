#include "edge/edge_views.h"

#include "edge/edge_events.h"
#include "store/platform_events.h"

#include <algorithm>
#include <utility>

namespace boragebridge {

/// Mirrors that may be asked at the same time. Calls to earlier ones have timed
/// out by then.
static constexpr std::size_t MaxSeedClients = 8;

EdgeViews::EdgeViews(const Clock &time, RandomSource &random, EventLog &log,
                     MirroredPlatform &platform, const RecordFormat &format,
                     UpstreamDirectory &directory, ColdStartQuota &quota,
                     EdgeViewsOptions opt)
    : Time(time), Log(log), Platform(platform), Format(format),
      Directory(directory), Quota(quota), Options(std::move(opt)),
      Parts(format), Tree(Options.Self),
      Discovery([this] { putSelf(0, Time.now()); }, makeMemberReader(),
                [this](const auto &it) { onMembersRead(it); },
                Options.Discovery),
      FirstLists(platform, time),
      Upstreams({platform, time, random, log},
                makeOptions(format.upstreamPrefix()),
                makeHandlers(format.upstreamPrefix(),
                             {&EdgeViews::onUpstreamList,
                              &EdgeViews::onUpstreamEvents})),
      Configurations({platform, time, random, log},
                     makeOptions(format.configurationPrefix()),
                     makeHandlers(format.configurationPrefix(),
                                  {&EdgeViews::onConfigurationList,
                                   &EdgeViews::onConfigurationEvents})),
      Withdrawals({platform, time, random, log},
                  makeOptions(format.withdrawalPrefix()),
                  makeHandlers(format.withdrawalPrefix(),
                               {&EdgeViews::onWithdrawalList,
                                &EdgeViews::onWithdrawalEvents})),
      MemberWatch(
          {platform, time, random, log}, makeOptions(format.memberPrefix()),
          makeHandlers(format.memberPrefix(),
                       {&EdgeViews::onMemberList, &EdgeViews::onMemberEvents})),
      Watchers{{format.upstreamPrefix(), &Upstreams},
               {format.configurationPrefix(), &Configurations},
               {format.withdrawalPrefix(), &Withdrawals},
               {format.memberPrefix(), &MemberWatch}},
      Monitor(time, log, Options.Poll,
              {&Upstreams, &Configurations, &Withdrawals, &MemberWatch}),
      Confirmer(Withdrawals,
                {&Upstreams, &Configurations, &Withdrawals, &MemberWatch}),
      Expiry(Options.Self.Name, Options.Self.DataCentre) {
  Platform.setMirrorPrefix(format.configurationPrefix(),
                           mirrorPrefix(format.configurationPrefix()));
  Quota.waitUntil(Time.now() + Options.RestartWait);
}

auto EdgeViews::makeOptions(const std::string &prefix) -> WatcherOptions {
  const auto isConfiguration = prefix == Format.configurationPrefix();
  const auto showsRevision = prefix == Format.withdrawalPrefix();
  return {
      .Prefix = prefix,
      .FirstList = [this](const auto &it,
                          auto done) { FirstLists.list(it, std::move(done)); },
      .Wait = showsRevision ? Options.RevisionWait : Options.WatchWait,
      .BatchDelay = isConfiguration ? Options.ConfigurationBatchDelay
                                    : Options.BatchDelay};
}

auto EdgeViews::makeHandlers(const std::string &prefix, Handlers h)
    -> WatcherHandlers {
  const auto mirrored = mirrorPrefix(prefix);
  const auto isMirroredAsRead = mirrored == prefix;
  return {[this, prefix, isMirroredAsRead, h](const ObjectList &l) {
            IsRestoredList = isRestored(prefix, l.CurrentVersion);
            if (isMirroredAsRead)
              Mirror.replace(prefix, l);
            (this->*h.OnList)(l);
          },
          [this, prefix, isMirroredAsRead, h](const ObjectList &l) {
            if (isMirroredAsRead)
              Mirror.apply(prefix, l);
            (this->*h.OnEvents)(l);
          },
          [this, prefix, mirrored](const absl::Status &s) {
            // A watch whose history is no longer available is not a failure of
            // the store.
            if (absl::IsOutOfRange(s))
              return;
            Mirror.setConfirmed(mirrored, false);
            Directory.onStoreFailure(Time.now());
          },
          [this, mirrored] { Mirror.setConfirmed(mirrored, true); },
          [this, mirrored](ObjectVersion v) { Mirror.advance(mirrored, v); },
          [this, mirrored] { return Mirror.digest(mirrored); }};
}

auto EdgeViews::isRestored(const std::string &prefix, ObjectVersion version)
    -> bool {
  const auto [it, isFirst] = Eras.try_emplace(prefix, eraOf(version));
  const auto before = std::exchange(it->second, eraOf(version));
  if (isFirst || before == eraOf(version))
    return false;
  Log.write(events::StoreRestored, {{"prefix", prefix},
                                    {"era", std::to_string(eraOf(version))},
                                    {"version", toText(version)}});
  return true;
}

auto EdgeViews::tick(TimePoint now) -> void {
  if (isComplete())
    SeedClients.clear();
  if (Discovery.tick(now)) {
    askSeeds(now);
    tickWatchers(now);
    FirstLists.tick(now);
  }
  if (isComplete() && Platform.readsStore()) {
    Monitor.tick(now);
    Confirmer.tick(now);
  }
  if (isComplete() && !Platform.hasParent())
    checkMember(now);
  if (!HeldWithdrawals.empty() && now >= HeldWithdrawalsUntil) {
    HeldWithdrawals.clear();
    applyWithdrawals();
  }
  Mirror.tick(now);
  Quota.confirmMembers(MemberWatch.confirmedAt());
  registerSelf(now);
}

auto EdgeViews::tickWatchers(TimePoint now) -> void {
  if (MemberWatch.hasView())
    Platform.setParent(Tree.parent(now));
  Platform.moveWatchesToParent();
  for (const auto &it : Watchers)
    it.second->tick(now);
}

auto EdgeViews::makeMemberReader() -> ParentDiscovery::ReadMembers {
  if (!Options.MemberSnapshot)
    return {};
  return [this](auto done) {
    // A snapshot may lack members of a new fleet, which have just registered.
    if (Options.Discovery.IsNewFleet)
      Platform.listStore(Format.memberPrefix(), std::move(done));
    else
      Options.MemberSnapshot(std::move(done));
  };
}

auto EdgeViews::onMembersRead(const ObjectList &members) -> void {
  if (MemberWatch.hasView())
    return;
  Tree.setMembers(parseMembers(members));
  FirstLists.setMembers(members.Events.size());
  Platform.setParent(Tree.parent(Time.now()));
  tickWatchers(Time.now());
}

auto EdgeViews::isStoreReachable() const -> bool {
  return std::all_of(Watchers.begin(), Watchers.end(),
                     [](const auto &it) { return it.second->isReachable(); });
}

auto EdgeViews::askSeeds(TimePoint now) -> void {
  if (isComplete() || Options.Seeds.empty())
    return;
  if (NextSeed == TimePoint{})
    NextSeed = now + Options.SeedInterval;
  // A store that refuses connections is known to be down at once; one that does
  // not answer, only after SeedInterval.
  const auto isDue = now >= NextSeed || (SeedIndex == 0 && !isStoreReachable());
  if (!isDue)
    return;
  NextSeed = now + Options.SeedInterval;
  adoptFrom(Options.Seeds[SeedIndex++ % Options.Seeds.size()]);
}

auto EdgeViews::onMirrorAdvertised(const Endpoint &address) -> void {
  if (!isComplete() && Time.now() >= NextAdoption)
    adoptFrom(address);
}

auto EdgeViews::adoptFrom(const Endpoint &address) -> void {
  NextAdoption = Time.now() + Options.AdoptionInterval;
  if (SeedClients.size() == MaxSeedClients)
    SeedClients.pop_front();
  auto &client = *SeedClients.emplace_back(Platform.makeMirrorClient(address));
  for (const auto &it : Watchers) {
    const auto &prefix = it.first;
    auto *watcher = it.second;
    if (watcher->hasView())
      continue;
    client.list(mirrorPrefix(prefix), [this, prefix, watcher, address,
                                       alive = std::weak_ptr<bool>(Alive)](
                                          const absl::StatusOr<ObjectList> &r) {
      if (alive.expired() || !r.ok() || !watcher->adopt(*r))
        return;
      Mirror.setConfirmed(mirrorPrefix(prefix), false);
      Log.write(events::ViewAdopted, {{"prefix", prefix},
                                      {"from", toString(address)},
                                      {"version", toText(r->CurrentVersion)}});
    });
  }
}

auto EdgeViews::onParentLost(const Endpoint &address, const absl::Status &why)
    -> void {
  Log.write(events::ParentLost, {{"parent", toString(address)},
                                 {"why", std::string(why.message())}});
  Tree.markDown(address, Time.now());
  Platform.setParent(Tree.parent(Time.now()));
}

auto EdgeViews::isComplete() const -> bool {
  return Directory.isComplete() && Withdrawals.hasView();
}

auto EdgeViews::sum(std::uint64_t (ObjectWatcher::*count)() const) const
    -> std::uint64_t {
  std::uint64_t n = 0;
  for (const auto &[prefix, it] : Watchers)
    n += (it->*count)();
  return n;
}

auto EdgeViews::differences() const -> std::uint64_t {
  return sum(&ObjectWatcher::differences);
}

auto EdgeViews::confirmations() const -> std::uint64_t {
  return sum(&ObjectWatcher::confirmations);
}

auto EdgeViews::lostAnswers() const -> std::uint64_t {
  return sum(&ObjectWatcher::lostAnswers);
}

auto EdgeViews::age(TimePoint now) const -> Duration {
  return now - std::min({Upstreams.confirmedAt(), Configurations.confirmedAt(),
                         Withdrawals.confirmedAt()});
}

auto EdgeViews::logRefused(const StoredObject &o, const absl::Status &why)
    -> void {
  Log.write(events::RecordRefused, {{"key", o.Key},
                                    {"version", toText(o.Version)},
                                    {"why", std::string(why.message())}});
}

auto EdgeViews::decode(const StoredObject &o)
    -> absl::StatusOr<UpstreamRecord> {
  auto r = Format.decodeUpstream(o);
  if (!r.ok())
    logRefused(o, r.status());
  return r;
}

auto EdgeViews::onUpstreamList(const ObjectList &l) -> void {
  std::vector<UpstreamRecord> all;
  for (const auto &it : l.Events)
    if (auto r = decode(it.Object); r.ok())
      all.push_back(*std::move(r));
  if (IsRestoredList)
    Directory.replaceByRestored(all, Time.now());
  else
    Directory.replaceUpstreams(all, Time.now());
  const auto draining = std::count_if(
      all.begin(), all.end(), [](const auto &it) { return it.Draining; });
  // One line for all of them: after a restart of a large fleet, a line for each
  // would fill the log's buffer and delay the first packets.
  Log.write(events::UpstreamsListed,
            {{"count", std::to_string(all.size())},
             {"draining", std::to_string(draining)},
             {"unconfigured", std::to_string(Directory.unconfiguredRecords())},
             {"version", toText(l.CurrentVersion)}});
}

auto EdgeViews::onUpstreamEvents(const ObjectList &l) -> void {
  const auto now = Time.now();
  for (const auto &it : l.Events) {
    const auto name = nameInKey(it.Object.Key, Format.upstreamPrefix());
    if (it.Removed) {
      Directory.removeUpstream(name, now);
      Log.write(events::UpstreamMissing,
                {{"upstream", name}, {"version", toText(it.Object.Version)}});
    } else if (const auto r = decode(it.Object); r.ok()) {
      Directory.putUpstream(*r, now);
      logUpstream(*r);
    } else {
      // The last readable record of the upstream is no longer valid.
      Directory.removeUpstream(name, now);
    }
  }
}

auto EdgeViews::logUpstream(const UpstreamRecord &r) -> void {
  const auto cold =
      std::chrono::duration_cast<std::chrono::milliseconds>(r.ColdFor).count();
  Log.write(
      events::UpstreamChanged,
      {{"upstream", r.Name},
       {"address", toString(r.Address)},
       {"draining", r.Draining ? "true" : "false"},
       {"configured", Directory.isConfigured(r.Service) ? "true" : "false"},
       {"sequence", std::to_string(r.Sequence)},
       {"cold_ms", std::to_string(cold)},
       {"tag", std::to_string(
                   static_cast<std::uint32_t>(tagOf(r.Name, r.StartedAt)))}});
}

auto EdgeViews::onWithdrawalList(const ObjectList &l) -> void {
  if (IsRestoredList) {
    HeldWithdrawals.insert(Withdrawn.begin(), Withdrawn.end());
    HeldWithdrawalsUntil = Time.now() + Options.RewriteTime;
  }
  Withdrawn.clear();
  onWithdrawalEvents(l);
}

auto EdgeViews::onWithdrawalEvents(const ObjectList &l) -> void {
  for (const auto &it : l.Events) {
    const auto name = nameInKey(it.Object.Key, Format.withdrawalPrefix());
    if (it.Removed) {
      Withdrawn.erase(name);
      HeldWithdrawals.erase(name);
    } else {
      Withdrawn.insert(name);
    }
  }
  applyWithdrawals();
}

auto EdgeViews::applyWithdrawals() -> void {
  auto all = Withdrawn;
  all.insert(HeldWithdrawals.begin(), HeldWithdrawals.end());
  std::set<DataCentreId> ids;
  std::string names;
  for (const auto &it : all) {
    ids.insert(idFromName<DataCentreId>(it));
    names += (names.empty() ? "" : ",") + it;
  }
  Directory.setWithdrawn(std::move(ids), Time.now());
  Log.write(events::DataCentresWithdrawn, {{"data_centres", names}});
}

} // namespace boragebridge
