#include "edge/edge_views.h"

#include "edge/edge_events.h"

#include <algorithm>

namespace boragebridge {

EdgeViews::EdgeViews(const WatcherContext &ctx, const RecordFormat &format,
                     Directory &dir, ColdShare &cold, EdgeViewsOptions opt)
    : Ctx(ctx), Format(format), Known(dir), Cold(cold), Options(std::move(opt)),
      Upstreams(ctx,
                {.Prefix = format.upstreamPrefix(),
                 .Wait = Options.WatchWait,
                 .Gather = Options.Gather},
                {[this](const auto &l) { onUpstreamList(l); },
                 [this](const auto &l) { onUpstreamEvents(l); },
                 [this](const auto &s) { onFailure(s); }}),
      Configurations(ctx,
                     {.Prefix = format.configurationPrefix(),
                      .Wait = Options.WatchWait,
                      .Gather = Options.Gather},
                     {[this](const auto &l) { onConfiguration(l); },
                      [this](const auto &l) { onConfiguration(l); },
                      [this](const auto &s) { onFailure(s); }}),
      Withdrawals(ctx,
                  {.Prefix = format.withdrawalPrefix(),
                   .Wait = Options.WatchWait,
                   .Gather = Options.Gather},
                  {[this](const auto &l) { onWithdrawalList(l); },
                   [this](const auto &l) { onWithdrawalEvents(l); },
                   [this](const auto &s) { onFailure(s); }}) {
  Cold.waitUntil(Ctx.Time.now() + Options.RestartWait);
}

auto EdgeViews::tick(TimePoint now) -> void {
  Upstreams.tick(now);
  Configurations.tick(now);
  Withdrawals.tick(now);
  tickMembers(now);
}

auto EdgeViews::isComplete() const -> bool {
  return Known.isComplete() && Withdrawals.isKnown();
}

auto EdgeViews::age(TimePoint now) const -> Duration {
  return now - std::min({Upstreams.confirmedAt(), Configurations.confirmedAt(),
                         Withdrawals.confirmedAt()});
}

auto EdgeViews::calls() const -> std::uint64_t {
  return Upstreams.calls() + Configurations.calls() + Withdrawals.calls() +
         MemberCalls;
}

auto EdgeViews::decode(const StoredObject &o, UpstreamRecord &out) -> bool {
  auto r = Format.decodeUpstream(o);
  if (!r.ok()) {
    Ctx.Log.write(events::RecordRefused,
                  {{"key", o.Key},
                   {"version", std::to_string(o.Version)},
                   {"why", std::string(r.status().message())}});
    return false;
  }
  out = *std::move(r);
  return true;
}

auto EdgeViews::onUpstreamList(const ObjectList &l) -> void {
  std::vector<UpstreamRecord> all;
  UpstreamRecord record;
  for (const auto &it : l.Events)
    if (decode(it.Object, record))
      all.push_back(record);
  Known.replaceUpstreams(all, Ctx.Time.now());
  for (const auto &it : all)
    logUpstream(it);
}

auto EdgeViews::onUpstreamEvents(const ObjectList &l) -> void {
  const auto now = Ctx.Time.now();
  UpstreamRecord record;
  for (const auto &it : l.Events) {
    const auto name = nameInKey(it.Object.Key, Format.upstreamPrefix());
    if (it.Removed) {
      Known.removeUpstream(name, now);
      Ctx.Log.write(
          events::UpstreamMissing,
          {{"upstream", name}, {"version", std::to_string(it.Object.Version)}});
    } else if (decode(it.Object, record)) {
      Known.putUpstream(record, now);
      logUpstream(record);
    } else {
      // Its last readable record no longer holds.
      Known.removeUpstream(name, now);
    }
  }
}

auto EdgeViews::logUpstream(const UpstreamRecord &r) -> void {
  const auto cold =
      std::chrono::duration_cast<std::chrono::milliseconds>(r.ColdFor).count();
  Ctx.Log.write(events::UpstreamChanged,
                {{"upstream", r.Name},
                 {"address", toString(r.Address)},
                 {"draining", r.Draining ? "true" : "false"},
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
      Ctx.Log.write(events::RecordRefused,
                    {{"key", it.Object.Key},
                     {"version", std::to_string(it.Object.Version)},
                     {"why", std::string(c.status().message())}});
      continue;
    }
    const auto version = c->Version;
    const auto routes = c->Routes.size();
    if (Known.setConfiguration(*std::move(c)))
      Ctx.Log.write(events::EdgeConfigurationInForce,
                    {{"version", std::to_string(version)},
                     {"routes", std::to_string(routes)}});
  }
}

auto EdgeViews::onWithdrawalList(const ObjectList &l) -> void {
  Withdrawn.clear();
  onWithdrawalEvents(l);
}

auto EdgeViews::onWithdrawalEvents(const ObjectList &l) -> void {
  for (const auto &it : l.Events) {
    const auto name = nameInKey(it.Object.Key, Format.withdrawalPrefix());
    if (it.Removed)
      Withdrawn.erase(name);
    else
      Withdrawn.insert(name);
  }
  applyWithdrawals();
}

auto EdgeViews::applyWithdrawals() -> void {
  std::set<DataCentreId> ids;
  std::string names;
  for (const auto &it : Withdrawn) {
    ids.insert(idFromName<DataCentreId>(it));
    names += (names.empty() ? "" : ",") + it;
  }
  Known.setWithdrawn(std::move(ids), Ctx.Time.now());
  Ctx.Log.write(events::DataCentresWithdrawn, {{"data_centres", names}});
}

auto EdgeViews::onFailure(const absl::Status &s) -> void {
  if (!absl::IsOutOfRange(s))
    Known.noteStoreFailure(Ctx.Time.now());
}

auto EdgeViews::tickMembers(TimePoint now) -> void {
  // Views come first after a start.
  if (MemberCallOpen || now < NextMemberCall || !isComplete())
    return;
  MemberCallOpen = true;
  ++MemberCalls;
  if (Registered)
    listMembers();
  else
    registerSelf();
}

auto EdgeViews::registerSelf() -> void {
  Ctx.Store.put(Format.memberPrefix() + Options.InstanceName, "{}", 0,
                [this, alive = std::weak_ptr<bool>(Alive)](
                    const absl::StatusOr<ObjectVersion> &r) {
                  if (alive.expired())
                    return;
                  MemberCallOpen = false;
                  const auto now = Ctx.Time.now();
                  // It registered in an earlier lifetime, and all others know
                  // it.
                  const auto isKnown = absl::IsAborted(r.status());
                  Registered = r.ok() || isKnown;
                  NextMemberCall = Registered ? now : now + Options.MemberRetry;
                  if (!Registered)
                    return;
                  if (!isKnown)
                    Cold.waitUntil(now + Options.MemberInterval +
                                   Options.MemberRetry);
                  Ctx.Log.write(events::MemberRegistered,
                                {{"known_before", isKnown ? "true" : "false"}});
                });
}

auto EdgeViews::listMembers() -> void {
  Ctx.Store.list(
      Format.memberPrefix(), [this, alive = std::weak_ptr<bool>(Alive)](
                                 const absl::StatusOr<ObjectList> &r) {
        if (alive.expired())
          return;
        MemberCallOpen = false;
        const auto now = Ctx.Time.now();
        NextMemberCall =
            now + (r.ok() ? Options.MemberInterval : Options.MemberRetry);
        if (!r.ok())
          return;
        std::vector<std::string> names;
        for (const auto &it : r->Events)
          names.push_back(nameInKey(it.Object.Key, Format.memberPrefix()));
        Cold.setMembers(names);
      });
}

} // namespace boragebridge
