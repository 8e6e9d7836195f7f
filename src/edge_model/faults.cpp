#include "edge_model/faults.h"

#include <algorithm>
#include <array>

namespace boragebridge::edge_model {

using std::chrono::milliseconds;
using std::chrono::seconds;
using EndFault = std::function<void()>;

static constexpr Duration RestartTime = milliseconds(500);
static constexpr Duration SlowStoreDelay = milliseconds(120);

namespace {

auto selectInstance(const EdgeModel &m, std::uint64_t selector) -> std::size_t {
  return selector % m.instances();
}

/// Returns a tenth of the instances, at least one: a random instance and those
/// that follow it.
auto selectTenth(const EdgeModel &m, std::uint64_t selector)
    -> std::vector<std::size_t> {
  constexpr std::size_t Share = 10;
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < std::max<std::size_t>(1, m.instances() / Share);
       ++i)
    all.push_back((selector + i) % m.instances());
  return all;
}

auto selectUpstream(const EdgeModel &m, std::uint64_t selector) -> std::size_t {
  const auto all = m.upstreams();
  return all[selector % all.size()];
}

auto killSome(EdgeModel &m, std::uint64_t selector) -> EndFault {
  const auto all = selectTenth(m, selector);
  for (const auto it : all)
    m.kill(it);
  return [&m, all] {
    for (const auto it : all)
      m.start(it);
  };
}

auto killAll(EdgeModel &m, std::uint64_t) -> EndFault {
  for (std::size_t i = 0; i < m.instances(); ++i) {
    m.kill(i);
    m.after(RestartTime, [&m, i] { m.start(i); });
  }
  return {};
}

auto rollAll(EdgeModel &m, std::uint64_t) -> EndFault {
  constexpr Duration Gap = milliseconds(1200);
  for (std::size_t i = 0; i < m.instances(); ++i)
    m.after(Gap * static_cast<int>(i), [&m, i] { m.roll(i); });
  return {};
}

auto freezeSome(EdgeModel &m, std::uint64_t selector) -> EndFault {
  const auto all = selectTenth(m, selector);
  for (const auto it : all)
    m.setFrozen(it, true);
  return [&m, all] {
    for (const auto it : all)
      m.setFrozen(it, false);
  };
}

auto isolateInstance(EdgeModel &m, std::uint64_t selector) -> EndFault {
  const auto n = selectInstance(m, selector);
  m.setCutOff(n, true);
  return [&m, n] { m.setCutOff(n, false); };
}

auto setStoreForInstance(EdgeModel &m, std::uint64_t selector, StoreCondition c)
    -> EndFault {
  const auto n = selectInstance(m, selector);
  m.setInstanceStore(n, c);
  return [&m, n] { m.setInstanceStore(n, StoreCondition::Answers); };
}
auto refuseInstanceCalls(EdgeModel &m, std::uint64_t selector) -> EndFault {
  return setStoreForInstance(m, selector, StoreCondition::Refuses);
}
auto ignoreInstanceCalls(EdgeModel &m, std::uint64_t selector) -> EndFault {
  return setStoreForInstance(m, selector, StoreCondition::Unresponsive);
}

auto restoreStore(EdgeModel &m) -> EndFault {
  return [&m] { m.setStore(StoreCondition::Answers, EdgeModel::StoreDelay); };
}
auto refuseAllCalls(EdgeModel &m, std::uint64_t) -> EndFault {
  m.setStore(StoreCondition::Refuses, EdgeModel::StoreDelay);
  return restoreStore(m);
}
auto makeStoreUnresponsive(EdgeModel &m, std::uint64_t) -> EndFault {
  m.setStore(StoreCondition::Unresponsive, EdgeModel::StoreDelay);
  return restoreStore(m);
}
auto slowStore(EdgeModel &m, std::uint64_t) -> EndFault {
  m.setStore(StoreCondition::Answers, SlowStoreDelay);
  return restoreStore(m);
}
auto dropHistory(EdgeModel &m, std::uint64_t) -> EndFault {
  m.dropHistory();
  return {};
}

/// The store is away for a moment and comes back from a copy that is up to nine
/// seconds old.
auto restoreFromCopy(EdgeModel &m, std::uint64_t selector) -> EndFault {
  constexpr std::uint64_t MaxAge = 9;
  constexpr std::uint64_t MinAwayMs = 200;
  constexpr std::uint64_t AwayRangeMs = 1800;
  const auto age = seconds(1 + selector % MaxAge);
  m.setStore(StoreCondition::Refuses, EdgeModel::StoreDelay);
  m.after(milliseconds(MinAwayMs + selector % AwayRangeMs), [&m, age] {
    m.restoreStore(age);
    m.setStore(StoreCondition::Answers, EdgeModel::StoreDelay);
  });
  return {};
}

auto cutDataCentre(EdgeModel &m, std::uint64_t selector) -> EndFault {
  const auto n = selector % m.dataCentres();
  m.setDataCentreCut(n, true);
  return [&m, n] { m.setDataCentreCut(n, false); };
}

auto failUpstream(EdgeModel &m, std::uint64_t selector, UpstreamState s)
    -> EndFault {
  const auto n = selectUpstream(m, selector);
  m.setUpstreamState(n, s);
  return [&m, n] { m.setUpstreamState(n, UpstreamState::Running); };
}
auto makeUpstreamUnresponsive(EdgeModel &m, std::uint64_t selector)
    -> EndFault {
  return failUpstream(m, selector, UpstreamState::Unresponsive);
}
auto crashUpstream(EdgeModel &m, std::uint64_t selector) -> EndFault {
  return failUpstream(m, selector, UpstreamState::Crashed);
}
auto slowUpstream(EdgeModel &m, std::uint64_t selector) -> EndFault {
  constexpr double Factor = 5;
  const auto n = selectUpstream(m, selector);
  m.setUpstreamSpeed(n, 1 / Factor);
  return [&m, n] { m.setUpstreamSpeed(n, Factor); };
}

auto removeRecords(EdgeModel &m, std::uint64_t selector) -> EndFault {
  const auto n = selector % m.dataCentres();
  m.setRecordsMissing(n, true);
  return [&m, n] { m.setRecordsMissing(n, false); };
}

auto replaceUpstreams(EdgeModel &m, std::uint64_t selector) -> EndFault {
  constexpr Duration Gap = milliseconds(800);
  constexpr std::uint64_t Share = 3;
  auto i = 0;
  for (const auto it : m.upstreams())
    if ((it + selector) % Share == 0)
      m.after(Gap * i++, [&m, it] { m.replaceUpstream(it, false); });
  return {};
}
auto reuseAddress(EdgeModel &m, std::uint64_t selector) -> EndFault {
  m.replaceUpstream(selectUpstream(m, selector), true);
  return {};
}
auto returnCold(EdgeModel &m, std::uint64_t selector) -> EndFault {
  m.returnCold(selector % m.dataCentres());
  return {};
}

auto withdrawDataCentre(EdgeModel &m, std::uint64_t selector) -> EndFault {
  const auto n = selector % m.dataCentres();
  m.setWithdrawn(n, true);
  return [&m, n] { m.setWithdrawn(n, false); };
}
auto changeRoutes(EdgeModel &m, std::uint64_t) -> EndFault {
  m.changeRoutes();
  return {};
}
auto changeRoutesRepeatedly(EdgeModel &m, std::uint64_t) -> EndFault {
  constexpr Duration Gap = milliseconds(150);
  constexpr int Changes = 20;
  for (int i = 0; i < Changes; ++i)
    m.after(Gap * i, [&m] { m.changeRoutes(); });
  return {};
}
/// An instance is away for a while, so that its readers have another parent or
/// none, and configurations change until after it is back.
auto moveRoutesWhileParentsChange(EdgeModel &m, std::uint64_t selector)
    -> EndFault {
  constexpr Duration DarkTime = milliseconds(3500);
  constexpr std::uint64_t MinStormMs = 1500;
  constexpr std::uint64_t StormRangeMs = 2000;
  constexpr Duration Gap = milliseconds(200);
  constexpr int Changes = 40;
  const auto n = selectInstance(m, selector);
  m.kill(n);
  m.after(DarkTime, [&m, n] { m.start(n); });
  const Duration storm = milliseconds(MinStormMs + selector % StormRangeMs);
  for (int i = 0; i < Changes; ++i)
    m.after(storm + Gap * i, [&m] { m.moveNextRoute(); });
  m.after(storm + Gap * Changes, [&m] { m.moveRouteBack(); });
  return {};
}
/// A third of the upstreams start again under their names, while flows are
/// opened, and then all instances do.
auto restartUpstreamsBeforeRoll(EdgeModel &m, std::uint64_t selector)
    -> EndFault {
  constexpr Duration Gap = milliseconds(100);
  constexpr Duration RollAfter = seconds(1);
  constexpr std::uint64_t Share = 3;
  auto i = 0;
  for (const auto it : m.upstreams())
    if ((it + selector) % Share == 0)
      m.after(Gap * i++, [&m, it] { m.restartUpstream(it); });
  m.after(RollAfter, [&m, selector] { rollAll(m, selector); });
  return {};
}

/// The answers that tell the instances of a change by an operator or of an
/// upstream that drains are lost.
auto loseAnswersToWatches(EdgeModel &m, std::uint64_t selector) -> EndFault {
  constexpr std::uint64_t Changes = 3;
  m.loseNextWatchAnswers();
  const auto n = selector / Changes % m.dataCentres();
  switch (selector % Changes) {
  case 0:
    return replaceUpstreams(m, selector);
  case 1:
    return changeRoutes(m, selector);
  default:
    m.setWithdrawn(n, true);
    return [&m, n] { m.setWithdrawn(n, false); };
  }
}
auto raiseLoad(EdgeModel &m, std::uint64_t) -> EndFault {
  constexpr double Factor = 1.7;
  m.setLoad(Factor);
  return [&m] { m.setLoad(1); };
}

constexpr std::array FaultKinds{
    FaultKind{"kill_some", killSome},
    FaultKind{"kill_all", killAll},
    FaultKind{"roll_all", rollAll},
    FaultKind{"freeze_some", freezeSome},
    FaultKind{"cut_instance", isolateInstance},
    FaultKind{"refuse_instance", refuseInstanceCalls},
    FaultKind{"ignore_instance", ignoreInstanceCalls},
    FaultKind{"refuse_all", refuseAllCalls},
    FaultKind{"silence_store", makeStoreUnresponsive},
    FaultKind{"slow_store", slowStore},
    FaultKind{"forget_history", dropHistory},
    FaultKind{"cut_data_centre", cutDataCentre},
    FaultKind{"darken_upstream", makeUpstreamUnresponsive},
    FaultKind{"crash_upstream", crashUpstream},
    FaultKind{"slow_upstream", slowUpstream},
    FaultKind{"release", replaceUpstreams},
    FaultKind{"reuse_address", reuseAddress},
    FaultKind{"return_cold", returnCold},
    FaultKind{"withdraw", withdrawDataCentre},
    FaultKind{"change_routes", changeRoutes},
    FaultKind{"storm_of_changes", changeRoutesRepeatedly},
    FaultKind{"burst", raiseLoad},
    FaultKind{"restore_store", restoreFromCopy},
    FaultKind{"lose_records", removeRecords},
    FaultKind{"parents_in_storm", moveRoutesWhileParentsChange},
    FaultKind{"lose_watch_answers", loseAnswersToWatches},
    FaultKind{"restart_upstreams", restartUpstreamsBeforeRoll},
};

/// The kinds that mixed plans are drawn from. The others have draws of their
/// own, so that a seed keeps its plan.
constexpr std::size_t MixedKinds = 22;
/// The first of the kinds that addLaterFaults() draws from.
constexpr std::size_t FirstLaterKind = MixedKinds + 2;
static_assert(FaultKinds[MixedKinds].Name == "restore_store");
static_assert(FaultKinds[FirstLaterKind].Name == "parents_in_storm");

} // namespace

auto allFaultKinds() -> std::span<const FaultKind> { return FaultKinds; }

auto findFaultKind(std::string_view name) -> const FaultKind * {
  const auto *it =
      std::find_if(FaultKinds.begin(), FaultKinds.end(),
                   [&](const auto &kind) { return kind.Name == name; });
  return it == FaultKinds.end() ? nullptr : it;
}

auto drawFaults(std::uint64_t seed, std::size_t n, Duration length,
                const FaultKind *only) -> std::vector<PlannedFault> {
  constexpr std::uint64_t MinActiveMs = 300;
  constexpr std::uint64_t ActiveRangeMs = 8000;
  SeededRandom random(hashPair(seed, n));
  std::vector<PlannedFault> all;
  for (std::size_t i = 0; i < n; ++i) {
    PlannedFault fault;
    fault.Kind =
        only != nullptr ? only : &FaultKinds.at(random.below(MixedKinds));
    fault.At = Duration(static_cast<std::int64_t>(
        random.unit() * static_cast<double>(length.count())));
    fault.ActiveTime = milliseconds(MinActiveMs + random.below(ActiveRangeMs));
    fault.Selector = random.next();
    all.push_back(fault);
  }
  return all;
}

auto addRestores(std::vector<PlannedFault> &plan, std::uint64_t seed,
                 std::size_t n, Duration length) -> void {
  const auto all = drawFaults(seed, n, length, findFaultKind("restore_store"));
  plan.insert(plan.end(), all.begin(), all.end());
}

auto addLaterFaults(std::vector<PlannedFault> &plan, std::uint64_t seed,
                    std::size_t n, Duration length) -> void {
  SeededRandom random(hashPair(seed, FirstLaterKind));
  for (std::size_t i = 0; i < n; ++i) {
    const auto &kind = FaultKinds.at(
        FirstLaterKind + random.below(FaultKinds.size() - FirstLaterKind));
    const auto fault = drawFaults(random.next(), 1, length, &kind);
    plan.push_back(fault.front());
  }
}

auto planFaults(EdgeModel &model, const std::vector<PlannedFault> &all)
    -> void {
  for (const auto &it : all)
    model.after(it.At, [&model, it] {
      auto end = it.Kind->Begin(model, it.Selector);
      if (end)
        model.after(it.ActiveTime, std::move(end));
    });
}

} // namespace boragebridge::edge_model
