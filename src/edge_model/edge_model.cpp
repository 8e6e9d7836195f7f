#include "edge_model/edge_model.h"

#include "edge/upstream_record_text.h"

#include <algorithm>
#include <utility>

namespace boragebridge::edge_model {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration ClockStep = std::chrono::microseconds(500);
static constexpr Duration CallerDelay = milliseconds(1);
static constexpr Duration LocalDelay = std::chrono::microseconds(100);
static constexpr Duration RemoteDelay = std::chrono::microseconds(1400);
static constexpr Duration CheckInterval = milliseconds(500);
/// Consecutive failed checks after which an instance leaves the rotation.
static constexpr unsigned FailedChecksToRemove = 2;
static constexpr Duration HeartbeatInterval = milliseconds(1200);
/// The platform removes the record of an upstream after three missed
/// heartbeats.
static constexpr Duration RecordTimeout = 3 * HeartbeatInterval;
static constexpr Duration StoreRetryInterval = milliseconds(200);
/// A snapshot of the store is at most SnapshotInterval times MaxSnapshots old.
static constexpr Duration SnapshotInterval = milliseconds(500);
static constexpr std::size_t MaxSnapshots = 6;
/// The oldest copy that the store can be restored from is SnapshotInterval
/// times MaxCopies old.
static constexpr std::size_t MaxCopies = 20;

static constexpr std::uint16_t UpstreamPort = 8600;
static constexpr std::uint16_t MirrorPort = 8166;
/// First addresses of instances, upstreams and callers.
static constexpr std::uint32_t InstanceNet = 0x0A000000;
static constexpr std::uint32_t UpstreamNet = 0x0A800000;
static constexpr std::uint32_t CallerNet = 0x64400000;

static auto limitsFor(std::size_t instances) -> fakes::ObjectStoreLimits {
  // The store's capacity grows with the number of instances, and small
  // installations have a minimum capacity. It grows more slowly than the fleet,
  // as in real platforms.
  constexpr double MinReads = 2000;
  constexpr double MinWrites = 400;
  constexpr double ReadsPerInstance = 68;
  constexpr double WritesPerInstance = 14;
  const auto n = static_cast<double>(instances);
  return {.ReadsPerSecond = std::max(MinReads, ReadsPerInstance * n),
          .WritesPerSecond = std::max(MinWrites, WritesPerInstance * n)};
}

EdgeModel::EdgeModel(const EdgeModelOptions &opt)
    : Options(opt), Random(opt.Seed), Timer(Time, opt.Seed),
      Store(Time, limitsFor(opt.Instances)),
      InstanceSettings{.PlacementPolicy = opt.PlacementPolicy,
                       .ColdStart = {.Factor = 1.5,
                                     .Slack = static_cast<double>(
                                         RuleLimits().ColdPerSecond)}} {
  for (std::size_t i = 0; i < Options.DataCentres; ++i)
    DataCentreIds.push_back(
        idFromName<DataCentreId>("dc-" + std::to_string(i)));
  Configuration.Version = 1;
  Configuration.Routes = {{"bookings", BookingsAddress, {{Bookings, 1}}},
                          {"uploads", UploadsAddress, {{Uploads, 1}}}};
  Configuration.Services = {{Bookings, 0}, {Uploads, 0}};
  writeConfiguration();
  constexpr std::array Speeds{0.6, 1.0, 1.6};
  constexpr std::size_t UploadPeriod = 5;
  for (std::size_t i = 0; i < Options.Upstreams; ++i) {
    const auto dc = i % Options.DataCentres;
    const auto service =
        i % UploadPeriod == UploadPeriod - 1 ? Uploads : Bookings;
    addUpstream(dc, service, nextAddress(dc), Speeds.at(i % Speeds.size()), {});
  }
  for (std::size_t i = 0; i < Options.Instances; ++i)
    addInstance(i);
  for (std::size_t i = 0; i < Options.DataCentres; ++i)
    addCallers(i);
  scheduleProbe();
  scheduleSnapshot();
}

EdgeModel::~EdgeModel() = default;

auto EdgeModel::addInstance(std::size_t n) -> void {
  const auto dc = n % Options.DataCentres;
  MemberRecord self;
  self.Name = "edge-" + std::to_string(n);
  self.DataCentre = DataCentreIds[dc];
  self.Address = {InstanceNet + static_cast<std::uint32_t>(n), MirrorPort};
  constexpr std::array<unsigned, 3> Capacities{55, 250, 500};
  self.Capacity = Capacities.at(n % Capacities.size());
  constexpr std::uint32_t Seeds = 3;
  std::vector<Endpoint> seeds;
  for (std::uint32_t i = 0; i < std::min<std::size_t>(Seeds, Options.Instances);
       ++i)
    if (i != n)
      seeds.push_back({InstanceNet + i, MirrorPort});
  const InstanceContext ctx{
      *this,
      Time,
      Store,
      Timer,
      InstanceSettings,
      [this](const auto &from, const auto &at) { return findPeer(from, at); },
      [this](const auto &from, const auto &p, const auto &d) {
        applyDecision(from, p, d);
      },
      [this](const auto &prefix) { return readSnapshot(prefix); },
      [this] { return staleVersion(); }};
  InstanceEntries.push_back(
      {std::make_unique<ModelInstance>(ctx, self, std::move(seeds)), dc});
  InstanceEntries.back().Instance->start();
  scheduleTick(n);
  scheduleCheck(n);
}

auto EdgeModel::nextAddress(std::size_t dataCentre) -> Endpoint {
  constexpr unsigned DataCentreShift = 16;
  return {UpstreamNet +
              (static_cast<std::uint32_t>(dataCentre) << DataCentreShift) +
              NextUpstreamHost++,
          UpstreamPort};
}

auto EdgeModel::addUpstream(std::size_t dataCentre, ServiceId service,
                            const Endpoint &address, double speed,
                            Duration cold) -> std::size_t {
  const auto n = UpstreamEntries.size();
  UpstreamRecord r;
  r.Name = "host-" + std::to_string(n);
  r.WireId = n + 1;
  r.Service = service;
  r.DataCentre = DataCentreIds[dataCentre];
  r.Address = address;
  r.Slots = 2;
  return startUpstream(dataCentre, std::move(r), speed, cold);
}

auto EdgeModel::startUpstream(std::size_t dataCentre, UpstreamRecord r,
                              double speed, Duration cold) -> std::size_t {
  const auto n = UpstreamEntries.size();
  const auto address = r.Address;
  r.StartedAt =
      std::chrono::duration_cast<milliseconds>(now().time_since_epoch());
  auto model = std::make_shared<ModelUpstream>(*this, std::move(r),
                                               UpstreamOptions{.Speed = speed});
  model->setCold(cold);
  UpstreamEntries.push_back({std::move(model), dataCentre});
  UpstreamAt[address] = n;
  registerUpstream(n);
  if (cold > Duration::zero())
    after(cold, [this, n] { registerUpstream(n); });
  return n;
}

auto EdgeModel::hasRestarted(std::size_t upstream) const -> bool {
  const auto &r = UpstreamEntries[upstream].Model->record();
  const auto at = UpstreamAt.at(r.Address);
  return at != upstream && UpstreamEntries[at].Model->record().Name == r.Name;
}

auto EdgeModel::addCallers(std::size_t dataCentre) -> void {
  // Bookings use long-lived flows; reservations and uploads use one flow for
  // each request.
  constexpr double LongShare = 0.7;
  constexpr double ShortShare = 0.2;
  constexpr double UploadShare = 0.06;
  constexpr unsigned CallerShift = 8;
  const auto rate = Options.RequestsPerUpstream *
                    static_cast<double>(Options.Upstreams) /
                    static_cast<double>(Options.DataCentres);
  CallerOptions opt;
  opt.DataCentre = DataCentreIds[dataCentre];
  opt.FirstAddress =
      CallerNet + (static_cast<std::uint32_t>(dataCentre) << CallerShift);
  opt.Kinds = {{.Service = BookingsAddress, .PerSecond = LongShare * rate},
               {.Service = BookingsAddress,
                .PerSecond = ShortShare * rate,
                .Idempotent = false,
                .LongFlows = false,
                .Deadline = seconds(2)},
               {.Service = UploadsAddress,
                .PerSecond = UploadShare * rate,
                .Idempotent = false,
                .LongFlows = false,
                .Deadline = seconds(8)}};
  Callers.push_back(std::make_unique<ModelCallers>(*this, std::move(opt)));
  // The instances get two seconds to start.
  after(seconds(2), [callers = Callers.back().get()] { callers->start(); });
}

auto EdgeModel::run(Duration d) -> void {
  const auto end = now() + d;
  while (now() < end) {
    Time.advance(ClockStep);
    Timer.deliver();
  }
}

auto EdgeModel::stopCallers() -> void {
  for (const auto &it : Callers)
    it->stop();
}

auto EdgeModel::setLoad(double factor) -> void {
  for (const auto &it : Callers)
    it->setLoad(factor);
}

auto EdgeModel::upstreams() const -> std::vector<std::size_t> {
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < UpstreamEntries.size(); ++i)
    if (!UpstreamEntries[i].Ended)
      all.push_back(i);
  return all;
}

auto EdgeModel::storeCalls() const -> double {
  double n = 0;
  for (const auto &it : InstanceEntries)
    n += it.Instance->storeCalls();
  return n;
}

auto EdgeModel::after(Duration d, std::function<void()> f) -> void {
  Timer.after(d, std::move(f));
}

auto EdgeModel::scheduleTick(std::size_t instance) -> void {
  after(ModelInstance::TickInterval, [this, instance] {
    InstanceEntries[instance].Instance->tick();
    scheduleTick(instance);
  });
}

auto EdgeModel::scheduleCheck(std::size_t instance) -> void {
  after(CheckInterval, [this, instance] {
    checkReady(InstanceEntries[instance]);
    scheduleCheck(instance);
  });
}

auto EdgeModel::scheduleSnapshot() -> void {
  std::map<std::string, ObjectList> all;
  for (const auto &it : prefixes())
    if (auto list = Store.list(it); list.ok())
      all[it] = *std::move(list);
  Snapshots.push_back(std::move(all));
  if (Snapshots.size() > MaxSnapshots)
    Snapshots.pop_front();
  StoreCopies.push_back(Store.copy());
  if (StoreCopies.size() > MaxCopies)
    StoreCopies.pop_front();
  after(SnapshotInterval, [this] { scheduleSnapshot(); });
}

auto EdgeModel::restoreStore(Duration age) -> void {
  constexpr Duration RewriteTime = seconds(1);
  const auto n = static_cast<std::size_t>(age / SnapshotInterval);
  Store.restore(
      *(StoreCopies.end() - 1 -
        static_cast<std::ptrdiff_t>(std::min(n, StoreCopies.size() - 1))));
  Checker.faults().recordFault(RuleChecker::store(), now());
  for (std::size_t i = 0; i < UpstreamEntries.size(); ++i) {
    const auto &entry = UpstreamEntries[i];
    if (!entry.Ended && entry.Model->state() == UpstreamState::Running)
      after(Random.jitter(HeartbeatInterval),
            [this, i] { registerUpstream(i); });
    else
      scheduleRecordExpiry(i);
  }
  after(Random.jitter(RewriteTime), [this] {
    writeConfiguration();
    for (std::size_t i = 0; i < Options.DataCentres; ++i)
      writeWithdrawal(i);
  });
}

auto EdgeModel::readSnapshot(const std::string &prefix) -> ObjectList {
  return Snapshots[Random.below(Snapshots.size())][prefix];
}

auto EdgeModel::staleVersion() const -> ObjectVersion {
  const auto n = std::min(StoreCopies.size(), MaxSnapshots);
  return StoreCopies.empty() ? 0 : StoreCopies[StoreCopies.size() - n].Version;
}

auto EdgeModel::prefixes() const -> std::array<std::string, 4> {
  return {Format.upstreamPrefix(), Format.configurationPrefix(),
          Format.withdrawalPrefix(), Format.memberPrefix()};
}

auto EdgeModel::checkReady(InstanceEntry &entry) -> void {
  if (entry.Instance->isReady()) {
    entry.FailedChecks = 0;
    entry.InRotation = true;
  } else if (++entry.FailedChecks >= FailedChecksToRemove) {
    entry.InRotation = false;
  }
}

auto EdgeModel::chooseInstance(DataCentreId from, const FlowKey &f)
    -> InstanceEntry * {
  const auto first = indexOf(from);
  for (std::size_t i = 0; i < Options.DataCentres; ++i) {
    const auto dc = (first + i) % Options.DataCentres;
    std::vector<InstanceEntry *> all;
    std::vector<InstanceEntry *> ready;
    for (auto &it : InstanceEntries) {
      if (it.DataCentre != dc)
        continue;
      all.push_back(&it);
      if (it.InRotation)
        ready.push_back(&it);
    }
    if (ready.empty())
      continue;
    // Routers fail open: if fewer than half of the instances are ready, all of
    // them get packets.
    const auto &in = 2 * ready.size() < all.size() ? all : ready;
    return in[hashFlow(f) % in.size()];
  }
  return nullptr;
}

auto EdgeModel::indexOf(DataCentreId d) const -> std::size_t {
  const auto it = std::find(DataCentreIds.begin(), DataCentreIds.end(), d);
  return static_cast<std::size_t>(it - DataCentreIds.begin());
}

auto EdgeModel::isCut(std::size_t a, std::size_t b) const -> bool {
  return a != b && (CutDataCentres.contains(a) || CutDataCentres.contains(b));
}

auto EdgeModel::findPeer(const ModelInstance &from, const Endpoint &at)
    -> ModelInstance * {
  const auto n = at.Address - InstanceNet;
  if (n >= InstanceEntries.size())
    return nullptr;
  auto &to = *InstanceEntries[n].Instance;
  const auto isReached =
      to.isRunning() && !to.isFrozen() && !to.isCutOff() && !from.isCutOff() &&
      !isCut(indexOf(from.self().DataCentre), InstanceEntries[n].DataCentre);
  return isReached ? &to : nullptr;
}

auto EdgeModel::sendToEdge(DataCentreId from, CallerPacket p) -> void {
  after(CallerDelay, [this, from, p = std::move(p)] {
    if (auto *entry = chooseInstance(from, p.Header.Flow))
      entry->Instance->receive(p);
  });
}

auto EdgeModel::sendToCaller(const Reply &r) -> void {
  after(CallerDelay, [this, r] {
    for (const auto &it : Callers)
      if (it->hasFlow(r.Flow))
        return it->receive(r);
  });
}

auto EdgeModel::applyDecision(const ModelInstance &from, const CallerPacket &p,
                              const EdgeDecision &d) -> void {
  const auto &name = from.self().Name;
  if (d.Action == EdgeAction::Reset) {
    Checker.checkReset(p, name, d.Reason, now());
    Reply r;
    r.Flow = p.Header.Flow;
    return sendToCaller(r);
  }
  if (d.Action == EdgeAction::Drop)
    return;
  const auto &to = d.Upstream->Record;
  const auto isLocal = to.DataCentre == from.self().DataCentre;
  if (from.isCutOff() ||
      isCut(indexOf(from.self().DataCentre), indexOf(to.DataCentre)))
    return;
  if (p.Header.Opens) {
    ++Outcome.OpeningPackets;
    Outcome.RemoteOpeningPackets += isLocal ? 0 : 1;
  }
  auto tagged = p;
  tagged.Header.Tag = d.Upstream->Tag;
  after(isLocal ? LocalDelay : RemoteDelay,
        [this, name, to = to.Address, id = to.WireId,
         tagged = std::move(tagged)] { deliver(name, to, id, tagged); });
}

auto EdgeModel::deliver(const std::string &from, const Endpoint &to,
                        std::uint64_t wireId, const CallerPacket &p) -> void {
  const auto it = UpstreamAt.find(to);
  if (it == UpstreamAt.end())
    return;
  const auto &entry = UpstreamEntries[it->second];
  // An upstream takes only packets that carry its own wire ID; the address may
  // have belonged to another lifetime.
  if (entry.Model->record().WireId != wireId)
    return;
  ForwardingInstance = from;
  entry.Model->receive(p);
}

auto EdgeModel::onFlowAccepted(const ModelUpstream &u, const CallerPacket &p)
    -> void {
  Checker.checkOpening(u, p, ForwardingInstance, now());
}

auto EdgeModel::onFlowPacket(const ModelUpstream &u, const CallerPacket &p,
                             bool hasFlow) -> void {
  Checker.checkPacket(u, p, hasFlow, now());
}

auto EdgeModel::onWorkStarted(Request &r) -> void {
  ++r.Runs;
  Checker.checkRun(r, now());
}

auto EdgeModel::onRequestEnded(const Request &r, bool isServed) -> void {
  ++Outcome.Requests;
  if (!isServed)
    return;
  const auto took = now() - r.SentAt;
  ++Outcome.Served;
  Outcome.Late += took > Options.ResponseTimeTarget ? 1 : 0;
  Outcome.ResponseTime += took;
}

auto EdgeModel::whenStoreAvailable(std::function<void()> f) -> void {
  if (CurrentStoreCondition == StoreCondition::Answers)
    return f();
  after(StoreRetryInterval,
        [this, f = std::move(f)] { whenStoreAvailable(f); });
}

auto EdgeModel::write(const std::string &key,
                      std::function<std::string()> value,
                      std::function<void()> accepted) -> void {
  whenStoreAvailable(
      [this, key, value = std::move(value), accepted = std::move(accepted)] {
        if (Store.put(key, value(), Store.currentVersion(key)).ok())
          return accepted();
        after(StoreRetryInterval,
              [this, key, value, accepted] { write(key, value, accepted); });
      });
}

auto EdgeModel::erase(const std::string &key, std::function<void()> accepted)
    -> void {
  whenStoreAvailable([this, key, accepted = std::move(accepted)] {
    const auto version = Store.currentVersion(key);
    if (version != 0 && !Store.remove(key, version).ok())
      return after(StoreRetryInterval,
                   [this, key, accepted] { erase(key, accepted); });
    if (accepted)
      accepted();
  });
}

auto EdgeModel::writeConfiguration() -> void {
  write(
      Format.configurationPrefix() + "main",
      [this] { return formatConfiguration(Configuration); },
      [this] { Checker.onRoutes(Configuration, now()); });
}

auto EdgeModel::registerUpstream(std::size_t upstream) -> void {
  const auto &entry = UpstreamEntries[upstream];
  if (entry.Ended || entry.Model->state() != UpstreamState::Running ||
      UnregisteredDataCentres.contains(entry.DataCentre))
    return;
  const auto model = entry.Model;
  const auto name = model->record().Name;
  write(
      Format.upstreamPrefix() + name,
      [model] { return formatUpstreamRecord(model->nextReport()); },
      [this, model, name, upstream] {
        if (model->record().Draining)
          Checker.onDrainAccepted(name, now());
        // The upstream may have ended while the store was unavailable.
        if (UpstreamEntries[upstream].Ended && !hasRestarted(upstream))
          erase(Format.upstreamPrefix() + name);
      });
}

auto EdgeModel::scheduleRecordExpiry(std::size_t upstream) -> void {
  after(RecordTimeout, [this, upstream] {
    whenStoreAvailable([this, upstream] {
      const auto &entry = UpstreamEntries[upstream];
      const auto isOver =
          entry.Ended || entry.Model->state() != UpstreamState::Running;
      if (isOver && !hasRestarted(upstream))
        erase(Format.upstreamPrefix() + entry.Model->record().Name);
    });
  });
}

} // namespace boragebridge::edge_model
