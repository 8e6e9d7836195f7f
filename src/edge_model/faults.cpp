#include "edge_model/faults.h"

#include <algorithm>
#include <array>

namespace boragebridge::edge_model {

using std::chrono::milliseconds;
using std::chrono::seconds;
using End = std::function<void()>;

static constexpr Duration RestartTime = milliseconds(500);
static constexpr Duration SlowStoreDelay = milliseconds(120);

namespace {

auto pickInstance(const EdgeModel &m, std::uint64_t pick) -> std::size_t {
  return pick % m.instances();
}

/// A tenth of the instances, one at least, from a picked one on.
auto pickSome(const EdgeModel &m, std::uint64_t pick)
    -> std::vector<std::size_t> {
  constexpr std::size_t Share = 10;
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < std::max<std::size_t>(1, m.instances() / Share);
       ++i)
    all.push_back((pick + i) % m.instances());
  return all;
}

auto pickUpstream(const EdgeModel &m, std::uint64_t pick) -> std::size_t {
  const auto all = m.upstreams();
  return all[pick % all.size()];
}

auto killSome(EdgeModel &m, std::uint64_t pick) -> End {
  const auto all = pickSome(m, pick);
  for (const auto it : all)
    m.kill(it);
  return [&m, all] {
    for (const auto it : all)
      m.start(it);
  };
}

auto killAll(EdgeModel &m, std::uint64_t) -> End {
  for (std::size_t i = 0; i < m.instances(); ++i) {
    m.kill(i);
    m.after(RestartTime, [&m, i] { m.start(i); });
  }
  return {};
}

auto rollAll(EdgeModel &m, std::uint64_t) -> End {
  constexpr Duration Gap = milliseconds(1200);
  for (std::size_t i = 0; i < m.instances(); ++i)
    m.after(Gap * static_cast<int>(i), [&m, i] { m.roll(i); });
  return {};
}

auto freezeSome(EdgeModel &m, std::uint64_t pick) -> End {
  const auto all = pickSome(m, pick);
  for (const auto it : all)
    m.setFrozen(it, true);
  return [&m, all] {
    for (const auto it : all)
      m.setFrozen(it, false);
  };
}

auto cutInstance(EdgeModel &m, std::uint64_t pick) -> End {
  const auto n = pickInstance(m, pick);
  m.setCutOff(n, true);
  return [&m, n] { m.setCutOff(n, false); };
}

auto turnAway(EdgeModel &m, std::uint64_t pick, StoreCondition c) -> End {
  const auto n = pickInstance(m, pick);
  m.setOwnStore(n, c);
  return [&m, n] { m.setOwnStore(n, StoreCondition::Answers); };
}
auto refuseInstance(EdgeModel &m, std::uint64_t pick) -> End {
  return turnAway(m, pick, StoreCondition::Refuses);
}
auto ignoreInstance(EdgeModel &m, std::uint64_t pick) -> End {
  return turnAway(m, pick, StoreCondition::Silent);
}

auto restoreStore(EdgeModel &m) -> End {
  return [&m] { m.setStore(StoreCondition::Answers, EdgeModel::StoreDelay); };
}
auto refuseAll(EdgeModel &m, std::uint64_t) -> End {
  m.setStore(StoreCondition::Refuses, EdgeModel::StoreDelay);
  return restoreStore(m);
}
auto silenceStore(EdgeModel &m, std::uint64_t) -> End {
  m.setStore(StoreCondition::Silent, EdgeModel::StoreDelay);
  return restoreStore(m);
}
auto slowStore(EdgeModel &m, std::uint64_t) -> End {
  m.setStore(StoreCondition::Answers, SlowStoreDelay);
  return restoreStore(m);
}
auto dropHistory(EdgeModel &m, std::uint64_t) -> End {
  m.dropHistory();
  return {};
}

auto cutDataCentre(EdgeModel &m, std::uint64_t pick) -> End {
  const auto n = pick % m.dataCentres();
  m.setDataCentreCut(n, true);
  return [&m, n] { m.setDataCentreCut(n, false); };
}

auto failUpstream(EdgeModel &m, std::uint64_t pick, UpstreamState s) -> End {
  const auto n = pickUpstream(m, pick);
  m.setUpstreamState(n, s);
  return [&m, n] { m.setUpstreamState(n, UpstreamState::Running); };
}
auto darkenUpstream(EdgeModel &m, std::uint64_t pick) -> End {
  return failUpstream(m, pick, UpstreamState::Dark);
}
auto crashUpstream(EdgeModel &m, std::uint64_t pick) -> End {
  return failUpstream(m, pick, UpstreamState::Crashed);
}
auto slowUpstream(EdgeModel &m, std::uint64_t pick) -> End {
  constexpr double Factor = 5;
  const auto n = pickUpstream(m, pick);
  m.setUpstreamSpeed(n, 1 / Factor);
  return [&m, n] { m.setUpstreamSpeed(n, Factor); };
}

auto release(EdgeModel &m, std::uint64_t pick) -> End {
  constexpr Duration Gap = milliseconds(800);
  constexpr std::uint64_t Share = 3;
  auto i = 0;
  for (const auto it : m.upstreams())
    if ((it + pick) % Share == 0)
      m.after(Gap * i++, [&m, it] { m.replaceUpstream(it, false); });
  return {};
}
auto reuseAddress(EdgeModel &m, std::uint64_t pick) -> End {
  m.replaceUpstream(pickUpstream(m, pick), true);
  return {};
}
auto returnCold(EdgeModel &m, std::uint64_t pick) -> End {
  m.returnCold(pick % m.dataCentres());
  return {};
}

auto withdraw(EdgeModel &m, std::uint64_t pick) -> End {
  const auto n = pick % m.dataCentres();
  m.setWithdrawn(n, true);
  return [&m, n] { m.setWithdrawn(n, false); };
}
auto changeRoutes(EdgeModel &m, std::uint64_t) -> End {
  m.changeRoutes();
  return {};
}
auto stormOfChanges(EdgeModel &m, std::uint64_t) -> End {
  constexpr Duration Gap = milliseconds(150);
  constexpr int Changes = 20;
  for (int i = 0; i < Changes; ++i)
    m.after(Gap * i, [&m] { m.changeRoutes(); });
  return {};
}
auto burst(EdgeModel &m, std::uint64_t) -> End {
  constexpr double Factor = 1.7;
  m.setLoad(Factor);
  return [&m] { m.setLoad(1); };
}

constexpr std::array Troubles{
    FaultKind{"kill_some", killSome},
    FaultKind{"kill_all", killAll},
    FaultKind{"roll_all", rollAll},
    FaultKind{"freeze_some", freezeSome},
    FaultKind{"cut_instance", cutInstance},
    FaultKind{"refuse_instance", refuseInstance},
    FaultKind{"ignore_instance", ignoreInstance},
    FaultKind{"refuse_all", refuseAll},
    FaultKind{"silence_store", silenceStore},
    FaultKind{"slow_store", slowStore},
    FaultKind{"forget_history", dropHistory},
    FaultKind{"cut_data_centre", cutDataCentre},
    FaultKind{"darken_upstream", darkenUpstream},
    FaultKind{"crash_upstream", crashUpstream},
    FaultKind{"slow_upstream", slowUpstream},
    FaultKind{"release", release},
    FaultKind{"reuse_address", reuseAddress},
    FaultKind{"return_cold", returnCold},
    FaultKind{"withdraw", withdraw},
    FaultKind{"change_routes", changeRoutes},
    FaultKind{"storm_of_changes", stormOfChanges},
    FaultKind{"burst", burst},
};

} // namespace

auto allFaultKinds() -> std::span<const FaultKind> { return Troubles; }

auto findFaultKind(std::string_view name) -> const FaultKind * {
  const auto *it = std::find_if(Troubles.begin(), Troubles.end(),
                                [&](const auto &t) { return t.Name == name; });
  return it == Troubles.end() ? nullptr : it;
}

auto drawFaults(std::uint64_t seed, std::size_t n, Duration length,
                const FaultKind *only) -> std::vector<PlannedFault> {
  constexpr std::uint64_t ShortestMs = 300;
  constexpr std::uint64_t MoreMs = 8000;
  SeededRandom random(hashPair(seed, n));
  std::vector<PlannedFault> all;
  for (std::size_t i = 0; i < n; ++i) {
    PlannedFault t;
    t.Kind =
        only != nullptr ? only : &Troubles.at(random.below(Troubles.size()));
    t.At = Duration(static_cast<std::int64_t>(
        random.unit() * static_cast<double>(length.count())));
    t.ActiveTime = milliseconds(ShortestMs + random.below(MoreMs));
    t.Pick = random.next();
    all.push_back(t);
  }
  return all;
}

auto planFaults(EdgeModel &model, const std::vector<PlannedFault> &all)
    -> void {
  for (const auto &it : all)
    model.after(it.At, [&model, it] {
      auto end = it.Kind->Begin(model, it.Pick);
      if (end)
        model.after(it.ActiveTime, std::move(end));
    });
}

} // namespace boragebridge::edge_model
