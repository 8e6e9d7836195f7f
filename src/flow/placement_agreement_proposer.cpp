// The proposer's side of PlacementAgreement: rounds of announcement,
// acknowledgement and activation.
#include "flow/flow_events.h"
#include "flow/placement_agreement.h"

#include <algorithm>

namespace boragebridge {

auto PlacementAgreement::tickRound(TimePoint now) -> void {
  constexpr auto ResendInterval = std::chrono::milliseconds(300);
  if (!InFlight)
    return;
  std::size_t missing = 0;
  const auto resend = now - InFlight->LastSent >= ResendInterval;
  for (const auto &p : Members.participants()) {
    if (p.Id == Context.Self.Id || InFlight->Acknowledged.contains(p.Id))
      continue;
    ++missing;
    if (resend)
      sendAnnouncement(p);
  }
  if (resend)
    InFlight->LastSent = now;
  const auto age = now - InFlight->Since;
  if (missing > 0 && age < Options.AckTimeout)
    return;
  if (age < InFlight->Delay)
    return;
  if (missing > 0) {
    Unacknowledged.add();
    Context.Log.write(events::GenerationUnacknowledged,
                      {{"counter", std::to_string(InFlight->Id.Counter)},
                       {"missing", std::to_string(missing)}});
  }
  const auto id = InFlight->Id;
  InFlight.reset();
  activateAll(id, now);
  Messenger.sendAll(Members.participants(), FlowMessage::Activate,
                    ActivateMessage{id});
  Context.Log.write(events::GenerationActivated,
                    {{"counter", std::to_string(id.Counter)}});
}

auto PlacementAgreement::tickProposer(TimePoint now) -> void {
  constexpr auto CheckInterval = std::chrono::milliseconds(500);
  constexpr auto MinCheckInterval = std::chrono::milliseconds(100);
  if (!Context.Board.Readiness.read()->MayServe)
    return;
  const auto cfgVersion = Context.Board.Configuration.version();
  const auto healthVersion = Context.Board.Health.version();
  if (cfgVersion != QuarantineVersion) {
    QuarantineVersion = cfgVersion;
    Quarantine.update(*Context.Board.Configuration.read(), now);
  }
  const auto changed =
      cfgVersion != SeenConfiguration || healthVersion != SeenHealth;
  if (now - LastCheck < (changed ? Duration(MinCheckInterval) : CheckInterval))
    return;
  LastCheck = now;
  SeenConfiguration = cfgVersion;
  SeenHealth = healthVersion;
  auto changes = wantedChanges(now);
  if (changes.empty())
    return;
  const auto urgent = std::any_of(changes.begin(), changes.end(),
                                  [](const Change &c) { return c.Urgent; });
  // Only an urgent change replaces a round that is in flight; any other waits
  // for its end.
  if (InFlight && !urgent) {
    SeenConfiguration = 0;
    return;
  }
  startRound(std::move(changes), now);
}

auto PlacementAgreement::wantedChanges(TimePoint now) -> std::vector<Change> {
  const auto cfg = Context.Board.Configuration.read();
  std::vector<Change> changes;
  for (const auto &[service, all] : groupUpstreams(*cfg)) {
    const auto isProposer = Members.isProposer(service);
    if (!isProposer && !Members.isBackupProposer(service))
      continue;
    auto c = wantedChange(service, all, now);
    if (!c)
      OverdueSince.erase(service);
    else if (isProposer || isOverdue(*c, now))
      changes.push_back(std::move(*c));
  }
  return changes;
}

auto PlacementAgreement::isOverdue(const Change &c, TimePoint now) -> bool {
  if (!c.Urgent)
    return false;
  const auto since = OverdueSince.try_emplace(c.Service, now).first->second;
  return now - since >= Options.BackupProposerDelay;
}

auto PlacementAgreement::wantedChange(ServiceId service,
                                      std::span<const Upstream *const> all,
                                      TimePoint now) -> std::optional<Change> {
  const auto cfg = Context.Board.Configuration.read();
  const auto health = Context.Board.Health.read();
  const auto known = lowestKnownRevision();
  const auto quarantined = [&](const Upstream &u) {
    return Quarantine.isQuarantined(u.Address, known, now);
  };
  const auto *p = find(service);
  const auto *newest = p == nullptr ? nullptr : p->newest();
  const std::span<const WeightedUpstream> inUse =
      newest == nullptr ? std::span<const WeightedUpstream>{}
                        : std::span(newest->Upstreams);
  // The newest generation is of a later revision than this instance has. Until
  // this instance has that revision it proposes nothing for the service.
  if (newest != nullptr && newest->Id.Config > cfg->RevisionNumber)
    return std::nullopt;
  auto wanted = wantedPlacement(*cfg, *health, Context.Self.DataCentre, all,
                                inUse, quarantined);
  if (newest == nullptr && wanted.Upstreams.empty())
    return std::nullopt;
  const auto isSame =
      newest != nullptr && newest->Upstreams == wanted.Upstreams;
  if (isSame && p->isNewestActive())
    return std::nullopt;
  const auto isInFlight =
      InFlight && newest != nullptr && InFlight->Id == newest->Id;
  if (isSame && isInFlight)
    return std::nullopt;

  const auto sameSet =
      newest != nullptr &&
      std::equal(inUse.begin(), inUse.end(), wanted.Upstreams.begin(),
                 wanted.Upstreams.end(),
                 [](const auto &a, const auto &b) { return a.Id == b.Id; });
  // A change of weights alone waits for the reweight interval and for room in
  // the chain.
  if (sameSet && !isSame) {
    auto &last = LastReweight[service];
    if (now - last < Options.ReweightInterval ||
        p->chainLength() + 1 >= ServicePlacement::MaxChain ||
        !Members.isProposer(service))
      return std::nullopt;
    last = now;
  }
  Change c;
  c.Service = service;
  c.Content.Slots =
      newest != nullptr ? newest->Slots : slotCountFor(wanted.Upstreams.size());
  c.Content.Upstreams = std::move(wanted.Upstreams);
  c.Urgent = wanted.Urgent || newest == nullptr || !p->isActive();
  return c;
}

auto PlacementAgreement::startRound(std::vector<Change> changes, TimePoint now)
    -> void {
  // The new round includes the services of the unfinished one that it replaces.
  if (InFlight)
    for (auto service : InFlight->Services)
      if (std::none_of(changes.begin(), changes.end(),
                       [&](const Change &c) { return c.Service == service; }))
        changes.push_back({service, *find(service)->newest(), false});
  Round r;
  r.Id = {Context.Board.Configuration.read()->RevisionNumber,
          HighestCounter + 1, Context.Self.IncarnationNumber};
  r.Since = now;
  r.LastSent = now;
  r.Delay = Options.ActivationDelay;
  for (auto &c : changes) {
    c.Content.Id = r.Id;
    if (c.Urgent)
      r.Delay = {};
    r.Services.push_back(c.Service);
    auto &p = Placements.try_emplace(c.Service, c.Service).first->second;
    p.add(c.Content);
    onPlacementChanged(p);
  }
  InFlight = std::move(r);
  Announced.add();
  Context.Log.write(events::GenerationAnnounced,
                    {{"counter", std::to_string(InFlight->Id.Counter)},
                     {"services", std::to_string(changes.size())}});
  for (const auto &p : Members.participants())
    if (p.Id != Context.Self.Id)
      sendAnnouncement(p);
}

auto PlacementAgreement::sendAnnouncement(const Peer &to) -> void {
  StateMessage m;
  for (auto service : InFlight->Services)
    m.Services.push_back(find(service)->state());
  m.Announced = InFlight->Id;
  m.Synced = true;
  Messenger.send(to, FlowMessage::State, m);
}

auto PlacementAgreement::lowestKnownRevision() const -> Revision {
  auto lowest = Context.Board.Configuration.read()->RevisionNumber;
  for (const auto &p : Members.participants()) {
    if (p.Id == Context.Self.Id)
      continue;
    auto it = KnownRevisions.find(p.Id);
    lowest =
        std::min(lowest, it == KnownRevisions.end() ? Revision{} : it->second);
  }
  return lowest;
}

auto PlacementAgreement::tickQuarantine(TimePoint now) -> void {
  constexpr auto PingInterval = std::chrono::milliseconds(500);
  if (now - LastPing < PingInterval ||
      !Quarantine.isPending(lowestKnownRevision(), now))
    return;
  LastPing = now;
  // An announcement without services. Its acknowledgements contain the
  // revisions of the participants.
  const GenerationId pingId{Context.Board.Configuration.read()->RevisionNumber,
                            HighestCounter, Context.Self.IncarnationNumber};
  Messenger.sendAll(Members.participants(), FlowMessage::State,
                    StateMessage{{}, pingId, true, 0});
}

} // namespace boragebridge
