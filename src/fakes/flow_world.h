/// \file
/// A simulated environment of the flow controller, for tests and benches:
/// instances that run only this controller, upstreams that behave like TCP
/// hosts, and callers whose packets the fabric delivers to random instances.
#ifndef BORAGEBRIDGE_FAKES_FLOW_WORLD_H
#define BORAGEBRIDGE_FAKES_FLOW_WORLD_H

#include "fakes/fleet.h"
#include "flow/flow_controller.h"

#include <map>
#include <set>
#include <unordered_set>

namespace boragebridge::fakes {

/// Returns options with a short idle time-out, so that a test covers a whole
/// change of the placement.
inline auto quickFlowOptions() -> FlowOptions {
  FlowOptions opt;
  opt.IdleTimeout = std::chrono::seconds(20);
  return opt;
}

/// The environment, with one service in one data centre unless a test adds
/// more. Not thread-safe.
class FlowWorld {
public:
  static constexpr auto OpenRetryInterval = std::chrono::seconds(1);
  static inline const Endpoint ServiceAddress{0x0A640001, 443};

  explicit FlowWorld(std::uint64_t seed = 1,
                     FlowOptions opt = quickFlowOptions())
      : Options(opt), Random(seed * 7919), Nodes(fleetOptions(seed)) {
    Nodes.OnUpstreamPacket = [this](Instance &it, const Endpoint &to,
                                    const Packet &p) { onUpstream(it, to, p); };
    Nodes.OnCallerPacket = [this](Instance &, const Packet &p) { onCaller(p); };
    Config.RevisionNumber = Revision{1};
    Config.DataCentres.push_back(
        {idFromName<DataCentreId>("palermo"), "palermo", false});
    Config.Services.push_back(
        {idFromName<ServiceId>("board"), "board", "", ServiceAddress});
  }

  auto addUpstream(const std::string &name, std::uint32_t number,
                   const std::string &service = "board",
                   const std::string &dc = "palermo") -> void {
    Upstream u;
    u.Id = idFromName<UpstreamId>(name);
    u.Name = name;
    u.Service = idFromName<ServiceId>(service);
    u.DataCentre = idFromName<DataCentreId>(dc);
    u.Address = {0x0AC80000 + number, 9000};
    Config.Upstreams.push_back(u);
  }

  auto upstream(const std::string &name) -> Upstream & {
    for (auto &u : Config.Upstreams)
      if (u.Name == name)
        return u;
    throw std::out_of_range(name);
  }

  /// Starts \p instances instances and \p upstreams upstreams, and runs until
  /// the first generation of the slot placement is in use.
  auto start(int instances, std::uint32_t upstreams) -> void {
    for (std::uint32_t i = 0; i < upstreams; ++i)
      addUpstream("u" + std::to_string(i), i);
    for (int i = 0; i < instances; ++i)
      addInstance("i" + std::to_string(i));
    acceptConfiguration();
    run(std::chrono::seconds(4));
  }

  auto addInstance(const std::string &name) -> void {
    Nodes.addInstance(name, "palermo");
    if (raw(Config.RevisionNumber) > 1)
      Nodes.publishConfiguration(name, Config);
    Names.push_back(name);
    Nodes.publishMembership();
  }

  /// Gives Config a new revision and publishes it to all instances: at once, or
  /// each at a random time within MaxConfigurationSkew.
  auto acceptConfiguration() -> void {
    Config.RevisionNumber = Revision{raw(Config.RevisionNumber) + 1};
    for (auto *it : Nodes.running())
      publishWithDelay(it->identity().Name,
                       MaxConfigurationSkew == Duration{}
                           ? Duration{}
                           : randomDelay(MaxConfigurationSkew));
  }

  /// Gives Config a new revision and publishes it to all instances at once,
  /// except to instance \p name, which receives it after \p delay.
  auto acceptConfigurationLate(const std::string &name, Duration delay)
      -> void {
    Config.RevisionNumber = Revision{raw(Config.RevisionNumber) + 1};
    for (auto *it : Nodes.running())
      if (it->identity().Name != name)
        Nodes.publishConfiguration(it->identity().Name, Config);
    publishWithDelay(name, delay);
  }

  /// Publishes Config as it is now to instance \p name after \p delay, unless
  /// the instance has this revision or a newer one by then.
  auto publishWithDelay(const std::string &name, Duration delay) -> void {
    if (delay == Duration{}) {
      Nodes.publishConfiguration(name, Config);
      return;
    }
    Nodes.Network.after(delay, [this, name, cfg = Config] {
      if (!Nodes.isRunning(name))
        return;
      const auto own = Nodes.instance(name).board().Configuration.read();
      if (own->RevisionNumber < cfg.RevisionNumber)
        Nodes.publishConfiguration(name, cfg);
    });
  }

  /// Kills instance \p name and publishes the new membership to the others
  /// after \p detectionTime.
  auto kill(const std::string &name, Duration detectionTime) -> void {
    Nodes.kill(name);
    std::erase(Names, name);
    Nodes.Network.after(detectionTime, [this] { Nodes.publishMembership(); });
  }

  auto stop(const std::string &name) -> void {
    Nodes.beginStop(name);
    Nodes.publishMembership();
  }

  /// Opens a flow. Its packets follow at random times, each delivered to a
  /// random instance.
  auto open(const Endpoint &service = ServiceAddress) -> FlowKey {
    const FlowKey k{{0x0B000000 + NextCaller / 60000,
                     static_cast<std::uint16_t>(NextCaller % 60000 + 1)},
                    service,
                    6};
    ++NextCaller;
    Flows[k] = {};
    send(k, PacketKind::FlowOpen);
    scheduleOpenRetry(k);
    return k;
  }

  auto openMany(int n) -> void {
    for (int i = 0; i < n; ++i) {
      Nodes.Network.after(randomDelay(std::chrono::seconds(1)),
                          [this] { open(); });
    }
    run(std::chrono::milliseconds(1200));
  }

  auto send(const FlowKey &k, PacketKind kind) -> void {
    sendVia(randomInstance(), k, kind);
  }
  auto sendVia(const std::string &name, const FlowKey &k, PacketKind kind)
      -> void {
    if (OnFabricPacket)
      OnFabricPacket(name, k, kind);
    Nodes.fromFabric(name, {kind, k, {}});
  }
  auto randomInstance() -> std::string {
    return Names[Random.below(Names.size())];
  }

  /// Advances the clock by \p d. Instances that have ended receive no more
  /// packets.
  auto run(Duration d) -> void {
    constexpr auto Step = std::chrono::milliseconds(10);
    for (Duration done{}; done < d; done += Step) {
      Nodes.run(Step);
      const auto before = Names.size();
      std::erase_if(Names,
                    [this](const auto &n) { return !Nodes.isRunning(n); });
      if (Names.size() != before)
        Nodes.publishMembership();
    }
  }

  auto randomDelay(Duration d) -> Duration {
    return Duration(static_cast<std::int64_t>(
        Random.below(static_cast<std::uint64_t>(d.count()))));
  }

  struct Flow {
    bool Established = false;
    bool Broken = false;
    bool Closed = false;
  };

  auto brokenFlows() const -> int {
    int n = 0;
    for (const auto &[k, f] : Flows)
      n += f.Broken ? 1 : 0;
    return n;
  }
  auto establishedFlows() const -> int {
    int n = 0;
    for (const auto &[k, f] : Flows)
      n += f.Established && !f.Broken ? 1 : 0;
    return n;
  }
  /// Returns the number of broken flows whose upstream is dead.
  auto unavoidablyBroken() const -> int {
    int n = 0;
    for (const auto &a : DeadUpstreams)
      if (auto it = OpenFlows.find(a); it != OpenFlows.end())
        for (const auto &k : it->second)
          n += Flows.at(k).Broken ? 1 : 0;
    return n;
  }
  auto counterSum(const std::string &name) -> std::uint64_t {
    std::uint64_t n = 0;
    for (auto *it : Nodes.running())
      n += it->metrics().counterValue(name);
    return n;
  }
  auto controller(const std::string &name) -> FlowController & {
    return dynamic_cast<FlowController &>(
        *Nodes.instance(name).findController("flow"));
  }
  auto unsettledSlots(const std::string &name) -> std::size_t {
    std::size_t n = 0;
    for (const auto &[id, p] : controller(name).agreement().placements())
      n += p.unsettledSlots().size();
    return n;
  }

  /// Mean time between two data packets of a flow.
  Duration PacketInterval = std::chrono::seconds(1);
  /// Called with each packet that the fabric delivers to an instance.
  std::function<void(const std::string &, const FlowKey &, PacketKind)>
      OnFabricPacket;
  /// Instances receive a new configuration at random times within this period.
  Duration MaxConfigurationSkew{};
  FlowOptions Options;
  SeededRandom Random;
  Configuration Config;
  fakes::Fleet Nodes;
  std::vector<std::string> Names;
  std::unordered_map<FlowKey, Flow> Flows;
  /// Number of opening packets that reached each upstream address.
  std::map<Endpoint, int> Opens;
  /// Number of packets of any kind that reached each upstream address.
  std::map<Endpoint, int> Packets;
  /// Addresses of upstreams that do not answer at all.
  std::set<Endpoint> DeadUpstreams;
  /// Flows whose packets the upstream drops without an answer or a reset.
  std::set<FlowKey> UnansweredFlows;
  int Misdelivered = 0;

private:
  auto fleetOptions(std::uint64_t seed) -> fakes::FleetOptions {
    fakes::FleetOptions opt;
    opt.Seed = seed;
    opt.MakeControllers = [this](const ControllerContext &ctx) {
      ControllerList all;
      all.push_back(std::make_unique<FlowController>(ctx, Options));
      return all;
    };
    return opt;
  }

  auto scheduleOpenRetry(const FlowKey &k) -> void {
    Nodes.Network.after(OpenRetryInterval, [this, k] {
      if (Flows.at(k).Established || Names.empty())
        return;
      send(k, PacketKind::FlowOpen);
      scheduleOpenRetry(k);
    });
  }

  auto scheduleData(const FlowKey &k) -> void {
    Nodes.Network.after(PacketInterval / 2 + randomDelay(PacketInterval),
                        [this, k] {
                          const auto &f = Flows.at(k);
                          if (f.Broken || f.Closed || Names.empty())
                            return;
                          send(k, PacketKind::FlowData);
                          scheduleData(k);
                        });
  }

  auto answer(Instance &via, const Endpoint &from, Packet p) -> void {
    constexpr auto Delay = std::chrono::microseconds(300);
    Nodes.Network.after(
        Delay, [this, name = via.identity().Name, from, p = std::move(p)] {
          Nodes.fromUpstream(name, from, p);
        });
  }

  /// Handles a packet at an upstream: answers packets of open flows and resets
  /// all others.
  auto onUpstream(Instance &via, const Endpoint &to, const Packet &p) -> void {
    ++Packets[to];
    LastServiceAt[to] = p.Flow.Service;
    const auto it = HostedService.find(to);
    if (it != HostedService.end() && it->second != p.Flow.Service)
      ++Misdelivered;
    if (DeadUpstreams.contains(to) || UnansweredFlows.contains(p.Flow))
      return;
    auto &known = OpenFlows[to];
    if (p.Kind == PacketKind::FlowOpen) {
      ++Opens[to];
      known.insert(p.Flow);
    }
    if (!known.contains(p.Flow)) {
      answer(via, to, {PacketKind::FlowReset, p.Flow, {}});
      return;
    }
    if (p.Kind == PacketKind::FlowClose)
      known.erase(p.Flow);
    answer(via, to, {PacketKind::FlowData, p.Flow, {}});
  }

  auto onCaller(const Packet &p) -> void {
    auto it = Flows.find(p.Flow);
    if (it == Flows.end())
      return;
    auto &f = it->second;
    if (p.Kind == PacketKind::FlowReset) {
      f.Broken |= f.Established && !f.Closed;
      return;
    }
    if (f.Established)
      return;
    f.Established = true;
    scheduleData(p.Flow);
  }

  std::unordered_map<Endpoint, std::unordered_set<FlowKey>> OpenFlows;
  std::uint32_t NextCaller = 0;

public:
  /// Service address of the latest packet at each upstream.
  std::map<Endpoint, Endpoint> LastServiceAt;
  /// Service address that each upstream address serves. Packets of other
  /// services count as misdelivered. Upstreams without an entry are not
  /// checked.
  std::map<Endpoint, Endpoint> HostedService;
};

} // namespace boragebridge::fakes

#endif
