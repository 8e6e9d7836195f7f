/// \file
/// A fleet of instances that run only a health controller, with upstream models
/// behind them.
#ifndef BORAGEBRIDGE_TEST_HEALTH_HEALTH_FLEET_H
#define BORAGEBRIDGE_TEST_HEALTH_HEALTH_FLEET_H

#include "fakes/fleet.h"
#include "fakes/upstream_model.h"
#include "health/health_controller.h"

#include <memory>

namespace boragebridge::fakes {

/// Sends requests of one service as the published views allow: each instance
/// sends to an upstream that it may admit to.
class HealthFleet {
public:
  static constexpr ServiceId Booking{7};
  static constexpr Endpoint BookingAddress{0x0A010001, 80};

  explicit HealthFleet(std::uint64_t seed, std::size_t instances = 8)
      : Instances({.Seed = seed,
                   .MakeControllers = makeOnlyHealth,
                   .MakePlatform = {}}) {
    Config.RevisionNumber = Revision{1};
    Config.DataCentres = {
        {DataCentreId{raw(idFromName<DataCentreId>("pa"))}, "pa", false}};
    Config.Services = {{Booking, "booking", "cenacolo", BookingAddress}};
    Instances.OnUpstreamPacket = [this](Instance &from, const Endpoint &to,
                                        const Packet &p) {
      onProbe(from, to, p);
    };
    for (std::size_t i = 0; i < instances; ++i)
      Instances.addInstance("i" + std::to_string(i), "pa");
  }

  /// Adds \p n upstreams that start cold if \p cold is true, and warm
  /// otherwise.
  auto addUpstreams(std::size_t n, bool cold) -> void {
    for (std::size_t i = 0; i < n; ++i) {
      const auto name = "u" + std::to_string(Hosts.size());
      const Endpoint address{
          0x0A020000 + static_cast<std::uint32_t>(Hosts.size()), 80};
      Config.Upstreams.push_back({.Id = idFromName<UpstreamId>(name),
                                  .Name = name,
                                  .Service = Booking,
                                  .DataCentre = Config.DataCentres.front().Id,
                                  .Address = address});
      Hosts.push_back(std::make_unique<UpstreamModel>(
          UpstreamOptions{.Service = Booking,
                          .ServiceAddress = BookingAddress,
                          .StartsCold = cold,
                          .Seed = Hosts.size() + 1},
          Instances.Time.now()));
    }
    publish();
  }
  auto publish() -> void {
    Config.RevisionNumber = Revision{raw(Config.RevisionNumber) + 1};
    Instances.publishMembership();
    Instances.publishConfiguration(Config);
  }

  /// Runs for \p d; every instance attempts \p perSecond requests per second.
  auto run(Duration d, double perSecond) -> void {
    const auto end = Instances.Time.now() + d;
    while (Instances.Time.now() < end) {
      Instances.run(std::chrono::milliseconds(1));
      pollHosts();
      for (auto *i : Instances.running())
        if (Instances.Random.unit() < perSecond / 1000)
          sendFrom(*i);
    }
  }

  /// Sends one request from \p from to an upstream that it may admit to. The
  /// whole fleet has one request in flight to an upstream that is not Ready,
  /// and at most two to one that is. Returns false if no upstream is available.
  auto sendFrom(Instance &from) -> bool {
    std::vector<std::size_t> admitting;
    const auto view = from.board().Health.read();
    for (std::size_t n = 0; n < Hosts.size(); ++n) {
      auto it = view->Upstreams.find(id(n));
      if (it == view->Upstreams.end() || !it->second.MayAdmit)
        continue;
      const auto limit = it->second.Fitness == UpstreamFitness::Ready ? 2U : 1U;
      if (InFlight[n] < limit)
        admitting.push_back(n);
    }
    if (admitting.empty())
      return false;
    send(from, admitting[Instances.Random.below(admitting.size())]);
    return true;
  }
  auto send(Instance &from, std::size_t n) -> void {
    const auto number = ++SentCount;
    PendingRequests[number] = {from.identity().Name, n, Instances.Time.now()};
    ++InFlight[n];
    observer(from).onWorkSent(id(n));
    Hosts[n]->execute(Instances.Time.now(),
                      {.Key = {CallerId{1}, number}, .Service = Booking});
  }

  auto view(const std::string &name, std::size_t n) -> UpstreamHealth {
    const auto v = Instances.instance(name).board().Health.read();
    auto it = v->Upstreams.find(id(n));
    return it == v->Upstreams.end() ? UpstreamHealth{} : it->second;
  }
  /// Returns the number of instances that see upstream \p n with fitness \p f;
  /// countAdmitting() returns the number of instances that may admit to it.
  auto countFitness(std::size_t n, UpstreamFitness f) -> std::size_t {
    std::size_t count = 0;
    for (auto *i : Instances.running())
      count += view(i->identity().Name, n).Fitness == f ? 1 : 0;
    return count;
  }
  auto countAdmitting(std::size_t n) -> std::size_t {
    std::size_t count = 0;
    for (auto *i : Instances.running())
      count += view(i->identity().Name, n).MayAdmit ? 1 : 0;
    return count;
  }
  static auto observer(Instance &i) -> HealthController & {
    return dynamic_cast<HealthController &>(*i.findController("health"));
  }
  static auto id(std::size_t n) -> UpstreamId {
    return idFromName<UpstreamId>("u" + std::to_string(n));
  }

  Fleet Instances;
  Configuration Config;
  std::vector<std::unique_ptr<UpstreamModel>> Hosts;

private:
  struct Attempt {
    std::string From;
    std::size_t Host = 0;
    TimePoint SentAt;
  };

  static auto makeOnlyHealth(const ControllerContext &ctx) -> ControllerList {
    ControllerList all;
    all.push_back(makeHealthController(ctx));
    return all;
  }
  auto onProbe(Instance &from, const Endpoint &to, const Packet &p) -> void {
    const auto n = to.Address - 0x0A020000;
    if (p.Kind != PacketKind::Probe || n >= Hosts.size())
      return;
    const auto report = Hosts[n]->report(Instances.Time.now());
    if (!report)
      return;
    Packet answer{PacketKind::Report, {}, encodeReport(*report)};
    Instances.Network.after(std::chrono::milliseconds(1),
                            [this, name = from.identity().Name, to, answer] {
                              Instances.fromUpstream(name, to, answer);
                            });
  }
  auto pollHosts() -> void {
    const auto now = Instances.Time.now();
    for (auto &host : Hosts)
      for (const auto &r : host->poll(now))
        onResult(r);
    for (auto it = PendingRequests.begin(); it != PendingRequests.end();) {
      const auto expired = now - it->second.SentAt >= std::chrono::seconds(1);
      if (expired)
        --InFlight[it->second.Host];
      if (expired && Instances.isRunning(it->second.From))
        observer(Instances.instance(it->second.From))
            .onTimeout(id(it->second.Host));
      it = expired ? PendingRequests.erase(it) : std::next(it);
    }
  }
  auto onResult(const ExecuteResult &r) -> void {
    auto it = PendingRequests.find(r.Key.Number);
    if (it == PendingRequests.end())
      return;
    const auto a = it->second;
    PendingRequests.erase(it);
    --InFlight[a.Host];
    if (!Instances.isRunning(a.From))
      return;
    auto &to = observer(Instances.instance(a.From));
    if (r.Kind == ResultKind::Answer)
      to.onAnswer(id(a.Host), Instances.Time.now() - a.SentAt);
    else
      to.onRefusal(id(a.Host), r.Reason);
  }

  std::map<std::uint64_t, Attempt> PendingRequests;
  std::unordered_map<std::size_t, std::uint32_t> InFlight;
  std::uint64_t SentCount = 0;
};

} // namespace boragebridge::fakes

#endif
