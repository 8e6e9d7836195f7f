#include "experiments.h"
#include "fakes/flow_world.h"
#include "flow/proposer.h"
#include "flow/record_table.h"

#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <algorithm>
#include <iostream>

namespace boragebridge::bench {

namespace {

using WallClock = std::chrono::steady_clock;

/// Returns the rate of calls of \p f per second, measured over \p n calls.
template <typename F> auto ratePerSecond(std::size_t n, const F &f) -> double {
  const auto start = WallClock::now();
  for (std::size_t i = 0; i < n; ++i)
    f(i);
  const auto elapsed = std::chrono::duration<double>(WallClock::now() - start);
  return static_cast<double>(n) / elapsed.count();
}

/// Prevents the optimizer from discarding a result.
template <typename T> auto doNotOptimize(const T &v) -> void {
  asm volatile("" : : "g"(&v) : "memory");
}

auto makeFlows(std::size_t n, SeededRandom &random) -> std::vector<FlowKey> {
  std::vector<FlowKey> all;
  for (std::size_t i = 0; i < n; ++i)
    all.push_back({{static_cast<std::uint32_t>(random.next()),
                    static_cast<std::uint16_t>(random.next())},
                   fakes::FlowWorld::ServiceAddress,
                   6});
  return all;
}

/// Measures decisions per second with \p count flows: a plain table lookup as
/// the reference, a settled slot, a recorded flow at the home of its slot (the
/// instance that decides for its flows), and an unsettled slot, whose packets
/// go to its home.
auto measureDecisions(std::size_t count, std::uint64_t seed)
    -> boost::json::object {
  constexpr std::size_t Calls = 4000000;
  constexpr std::size_t SlotMask = 1023;
  fakes::FlowWorld world(seed);
  world.start(2, 15);
  auto &flow = world.controller("i0");
  SeededRandom random(seed);
  const auto flows = makeFlows(count, random);
  auto flowAt = [&](std::size_t i) -> const FlowKey & {
    return flows[i % count];
  };

  std::unordered_map<Endpoint, std::vector<UpstreamPosition>> bare;
  bare[fakes::FlowWorld::ServiceAddress].resize(SlotMask + 1);
  const auto bareRate = ratePerSecond(Calls, [&](std::size_t i) {
    const auto &k = flowAt(i);
    doNotOptimize(bare.find(k.Service)->second[hashFlow(k) & SlotMask]);
  });
  const auto settledRate = ratePerSecond(Calls, [&](std::size_t i) {
    doNotOptimize(flow.settledTarget(flowAt(i)));
  });

  RecordTable records(count * 2, std::chrono::hours(1), std::chrono::hours(1));
  for (const auto &k : flows)
    records.put(FlowHash{hashFlow(k)}, {});
  const auto recordedRate = ratePerSecond(Calls, [&](std::size_t i) {
    doNotOptimize(records.find(FlowHash{hashFlow(flowAt(i))}));
  });

  world.upstream("u0").Mode = UpstreamMode::Draining;
  world.acceptConfiguration();
  world.run(std::chrono::seconds(3));
  std::vector<FlowKey> unsettled;
  for (const auto &k : flows)
    if (flow.settledTarget(k) == nullptr)
      unsettled.push_back(k);
  constexpr std::size_t UnsettledCalls = 400000;
  const auto unsettledRate =
      unsettled.empty() ? 0.0
                        : ratePerSecond(UnsettledCalls, [&](std::size_t i) {
                            const auto &k = unsettled[i % unsettled.size()];
                            world.sendVia("i0", k, PacketKind::FlowData);
                          });
  return {{"flows", count},
          {"bare_per_second", bareRate},
          {"settled_per_second", settledRate},
          {"settled_over_bare", bareRate / settledRate},
          {"recorded_per_second", recordedRate},
          {"unsettled_per_second", unsettledRate},
          {"record_bytes_per_flow",
           static_cast<double>(records.bytes()) / static_cast<double>(count)}};
}

/// Measures how long the slot table of \p upstreams upstreams takes to build,
/// and how many slots change when one upstream leaves.
auto measureTable(std::size_t upstreams) -> boost::json::object {
  std::vector<WeightedUpstream> all;
  for (std::size_t i = 0; i < upstreams; ++i)
    all.push_back({UpstreamId{hashPair(i, 1)}, FullWeight});
  const auto slots = slotCountFor(upstreams);
  const auto before = buildSlotTable(ServiceId{1}, all, slots);
  constexpr std::size_t Runs = 3;
  const auto rate = ratePerSecond(Runs, [&](std::size_t) {
    doNotOptimize(buildSlotTable(ServiceId{1}, all, slots));
  });
  auto fewer = all;
  fewer.pop_back();
  const auto after = buildSlotTable(ServiceId{1}, fewer, slots);
  std::size_t moved = 0;
  for (std::uint32_t i = 0; i < slots; ++i)
    moved += before[i] != after[i] ? 1 : 0;
  return {{"upstreams", upstreams},
          {"slots", slots},
          {"build_ms", 1e3 / rate},
          {"moved_when_one_leaves", moved},
          {"least_possible", slots / std::max<std::size_t>(upstreams, 1)}};
}

/// Measures how long it takes to compute the wanted placement of each of
/// \p services services, as is done to find the few that changed, and how long
/// to build the slot tables of all of them as well.
auto measureServices(std::size_t services) -> boost::json::object {
  constexpr std::size_t UpstreamsEach = 12;
  Configuration cfg;
  for (std::size_t s = 0; s < services; ++s) {
    cfg.Services.push_back({ServiceId{s + 1}, "", "", {}});
    for (std::size_t i = 0; i < UpstreamsEach; ++i) {
      Upstream u;
      u.Id = UpstreamId{hashPair(s, i)};
      u.Service = ServiceId{s + 1};
      cfg.Upstreams.push_back(u);
    }
  }
  const HealthView health;
  const auto noneQuarantined = [](const Upstream &) { return false; };
  const auto planRate = ratePerSecond(1, [&](std::size_t) {
    for (const auto &[service, all] : groupUpstreams(cfg))
      doNotOptimize(wantedPlacement(cfg, health, {}, all, {}, noneQuarantined)
                        .Upstreams.size());
  });
  std::vector<ServicePlacement> placements;
  const auto buildRate = ratePerSecond(1, [&](std::size_t) {
    for (const auto &[service, all] : groupUpstreams(cfg)) {
      auto wanted = wantedPlacement(cfg, health, {}, all, {}, noneQuarantined);
      placements.emplace_back(service);
      placements.back().add({{Revision{1}, 1, Incarnation{1}},
                             slotCountFor(UpstreamsEach),
                             std::move(wanted.Upstreams)});
    }
  });
  return {{"services", services},
          {"look_ms", 1e3 / planRate},
          {"build_all_ms", 1e3 / buildRate}};
}

} // namespace

auto runCost(int argc, char **argv) -> int {
  std::uint64_t seed = 1;
  cxxopts::Options opt("boragebench cost",
                       "cost of a decision and of a generation");
  opt.add_options()("seed", "seed of the flows",
                    cxxopts::value(seed))("help", "print this");
  if (opt.parse(argc, argv).count("help") != 0) {
    std::cout << opt.help();
    return 0;
  }
  boost::json::object root{{"experiment", "cost"}, {"seed", seed}};
  boost::json::array decisions;
  double worst = 0;
  for (std::size_t n : {1000U, 100000U, 1000000U}) {
    decisions.push_back(measureDecisions(n, seed));
    std::cout << boost::json::serialize(decisions.back()) << std::endl;
    worst = std::max(
        worst, decisions.back().as_object()["settled_over_bare"].as_double());
  }
  boost::json::array tables;
  for (std::size_t n : {10U, 100U, 1000U})
    tables.push_back(measureTable(n));
  boost::json::array services;
  for (std::size_t n : {10U, 1000U, 11000U})
    services.push_back(measureServices(n));
  root["decisions"] = std::move(decisions);
  root["tables"] = std::move(tables);
  root["services"] = std::move(services);
  std::cout << boost::json::serialize(root) << '\n';
  constexpr double MaxSettledOverBare = 2;
  return worst <= MaxSettledOverBare ? 0 : 1;
}

} // namespace boragebridge::bench
