// The verbs of EdgeModel that bring trouble about.
#include "edge_model/edge_model.h"

namespace boragebridge::edge_model {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration StopTime = milliseconds(2200);
static constexpr Duration RestartTime = milliseconds(300);
/// From an upstream's notice that it leaves to its end.
static constexpr Duration LeaveTime = milliseconds(4000);
/// After it an address may be used again.
static constexpr Duration ReuseTime = milliseconds(2000);
static constexpr Duration ColdTime = seconds(4);
static constexpr Duration RouteProbeInterval = milliseconds(700);
static constexpr std::uint32_t ProbeNet = 0x647F0000;

auto EdgeModel::kill(std::size_t instance) -> void {
  auto &it = *Machines[instance].Instance;
  Judge.disturbances().note(it.self().Name, now());
  it.kill();
}

auto EdgeModel::start(std::size_t instance) -> void {
  auto &it = *Machines[instance].Instance;
  Judge.disturbances().note(it.self().Name, now());
  it.start();
}

auto EdgeModel::roll(std::size_t instance) -> void {
  auto &it = *Machines[instance].Instance;
  Judge.disturbances().begin(it.self().Name);
  it.beginStop();
  after(StopTime, [this, instance] { kill(instance); });
  after(StopTime + RestartTime, [this, instance] {
    start(instance);
    Judge.disturbances().end(Machines[instance].Instance->self().Name, now());
  });
}

auto EdgeModel::disturb(const std::string &part, bool isDisturbed) -> void {
  if (isDisturbed)
    Judge.disturbances().begin(part);
  else
    Judge.disturbances().end(part, now());
}

auto EdgeModel::setFrozen(std::size_t instance, bool frozen) -> void {
  auto &it = *Machines[instance].Instance;
  disturb(it.self().Name, frozen);
  it.setFrozen(frozen);
}

auto EdgeModel::setCutOff(std::size_t instance, bool cut) -> void {
  auto &it = *Machines[instance].Instance;
  disturb(it.self().Name, cut);
  it.setCutOff(cut);
}

auto EdgeModel::setOwnStore(std::size_t instance, StoreCondition c) -> void {
  auto &it = *Machines[instance].Instance;
  disturb(it.self().Name, c != StoreCondition::Answers);
  it.setOwnStore(c);
}

auto EdgeModel::setStore(StoreCondition c, Duration delay) -> void {
  const auto isDisturbed = c != StoreCondition::Answers || delay > StoreDelay;
  const auto wasDisturbed =
      StoreNow != StoreCondition::Answers || StoreDelayNow > StoreDelay;
  if (isDisturbed != wasDisturbed)
    disturb(Rules::store(), isDisturbed);
  StoreNow = c;
  StoreDelayNow = delay;
  for (const auto &it : Machines)
    it.Instance->setStore(c, delay);
}

auto EdgeModel::dropHistory() -> void {
  Judge.disturbances().note(Rules::store(), now());
  Store.dropHistory();
}

auto EdgeModel::setDataCentreCut(std::size_t dataCentre, bool cut) -> void {
  if (cut)
    CutCentres.insert(dataCentre);
  else
    CutCentres.erase(dataCentre);
  for (auto &it : Machines) {
    if (it.DataCentre != dataCentre)
      continue;
    disturb(it.Instance->self().Name, cut);
    it.Instance->setStoreCut(cut);
  }
  for (const auto &it : Hosts)
    if (it.DataCentre == dataCentre)
      disturb(it.Model->record().Name, cut);
}

auto EdgeModel::setUpstreamState(std::size_t upstream, UpstreamState s)
    -> void {
  auto &host = Hosts[upstream];
  Judge.disturbances().note(host.Model->record().Name, now());
  host.Model->setState(s);
  if (s == UpstreamState::Running)
    registerUpstream(upstream);
  else
    scheduleLapse(upstream);
}

auto EdgeModel::setUpstreamSpeed(std::size_t upstream, double factor) -> void {
  auto &it = *Hosts[upstream].Model;
  it.setSpeed(it.speed() * factor);
  disturb(it.record().Name, factor < 1);
}

auto EdgeModel::endUpstream(std::size_t upstream) -> void {
  auto &host = Hosts[upstream];
  host.Ended = true;
  host.Model->setState(UpstreamState::Crashed);
  erase(Format.upstreamPrefix() + host.Model->record().Name);
}

auto EdgeModel::replaceUpstream(std::size_t upstream, bool reuseAddress)
    -> void {
  auto &host = Hosts[upstream];
  if (host.Ended || host.Model->record().Draining)
    return;
  const auto r = host.Model->record();
  const auto dc = host.DataCentre;
  const auto speed = host.Model->speed();
  host.Model->setDraining();
  registerUpstream(upstream);
  after(LeaveTime, [this, upstream] { endUpstream(upstream); });
  if (!reuseAddress) {
    addUpstream(dc, r.Service, nextAddress(dc), speed, ColdTime);
    return;
  }
  after(LeaveTime + ReuseTime, [this, r, dc, speed] {
    const auto other = r.Service == Bookings ? Uploads : Bookings;
    addUpstream(dc, other, r.Address, speed, ColdTime);
  });
}

auto EdgeModel::returnCold(std::size_t dataCentre) -> void {
  constexpr Duration DownTime = seconds(2);
  for (const auto n : upstreams()) {
    if (Hosts[n].DataCentre != dataCentre)
      continue;
    const auto r = Hosts[n].Model->record();
    const auto speed = Hosts[n].Model->speed();
    Hosts[n].Ended = true;
    Hosts[n].Model->setState(UpstreamState::Crashed);
    scheduleLapse(n);
    after(DownTime, [this, r, dataCentre, speed] {
      addUpstream(dataCentre, r.Service, r.Address, speed, ColdTime);
    });
  }
}

auto EdgeModel::setWithdrawn(std::size_t dataCentre, bool withdrawn) -> void {
  const auto key =
      Format.withdrawalPrefix() + "dc-" + std::to_string(dataCentre);
  const auto accepted = [this, dataCentre, withdrawn] {
    Judge.onWithdrawn(Centres[dataCentre], withdrawn, now());
  };
  if (withdrawn)
    write(
        key, [] { return "{}"; }, accepted);
  else
    erase(key, accepted);
}

auto EdgeModel::changeRoutes() -> void {
  DroppedRoute = AddedRoute;
  AddedRoute = Endpoint{BookingsAddress.Address, NextRoutePort++};
  ++Configuration.Version;
  std::erase_if(Configuration.Routes, [this](const auto &it) {
    return DroppedRoute && it.Address == *DroppedRoute;
  });
  Configuration.Routes.push_back({"added", *AddedRoute, {{Bookings, 1}}});
  writeConfiguration();
}

auto EdgeModel::scheduleProbe() -> void {
  after(RouteProbeInterval, [this] {
    if (AddedRoute)
      probeRoute(*AddedRoute);
    if (DroppedRoute)
      probeRoute(*DroppedRoute);
    scheduleProbe();
  });
}

auto EdgeModel::probeRoute(const Endpoint &address) -> void {
  for (const auto &it : Machines) {
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
