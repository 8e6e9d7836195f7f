/// \file
/// A few instances' decisions under load, between fake upstreams and callers,
/// on a manual clock. Nothing is sent over a network.
///
/// Callers open a flow for each request, and try again at another instance when
/// it was refused, as often as MaxAttempts allows.
#ifndef BORAGEBRIDGE_TEST_EDGE_LOAD_LOAD_FIXTURE_H
#define BORAGEBRIDGE_TEST_EDGE_LOAD_LOAD_FIXTURE_H

#include "boragebridge/clock.h"
#include "edge/load/load_aware_policy.h"

#include <cmath>
#include <deque>
#include <functional>
#include <map>

namespace boragebridge {

/// An upstream with slots and a queue, which refuses requests when it is full.
struct FakeUpstream {
  std::string Name;
  DataCentreId DataCentre{};
  double Speed = 1;
  unsigned Active = 0;
  std::deque<std::function<void()>> Queue = {};
};

/// What callers of one route got.
struct RouteOutcome {
  double Asked = 0;
  double InTime = 0;
  double Lost = 0;

  auto inTimeShare() const -> double { return InTime / Asked; }
  auto lostShare() const -> double { return Lost / Asked; }
};

/// The parts of one instance that decide about new flows.
struct FakeInstance {
  FakeInstance(std::string name, DataCentreId dataCentre, std::uint64_t seed,
               LoadParts parts)
      : Name(std::move(name)), DataCentre(dataCentre), Random(seed),
        Quota(Name, {}), Base(Directory, Estimates, Quota, Random,
                              {.LocalDataCentre = dataCentre}),
        Subsets(Directory, Name, dataCentre),
        Policy(Base, Load, Subsets, Random, {.Parts = parts}) {}

  std::string Name;
  DataCentreId DataCentre;
  SeededRandom Random;
  UpstreamDirectory Directory;
  UpstreamEstimates Estimates;
  ColdStartQuota Quota;
  Picker Base;
  LoadControl Load;
  UpstreamSubsets Subsets;
  LoadAwarePolicy Policy;
  bool IsRunning = true;
};

/// Shape of the installation.
struct LoadShape {
  std::size_t DataCentres = 2;
  std::size_t InstancesEach = 6;
  std::size_t UpstreamsEach = 12;
};

class LoadFixture {
public:
  static constexpr Duration MeanWork = std::chrono::milliseconds(50);
  static constexpr Duration Target = std::chrono::milliseconds(600);
  static constexpr Duration OneWay = std::chrono::milliseconds(4);
  static constexpr std::size_t QueueLimit = 8;
  static constexpr unsigned Slots = 2;
  static constexpr unsigned MaxAttempts = 3;

  LoadFixture() = default;

  /// Starts the instances. Precondition: called once.
  auto start(LoadParts parts, LoadShape shape = {}) -> void {
    for (std::size_t d = 0; d < shape.DataCentres; ++d)
      for (std::size_t i = 0; i < shape.UpstreamsEach; ++i)
        Upstreams.push_back({"u-" + std::to_string(d) + "-" + std::to_string(i),
                             dataCentre(d)});
    for (std::size_t d = 0; d < shape.DataCentres; ++d)
      for (std::size_t i = 0; i < shape.InstancesEach; ++i)
        addInstance("i-" + std::to_string(d) + "-" + std::to_string(i),
                    dataCentre(d), parts);
    shareMembers();
    scheduleTick();
  }
  static auto dataCentre(std::size_t d) -> DataCentreId {
    return idFromName<DataCentreId>("d" + std::to_string(d));
  }
  /// Sends requests of \p route from \p dataCentre at \p perSecond for \p d.
  auto send(const RouteRecord &route, std::size_t dataCentre, double perSecond,
            Duration d) -> void {
    sendNext(route, LoadFixture::dataCentre(dataCentre), perSecond,
             Time.now() + d);
  }
  auto run(Duration d) -> void {
    const auto end = Time.now() + d;
    while (!Events.empty() && Events.begin()->first <= end) {
      const auto it = Events.begin();
      Time.advance(it->first - Time.now());
      const auto f = std::move(it->second);
      Events.erase(it);
      f();
    }
    Time.advance(end - Time.now());
  }
  auto instance(std::size_t i) -> FakeInstance & { return *Instances.at(i); }
  /// Replaces an instance by one that knows nothing of the load.
  auto restart(std::size_t i) -> void {
    const auto old = std::move(Instances.at(i));
    Instances.at(i) =
        makeInstance(old->Name, old->DataCentre, old->Policy.parts());
    shareMembers();
  }
  auto upstreams() -> std::vector<FakeUpstream> & { return Upstreams; }
  auto after(Duration d, std::function<void()> f) -> void {
    Events.emplace(Time.now() + d, std::move(f));
  }
  /// Withdraws the data centre \p d from all instances.
  auto withdraw(std::size_t d) -> void {
    for (auto &it : Instances)
      it->Directory.setWithdrawn({dataCentre(d)}, Time.now());
  }

  ManualClock Time;
  SeededRandom Random{11};
  const ServiceId Service = idFromName<ServiceId>("shop");
  const RouteRecord Urgent{"orders", {1, 1}, {{Service, 1}}, 1, Target};
  const RouteRecord Other{"prices", {1, 2}, {{Service, 1}}, 2, Target};
  std::map<std::string, RouteOutcome> Outcomes;
  /// Outcomes by data centre.
  std::map<DataCentreId, RouteOutcome> OutcomesByDataCentre;
  /// Requests that reached an upstream, and those that were refused there.
  double Arrivals = 0;
  double Refusals = 0;
  std::map<std::string, double> ArrivalsOf;

private:
  struct Request {
    RouteRecord Route;
    DataCentreId DataCentre{};
    TimePoint StartedAt;
    unsigned Attempts = 0;
  };

  auto makeInstance(const std::string &name, DataCentreId d, LoadParts parts)
      -> std::unique_ptr<FakeInstance> {
    auto out = std::make_unique<FakeInstance>(name, d, Random.next(), parts);
    std::vector<UpstreamRecord> all;
    for (std::size_t i = 0; i < Upstreams.size(); ++i) {
      UpstreamRecord r;
      r.Name = Upstreams[i].Name;
      r.WireId = i + 1;
      r.Service = Service;
      r.DataCentre = Upstreams[i].DataCentre;
      r.Address = {0x0A000001, static_cast<std::uint16_t>(i + 1)};
      r.Slots = Slots;
      all.push_back(r);
    }
    EdgeConfiguration c;
    c.Version = 1;
    c.Routes = {Urgent, Other};
    out->Directory.setConfiguration(c, TimePoint{});
    out->Directory.replaceUpstreams(all, Time.now());
    return out;
  }
  auto addInstance(const std::string &name, DataCentreId d, LoadParts parts)
      -> void {
    Instances.push_back(makeInstance(name, d, parts));
  }
  auto shareMembers() -> void {
    std::vector<MemberRecord> members;
    for (const auto &it : Instances)
      members.push_back({it->Name, it->DataCentre, {}, 0});
    for (const auto &it : Instances)
      it->Subsets.setMembers(members);
  }
  auto scheduleTick() -> void {
    for (const auto &it : Instances)
      it->Load.tick(Time.now());
    after(std::chrono::seconds(1), [this] { scheduleTick(); });
  }
  auto sendNext(const RouteRecord &route, DataCentreId d, double perSecond,
                TimePoint end) -> void {
    const std::chrono::duration<double> gap(-std::log(1 - Random.unit()) /
                                            perSecond);
    after(std::chrono::duration_cast<Duration>(gap),
          [this, &route, d, perSecond, end] {
            if (Time.now() >= end)
              return;
            attempt({route, d, Time.now()});
            sendNext(route, d, perSecond, end);
          });
  }
  auto attempt(Request r) -> void {
    ++r.Attempts;
    std::vector<FakeInstance *> local;
    for (const auto &it : Instances)
      if (it->DataCentre == r.DataCentre && it->IsRunning)
        local.push_back(it.get());
    auto &from = *local.at(Random.below(local.size()));
    const auto p = from.Policy.pick({.Route = r.Route}, Time.now());
    if (p.Upstream == nullptr)
      return after(2 * OneWay, [this, r] { retry(r); });
    from.Load.onSent(r.Route, *p.Upstream, Time.now());
    const auto n = p.Upstream->Record.WireId - 1;
    const auto name = from.Name;
    after(OneWay, [this, r, n, name, sentAt = Time.now()] {
      arrive(Upstreams.at(n), r, name, sentAt);
    });
  }
  auto arrive(FakeUpstream &u, const Request &r, const std::string &from,
              TimePoint sentAt) -> void {
    ++Arrivals;
    ++ArrivalsOf[u.Name];
    if (u.Queue.size() >= QueueLimit) {
      ++Refusals;
      return after(OneWay, [this, &u, r, from, sentAt] {
        report(from, u, [&](auto &load, const auto &lifetime) {
          load.onRefused(lifetime, sentAt, Time.now());
        });
        retry(r);
      });
    }
    u.Queue.push_back([this, &u, r, from, sentAt] {
      after(OneWay, [this, &u, r, from, sentAt] {
        report(from, u, [&](auto &load, const auto &lifetime) {
          load.onAnswered(r.Route, lifetime, sentAt, Time.now());
        });
        end(r, true);
      });
    });
    startQueued(u);
  }
  auto startQueued(FakeUpstream &u) -> void {
    while (u.Active < Slots && !u.Queue.empty()) {
      auto done = std::move(u.Queue.front());
      u.Queue.pop_front();
      ++u.Active;
      const auto factor = 0.4 - 0.6 * std::log(1 - Random.unit());
      after(std::chrono::duration_cast<Duration>(MeanWork * factor / u.Speed),
            [this, &u, done = std::move(done)] {
              --u.Active;
              done();
              startQueued(u);
            });
    }
  }
  template <typename F>
  auto report(const std::string &from, const FakeUpstream &u, F f) -> void {
    for (const auto &it : Instances)
      if (it->Name == from && it->IsRunning)
        f(it->Load,
          *it->Directory.find(tagOf(u.Name, std::chrono::milliseconds(0))));
  }
  auto retry(const Request &r) -> void {
    if (r.Attempts < MaxAttempts)
      attempt(r);
    else
      end(r, false);
  }
  auto end(const Request &r, bool isServed) -> void {
    const auto isInTime = isServed && Time.now() - r.StartedAt <= Target;
    for (auto *o :
         {&Outcomes[r.Route.Name], &OutcomesByDataCentre[r.DataCentre]}) {
      ++o->Asked;
      o->InTime += isInTime ? 1 : 0;
      o->Lost += isServed ? 0 : 1;
    }
  }

  std::multimap<TimePoint, std::function<void()>> Events;
  std::vector<std::unique_ptr<FakeInstance>> Instances;
  std::vector<FakeUpstream> Upstreams;
};

} // namespace boragebridge

#endif
