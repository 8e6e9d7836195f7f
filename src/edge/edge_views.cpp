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
      Tree(Options.Self),
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
                                  {&EdgeViews::onConfiguration,
                                   &EdgeViews::onConfiguration})),
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
      Expiry(Options.Self.Name, Options.Self.DataCentre) {
  Quota.waitUntil(Time.now() + Options.RestartWait);
}

auto EdgeViews::makeOptions(const std::string &prefix) -> WatcherOptions {
  const auto isConfiguration = prefix == Format.configurationPrefix();
  return {
      .Prefix = prefix,
      .FirstList = [this](const auto &it,
                          auto done) { FirstLists.list(it, std::move(done)); },
      .Wait = Options.WatchWait,
      .BatchDelay = isConfiguration ? Options.ConfigurationBatchDelay
                                    : Options.BatchDelay};
}

auto EdgeViews::makeHandlers(const std::string &prefix, Handlers h)
    -> WatcherHandlers {
  return {[this, prefix, h](const ObjectList &l) {
            IsRestoredList = isRestored(prefix, l.CurrentVersion);
            Mirror.replace(prefix, l);
            (this->*h.OnList)(l);
          },
          [this, prefix, h](const ObjectList &l) {
            Mirror.apply(prefix, l);
            (this->*h.OnEvents)(l);
          },
          [this, prefix](const absl::Status &s) {
            // A watch whose history is no longer available is not a failure of
            // the store.
            if (absl::IsOutOfRange(s))
              return;
            Mirror.setConfirmed(prefix, false);
            Directory.onStoreFailure(Time.now());
          },
          [this, prefix] { Mirror.setConfirmed(prefix, true); },
          [this, prefix](ObjectVersion v) { Mirror.advance(prefix, v); }};
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
  if (isComplete() && Platform.readsStore())
    Monitor.tick(now);
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

auto EdgeViews::parseMembers(const ObjectList &l) const
    -> std::vector<MemberRecord> {
  std::vector<MemberRecord> out;
  for (const auto &it : l.Events)
    if (auto m = parseMember(nameInKey(it.Object.Key, Format.memberPrefix()),
                             it.Object.Value);
        m.ok())
      out.push_back(*std::move(m));
  return out;
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
    client.list(prefix, [this, prefix, watcher, address,
                         alive = std::weak_ptr<bool>(Alive)](
                            const absl::StatusOr<ObjectList> &r) {
      if (alive.expired() || !r.ok() || !watcher->adopt(*r))
        return;
      Mirror.setConfirmed(prefix, false);
      Log.write(events::ViewAdopted, {{"prefix", prefix},
                                      {"from", toString(address)},
                                      {"version", toText(r->CurrentVersion)}});
    });
  }
}

auto EdgeViews::nextAdvertisements(TimePoint now) -> std::vector<Endpoint> {
  if (now < NextAdvertisement || !isComplete() || isStoreReachable() ||
      Options.Self.Address.Port == 0)
    return {};
  NextAdvertisement = now + Options.AdvertisementInterval;
  // The others, from the one after this instance on, in an order that all
  // instances share.
  std::vector<Endpoint> others;
  std::size_t before = 0;
  for (const auto &[name, it] : Members) {
    if (name == Options.Self.Name || it.Address.Port == 0 ||
        it.DataCentre != Options.Self.DataCentre)
      continue;
    if (name < Options.Self.Name)
      ++before;
    others.push_back(it.Address);
  }
  std::rotate(others.begin(),
              others.begin() + static_cast<std::ptrdiff_t>(before),
              others.end());
  const auto n = std::min(Options.AdvertisementsPerRound, others.size());
  const auto first = n * AdvertisementRound++;
  std::vector<Endpoint> out;
  for (std::size_t i = 0; i < n; ++i)
    out.push_back(others[(first + i) % others.size()]);
  return out;
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
  Log.write(events::UpstreamsListed, {{"count", std::to_string(all.size())},
                                      {"draining", std::to_string(draining)},
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
  Log.write(events::UpstreamChanged,
            {{"upstream", r.Name},
             {"address", toString(r.Address)},
             {"draining", r.Draining ? "true" : "false"},
             {"sequence", std::to_string(r.Sequence)},
             {"cold_ms", std::to_string(cold)},
             {"tag", std::to_string(static_cast<std::uint32_t>(
                         tagOf(r.Name, r.StartedAt)))}});
}

auto EdgeViews::onConfiguration(const ObjectList &l) -> void {
  for (const auto &it : l.Events) {
    if (it.Removed)
      continue;
    auto c = Format.decodeConfiguration(it.Object);
    if (absl::IsNotFound(c.status()))
      continue;
    if (!c.ok()) {
      logRefused(it.Object, c.status());
      continue;
    }
    const auto version = c->Version;
    const auto routes = c->Routes.size();
    if (Directory.setConfiguration(*std::move(c)))
      Log.write(events::EdgeConfigurationInForce,
                {{"version", std::to_string(version)},
                 {"routes", std::to_string(routes)}});
  }
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

auto EdgeViews::onMemberList(const ObjectList &l) -> void {
  Members.clear();
  MemberVersions.clear();
  onMemberEvents(l);
}

auto EdgeViews::onMemberEvents(const ObjectList &l) -> void {
  for (const auto &it : l.Events) {
    const auto name = nameInKey(it.Object.Key, Format.memberPrefix());
    if (it.Removed) {
      Members.erase(name);
      MemberVersions.erase(name);
      continue;
    }
    MemberVersions[name] = it.Object.Version;
    auto member = parseMember(name, it.Object.Value);
    if (member.ok())
      Members[name] = *std::move(member);
    else
      logRefused(it.Object, member.status());
  }
  std::vector<std::string> names;
  std::vector<MemberRecord> records;
  for (const auto &[name, it] : Members) {
    names.push_back(name);
    records.push_back(it);
  }
  Quota.setMembers(names);
  Quota.confirmMembers(Time.now());
  Tree.setMembers(records);
  Expiry.setMembers(records);
}

auto EdgeViews::checkMember(TimePoint now) -> void {
  // While the store is unreachable, a member that does not answer may be cut
  // off rather than gone.
  if (!isStoreReachable())
    return;
  const auto *member = Expiry.nextToCheck(now);
  if (member == nullptr)
    return;
  CheckClient = Platform.makeMirrorClient(member->Address);
  CheckClient->watch(
      Format.memberPrefix(), MemberWatch.version(), Duration::zero(),
      [this, m = *member, alive = std::weak_ptr<bool>(Alive)](const auto &r) {
        if (!alive.expired())
          onMemberChecked(m, r.ok() || absl::IsFailedPrecondition(r.status()) ||
                                 absl::IsOutOfRange(r.status()));
      });
}

auto EdgeViews::onMemberChecked(const MemberRecord &m, bool answered) -> void {
  const auto version = memberVersion(m.Name);
  if (!Expiry.onChecked(m.Name, answered, Time.now()) || version == 0)
    return;
  Platform.remove(
      Format.memberPrefix() + m.Name, version,
      [this, name = m.Name, alive = std::weak_ptr<bool>(Alive)](
          const absl::StatusOr<ObjectVersion> &r) {
        if (alive.expired())
          return;
        Log.write(
            events::MemberExpired,
            {{"member", name},
             {"result", r.ok() ? "ok" : std::string(r.status().message())}});
      });
}

auto EdgeViews::memberVersion(const std::string &name) const -> ObjectVersion {
  const auto it = MemberVersions.find(name);
  return it == MemberVersions.end() ? 0 : it->second;
}

auto EdgeViews::registerSelf(TimePoint now) -> void {
  // After a start, the views are read before this instance registers.
  if (Registering || now < NextRegistration || !isComplete() ||
      !MemberWatch.hasView())
    return;
  const auto record = Members.find(Options.Self.Name);
  if (record != Members.end() && record->second == Options.Self)
    return;
  putSelf(memberVersion(Options.Self.Name), now);
}

auto EdgeViews::putSelf(ObjectVersion version, TimePoint now) -> void {
  Registering = true;
  NextRegistration = now + Options.RegistrationInterval;
  const auto isNew = version == 0;
  Platform.put(
      Format.memberPrefix() + Options.Self.Name, formatMember(Options.Self),
      version,
      [this, isNew, alive = std::weak_ptr<bool>(Alive)](
          const absl::StatusOr<ObjectVersion> &r) {
        if (alive.expired())
          return;
        Registering = false;
        const auto end = Time.now();
        Discovery.onRegistered(r.ok(), end);
        if (isNew && !absl::IsAborted(r.status()))
          Quota.waitUntil(end + Options.NewMemberWait);
        Log.write(
            events::MemberRegistered,
            {{"new", isNew ? "true" : "false"},
             {"result", r.ok() ? "ok" : std::string(r.status().message())}});
      });
}

} // namespace boragebridge
