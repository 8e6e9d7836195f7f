#include "scenario/system_world.h"

#include "config/configuration_controller.h"
#include "health/health_wire.h"
#include "scenario/system_world_parts.h"

#include <algorithm>
#include <utility>

namespace boragebridge::scenario {

constexpr Duration StepTime = Instance::TickInterval;
constexpr std::uint32_t FirstFlowCaller = 0x0D000001;

static auto controllerOf(Instance &it) -> ConfigurationController & {
  return dynamic_cast<ConfigurationController &>(
      *it.findController("configuration"));
}

SystemWorld::SystemWorld(const Topology &t)
    : InitialTopology(t), Random(t.Seed + 1), Requests(makeWorld()) {
  Requests->OnHostPacket = [this](auto host, const auto &from, const auto &p) {
    onHostPacket(host, from, p);
  };
  Requests->OnFlowPacket = [this](const Packet &p) { onFlowPacket(p); };
}

SystemWorld::~SystemWorld() = default;

auto SystemWorld::makeWorld() -> std::unique_ptr<fakes::RequestWorld> {
  fakes::RequestWorldOptions opt;
  opt.Seed = InitialTopology.Seed;
  opt.DataCentres = InitialTopology.DataCentres;
  opt.InstancesPerDataCentre = InitialTopology.Instances;
  opt.BookingHosts = InitialTopology.BookingHosts;
  opt.UploadHosts = InitialTopology.UploadHosts;
  opt.Callers = InitialTopology.Callers;
  opt.RoamingShare = 0;
  opt.MakeControllers = makeDefaultControllers;
  opt.PublishesViews = false;
  opt.MakePlatform = [this](fakes::Fleet &fleet, const InstanceIdentity &self) {
    if (Store == nullptr)
      Store = std::make_unique<fakes::ObjectStore>(fleet.Time);
    return std::make_unique<fakes::FakePlatform>(*Store, fleet.Network, Faults,
                                                 self);
  };
  return std::make_unique<fakes::RequestWorld>(std::move(opt));
}

auto SystemWorld::settle() -> void {
  constexpr Duration StartTime = std::chrono::seconds(3);
  constexpr Duration WarmUpTime = std::chrono::seconds(10);
  constexpr double WarmUpRequests = 12;
  const auto wanted = std::exchange(CurrentLoad, Load{});
  run(StartTime);
  ChangeRequest r;
  r.Import = currentSheet();
  submit(std::move(r), {});
  // A new fleet leases out slots only once all leases that an earlier fleet
  // might have granted have expired.
  run(fakes::RequestWorld::WarmUp);
  CurrentLoad.RequestsPerSecond = WarmUpRequests;
  run(WarmUpTime);
  CurrentLoad = wanted;
}

auto SystemWorld::currentSheet() -> Sheet {
  const auto &cfg = Requests->configuration();
  Sheet rows;
  for (const auto &it : cfg.DataCentres) {
    SheetRow row;
    row.Kind = RowKind::DataCentre;
    row.Name = it.Name;
    rows.push_back(row);
  }
  for (const auto &it : cfg.Services) {
    SheetRow row;
    row.Kind = RowKind::Service;
    row.Name = it.Name;
    row.Team = it.Team;
    row.Address = it.Address;
    rows.push_back(row);
  }
  for (const auto &it : cfg.Upstreams) {
    SheetRow row;
    row.Name = it.Name;
    row.Service = cfg.findService(it.Service)->Name;
    row.DataCentre = cfg.findDataCentre(it.DataCentre)->Name;
    row.Address = it.Address;
    rows.push_back(row);
  }
  return rows;
}

auto SystemWorld::run(Duration d) -> void {
  const auto end = now() + d;
  while (now() < end)
    step();
}

auto SystemWorld::step() -> void {
  Requests->run(StepTime);
  Store->poll();
  startLoad();
  driveFlows();
  recordCrashes();
  checkRevisions();
}

auto SystemWorld::startLoad() -> void {
  constexpr double UploadShare = 0.1;
  const auto seconds = std::chrono::duration<double>(StepTime).count();
  DueRequests += CurrentLoad.RequestsPerSecond * seconds;
  for (; DueRequests >= 1; --DueRequests) {
    const auto isUpload =
        InitialTopology.UploadHosts > 0 && Random.unit() < UploadShare;
    RequestSpec spec;
    spec.Service = isUpload ? fakes::RequestWorld::uploads()
                            : fakes::RequestWorld::booking();
    Requests->submit(Random.below(InitialTopology.Callers), std::move(spec));
  }
  DueFlows += CurrentLoad.FlowsPerSecond * seconds;
  for (; DueFlows >= 1; --DueFlows)
    openFlow();
}

auto SystemWorld::openFlow() -> void {
  const auto open = std::count_if(Flows.begin(), Flows.end(),
                                  [](const auto &f) { return f->isOpen(); });
  if (static_cast<std::size_t>(open) >= CurrentLoad.MaxFlows)
    return;
  auto f = std::make_unique<Flow>();
  f->Key.Caller = {FirstFlowCaller + NextCaller++, 5000};
  f->Key.Service = Requests->configuration().Services.front().Address;
  f->DataCentre =
      InitialTopology
          .DataCentres[Random.below(InitialTopology.DataCentres.size())];
  f->NextSend = now();
  f->LastAnswer = now();
  FlowOf[f->Key.Caller] = f.get();
  Flows.push_back(std::move(f));
}

auto SystemWorld::driveFlows() -> void {
  constexpr Duration OpenRetryInterval = std::chrono::seconds(1);
  constexpr Duration DataInterval = std::chrono::milliseconds(500);
  constexpr Duration StallTimeout = std::chrono::seconds(15);
  for (auto &f : Flows) {
    if (!f->isOpen() || now() < f->NextSend)
      continue;
    const auto kind =
        f->IsEstablished ? PacketKind::FlowData : PacketKind::FlowOpen;
    f->NextSend = now() + (f->IsEstablished ? DataInterval : OpenRetryInterval);
    const auto isStalled = now() - f->LastAnswer >= StallTimeout;
    if (isStalled && f->IsEstablished && LastDisruption < f->LastAnswer)
      f->markBroken(Counts);
    Requests->sendToFabric(f->DataCentre, {kind, f->Key, {}});
  }
}

auto SystemWorld::onHostPacket(std::size_t host, const std::string &from,
                               const Packet &p) -> void {
  auto &model = Requests->host(host);
  if (p.Kind == PacketKind::Probe) {
    if (const auto report = model.report(now()))
      Requests->sendFromHost(host, from,
                             {PacketKind::Report, {}, encodeReport(*report)});
    return;
  }
  const auto answer = model.onFlow(now(), p.Kind, p.Flow);
  if (answer == fakes::FlowAnswer::NoAnswer)
    return;
  auto it = FlowOf.find(p.Flow.Caller);
  if (answer == fakes::FlowAnswer::Accepted && it != FlowOf.end()) {
    it->second->Host = host;
    // An instance that has not received the withdrawal yet may still open a
    // flow to the withdrawn data centre.
    if (Withdrawn.contains(Requests->hostDataCentre(host)))
      it->second->IsExcused = true;
  }
  const auto kind = answer == fakes::FlowAnswer::Accepted
                        ? PacketKind::FlowData
                        : PacketKind::FlowReset;
  Requests->sendFromHost(host, from, {kind, p.Flow, {}});
}

auto SystemWorld::onFlowPacket(const Packet &p) -> void {
  auto it = FlowOf.find(p.Flow.Caller);
  if (it == FlowOf.end() || !it->second->isOpen())
    return;
  auto &f = *it->second;
  if (p.Kind == PacketKind::FlowReset) {
    if (f.IsEstablished)
      f.markBroken(Counts);
    return;
  }
  f.LastAnswer = now();
  Counts.FlowsEstablished += f.IsEstablished ? 0 : 1;
  f.IsEstablished = true;
}

auto SystemWorld::excuseFlows(std::size_t host) -> void {
  for (auto &f : Flows)
    if (f->Host == host)
      f->IsExcused = true;
}

auto SystemWorld::recordCrashes() -> void {
  for (std::size_t n = 0; n < Requests->hostCount(); ++n) {
    auto &recorded = CrashesOf[std::to_string(n)];
    const auto crashes = Requests->host(n).counts().Crashes;
    if (crashes != recorded)
      excuseFlows(n);
    recorded = crashes;
  }
}

auto SystemWorld::submit(ChangeRequest r, const std::function<void()> &accepted)
    -> void {
  r.Id = "change-" + std::to_string(NextChange++);
  r.Actor = "operator";
  for (const auto &name : Requests->instanceNames()) {
    if (!isRunning(name) || isPaused(name))
      continue;
    auto &it = Requests->fleet().instance(name);
    r.Base = it.board().Configuration.read()->RevisionNumber;
    controllerOf(it).submit(
        std::move(r), [this, accepted](const ChangeOutcome &o) {
          if (o.State == ChangeState::Pending)
            return;
          if (o.State != ChangeState::Accepted) {
            ++Counts.ChangesRefused;
            return;
          }
          ++Counts.ChangesAccepted;
          AcceptedChanges.push_back({o.RevisionNumber, now(), false});
          if (accepted)
            accepted();
        });
    return;
  }
}

auto SystemWorld::operate(std::vector<Operation> all,
                          const std::function<void()> &accepted) -> void {
  ChangeRequest r;
  r.Operations = std::move(all);
  submit(std::move(r), accepted);
}

auto SystemWorld::checkRevisions() -> void {
  for (const auto &name : Requests->instanceNames()) {
    if (!isRunning(name) || isPaused(name))
      continue;
    auto &it = Requests->fleet().instance(name);
    const auto number = it.board().Configuration.read()->RevisionNumber;
    auto &highest = HighestRevisions[{name, it.identity().IncarnationNumber}];
    Counts.RevisionsLost += number < highest ? 1 : 0;
    highest = std::max(highest, number);
  }
  for (auto &change : AcceptedChanges) {
    if (change.IsChecked || now() - change.At < EffectTimeLimit)
      continue;
    change.IsChecked = true;
    // An instance that was paused, cut off or just started needs more time, so
    // the change is not checked during a cut or within EffectTimeLimit of a
    // disruption.
    if (!Cuts.empty() || now() - LastDisruption < EffectTimeLimit)
      continue;
    for (const auto &[who, highest] : HighestRevisions) {
      const auto isCurrent =
          isRunning(who.first) && !isPaused(who.first) &&
          Requests->fleet().instance(who.first).identity().IncarnationNumber ==
              who.second;
      Counts.ChangesLate +=
          isCurrent && highest < change.RevisionNumber ? 1 : 0;
    }
  }
}

auto SystemWorld::sumOverHosts(std::uint64_t fakes::UpstreamCounts::*count)
    -> std::uint64_t {
  std::uint64_t sum = 0;
  for (std::size_t n = 0; n < Requests->hostCount(); ++n)
    sum += Requests->host(n).counts().*count;
  return sum;
}

auto SystemWorld::recordUnplannedFault() -> void {
  LastDisruption = now();
  if (TrackedBeforeFault)
    return;
  // Requests that are in progress when the first fault occurs may be lost to
  // it, so only requests before the oldest of them are counted.
  std::size_t n = 0;
  const auto &all = Requests->requests();
  while (n < all.size() && all[n].IsEnded)
    ++n;
  TrackedBeforeFault = n;
}

auto SystemWorld::requestsLostToPlannedChanges() const -> std::uint64_t {
  const auto &all = Requests->requests();
  const auto end = TrackedBeforeFault.value_or(all.size());
  return static_cast<std::uint64_t>(
      std::count_if(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(end),
                    [](const fakes::TrackedRequest &r) {
                      return r.IsEnded && (r.Kind == OutcomeKind::Unknown ||
                                           r.Kind == OutcomeKind::AlreadyRun);
                    }));
}

} // namespace boragebridge::scenario
