// The member functions of EdgeModel that inject faults and play operators.
#include "edge_model/edge_model.h"

namespace boragebridge::edge_model {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// From the start of a graceful stop to the end of the process.
static constexpr Duration StopTime = milliseconds(2200);
static constexpr Duration RestartTime = milliseconds(300);
/// From the record that announces the drain of an upstream to the upstream's
/// end.
static constexpr Duration DrainTime = milliseconds(4000);
/// Time after the end of an upstream before its address is used again.
static constexpr Duration AddressReuseDelay = milliseconds(2000);
static constexpr Duration ColdTime = seconds(4);
static constexpr Duration RouteProbeInterval = milliseconds(700);
static constexpr std::uint32_t ProbeNet = 0x647F0000;
static constexpr std::size_t MovableRouteCount = 8;
static constexpr std::uint16_t FirstMovableRoutePort = 500;

auto EdgeModel::kill(std::size_t instance) -> void {
  auto &model = *InstanceEntries[instance].Instance;
  Checker.faults().recordFault(model.self().Name, now());
  model.kill();
}

auto EdgeModel::start(std::size_t instance) -> void {
  auto &model = *InstanceEntries[instance].Instance;
  Checker.faults().recordFault(model.self().Name, now());
  model.start();
}

auto EdgeModel::roll(std::size_t instance) -> void {
  auto &model = *InstanceEntries[instance].Instance;
  Checker.faults().begin(model.self().Name);
  model.beginStop();
  after(StopTime, [this, instance] { kill(instance); });
  after(StopTime + RestartTime, [this, instance] {
    start(instance);
    Checker.faults().end(InstanceEntries[instance].Instance->self().Name,
                         now());
  });
}

auto EdgeModel::setAffected(const std::string &component, bool isAffected)
    -> void {
  if (isAffected)
    Checker.faults().begin(component);
  else
    Checker.faults().end(component, now());
}

auto EdgeModel::setFrozen(std::size_t instance, bool frozen) -> void {
  auto &model = *InstanceEntries[instance].Instance;
  setAffected(model.self().Name, frozen);
  model.setFrozen(frozen);
}

auto EdgeModel::setCutOff(std::size_t instance, bool cut) -> void {
  auto &model = *InstanceEntries[instance].Instance;
  setAffected(model.self().Name, cut);
  model.setCutOff(cut);
}

auto EdgeModel::setInstanceStore(std::size_t instance, StoreCondition c)
    -> void {
  auto &model = *InstanceEntries[instance].Instance;
  setAffected(model.self().Name, c != StoreCondition::Answers);
  model.setInstanceStore(c);
}

auto EdgeModel::loseNextWatchAnswers() -> void {
  // The store accepts the change while nothing affects it, and loses the answer
  // afterwards.
  const auto onLost = [this] {
    after(Duration::zero(), [this] {
      Checker.faults().recordFault(RuleChecker::store(), now());
    });
  };
  for (auto &it : InstanceEntries)
    for (const auto &prefix : prefixes())
      it.Instance->loseNextWatchAnswer(prefix, onLost);
}

auto EdgeModel::setStore(StoreCondition c, Duration delay) -> void {
  const auto isAffected = c != StoreCondition::Answers || delay > StoreDelay;
  const auto wasAffected = CurrentStoreCondition != StoreCondition::Answers ||
                           CurrentStoreDelay > StoreDelay;
  if (isAffected != wasAffected)
    setAffected(RuleChecker::store(), isAffected);
  CurrentStoreCondition = c;
  CurrentStoreDelay = delay;
  for (const auto &it : InstanceEntries)
    it.Instance->setSharedStore(c, delay);
}

auto EdgeModel::dropHistory() -> void {
  Checker.faults().recordFault(RuleChecker::store(), now());
  Store.dropHistory();
}

auto EdgeModel::setDataCentreCut(std::size_t dataCentre, bool cut) -> void {
  if (cut)
    CutDataCentres.insert(dataCentre);
  else
    CutDataCentres.erase(dataCentre);
  for (auto &it : InstanceEntries) {
    if (it.DataCentre != dataCentre)
      continue;
    setAffected(it.Instance->self().Name, cut);
    it.Instance->setStoreCut(cut);
  }
  for (const auto &it : UpstreamEntries)
    if (it.DataCentre == dataCentre)
      setAffected(it.Model->record().Name, cut);
}

auto EdgeModel::setUpstreamState(std::size_t upstream, UpstreamState s)
    -> void {
  auto &entry = UpstreamEntries[upstream];
  Checker.faults().recordFault(entry.Model->record().Name, now());
  entry.Model->setState(s);
  if (s == UpstreamState::Running)
    registerUpstream(upstream);
  else
    scheduleRecordExpiry(upstream);
}

auto EdgeModel::setRecordsMissing(std::size_t dataCentre, bool missing)
    -> void {
  if (missing)
    UnregisteredDataCentres.insert(dataCentre);
  else
    UnregisteredDataCentres.erase(dataCentre);
  for (const auto n : upstreams()) {
    if (UpstreamEntries[n].DataCentre != dataCentre)
      continue;
    if (missing)
      erase(Format.upstreamPrefix() + UpstreamEntries[n].Model->record().Name);
    else
      registerUpstream(n);
  }
}

auto EdgeModel::setUpstreamSpeed(std::size_t upstream, double factor) -> void {
  auto &model = *UpstreamEntries[upstream].Model;
  model.setSpeed(model.speed() * factor);
  setAffected(model.record().Name, factor < 1);
}

auto EdgeModel::endUpstream(std::size_t upstream) -> void {
  auto &entry = UpstreamEntries[upstream];
  if (entry.Ended)
    return;
  entry.Ended = true;
  entry.Model->setState(UpstreamState::Crashed);
  erase(Format.upstreamPrefix() + entry.Model->record().Name);
}

auto EdgeModel::restartUpstream(std::size_t upstream) -> void {
  constexpr Duration DownTime = milliseconds(50);
  auto &entry = UpstreamEntries[upstream];
  if (entry.Ended)
    return;
  auto r = entry.Model->record();
  r.Draining = false;
  r.Sequence = 0;
  entry.Ended = true;
  entry.Model->setState(UpstreamState::Crashed);
  Checker.faults().recordFault(r.Name, now());
  Checker.onUpstreamStarted(r.Name);
  after(DownTime,
        [this, r, dc = entry.DataCentre, speed = entry.Model->speed()] {
          startUpstream(dc, r, speed, {});
        });
}

auto EdgeModel::replaceUpstream(std::size_t upstream, bool reuseAddress)
    -> void {
  auto &entry = UpstreamEntries[upstream];
  if (entry.Ended || entry.Model->record().Draining)
    return;
  const auto r = entry.Model->record();
  const auto dc = entry.DataCentre;
  const auto speed = entry.Model->speed();
  entry.Model->setDraining();
  registerUpstream(upstream);
  after(DrainTime, [this, upstream] { endUpstream(upstream); });
  if (!reuseAddress) {
    addUpstream(dc, r.Service, nextAddress(dc), speed, ColdTime);
    return;
  }
  after(DrainTime + AddressReuseDelay, [this, r, dc, speed, upstream] {
    // An upstream that started again meanwhile keeps its address.
    if (hasRestarted(upstream))
      return;
    const auto other = r.Service == Bookings ? Uploads : Bookings;
    addUpstream(dc, other, r.Address, speed, ColdTime);
  });
}

auto EdgeModel::returnCold(std::size_t dataCentre) -> void {
  constexpr Duration DownTime = seconds(2);
  for (const auto n : upstreams()) {
    if (UpstreamEntries[n].DataCentre != dataCentre)
      continue;
    const auto r = UpstreamEntries[n].Model->record();
    const auto speed = UpstreamEntries[n].Model->speed();
    UpstreamEntries[n].Ended = true;
    UpstreamEntries[n].Model->setState(UpstreamState::Crashed);
    scheduleRecordExpiry(n);
    after(DownTime, [this, r, dataCentre, speed] {
      addUpstream(dataCentre, r.Service, r.Address, speed, ColdTime);
    });
  }
}

auto EdgeModel::setWithdrawn(std::size_t dataCentre, bool withdrawn) -> void {
  if (withdrawn)
    WithdrawnDataCentres.insert(dataCentre);
  else
    WithdrawnDataCentres.erase(dataCentre);
  writeWithdrawal(dataCentre);
}

auto EdgeModel::writeWithdrawal(std::size_t dataCentre) -> void {
  const auto withdrawn = WithdrawnDataCentres.contains(dataCentre);
  const auto key =
      Format.withdrawalPrefix() + "dc-" + std::to_string(dataCentre);
  const auto accepted = [this, dataCentre, withdrawn] {
    Checker.onWithdrawn(DataCentreIds[dataCentre], withdrawn, now());
  };
  if (withdrawn)
    write(
        key, [] { return "{}"; }, accepted);
  else
    erase(key, accepted);
}

auto EdgeModel::changeRoutes() -> void {
  RemovedRoute = AddedRoute;
  AddedRoute = Endpoint{BookingsAddress.Address, NextRoutePort++};
  ++Configuration.Version;
  std::erase_if(Configuration.Routes, [this](const auto &it) {
    return RemovedRoute && it.Address == *RemovedRoute;
  });
  Configuration.Routes.push_back({"added", *AddedRoute, {{Bookings, 1}}});
  writeConfiguration();
}

auto EdgeModel::setMovableRoute(std::size_t n, ServiceId service) -> void {
  for (auto &it : Configuration.Routes)
    if (it.Address == MovableRoutes[n])
      it.Services = {{service, 1}};
}

auto EdgeModel::moveNextRoute() -> void {
  if (MovableRoutes.empty()) {
    for (std::uint16_t i = 0; i < MovableRouteCount; ++i) {
      const auto port = static_cast<std::uint16_t>(FirstMovableRoutePort + i);
      MovableRoutes.push_back({BookingsAddress.Address, port});
      Configuration.Routes.push_back({"movable-" + std::to_string(i),
                                      MovableRoutes.back(),
                                      {{Bookings, 1}}});
    }
  }
  setMovableRoute(MovedRoute, Bookings);
  MovedRoute = (MovedRoute + 1) % MovableRoutes.size();
  setMovableRoute(MovedRoute, Uploads);
  ++Configuration.Version;
  writeConfiguration();
}

auto EdgeModel::moveRouteBack() -> void {
  setMovableRoute(MovedRoute, Bookings);
  ++Configuration.Version;
  writeConfiguration();
}

auto EdgeModel::scheduleProbe() -> void {
  after(RouteProbeInterval, [this] {
    if (AddedRoute)
      probeRoute(*AddedRoute);
    if (RemovedRoute)
      probeRoute(*RemovedRoute);
    for (const auto &it : MovableRoutes)
      probeRoute(it);
    scheduleProbe();
  });
}

auto EdgeModel::probeRoute(const Endpoint &address) -> void {
  for (const auto &it : InstanceEntries) {
    if (!it.Instance->isReady())
      continue;
    CallerPacket p;
    p.Header.Opens = true;
    p.Header.Sequence = 1;
    p.Header.Flow = {{ProbeNet, ++NextProbe}, address};
    p.SentAt = now();
    it.Instance->receive(p);
  }
}

} // namespace boragebridge::edge_model
