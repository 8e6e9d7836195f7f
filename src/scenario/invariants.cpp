#include "scenario/invariants.h"

#include <algorithm>
#include <array>

namespace boragebridge::scenario {

using fakes::UpstreamCounts;
using World = SystemWorld;

static constexpr std::array Invariants{
    Invariant{"flows", "an established flow survives any planned change",
              [](World &w) { return w.counts().FlowsBroken; }},
    Invariant{
        "service", "a packet never reaches another service",
        [](World &w) { return w.sumOverHosts(&UpstreamCounts::Misdelivered); }},
    Invariant{
        "cold", "a cold upstream is not given more than it can handle",
        [](World &w) { return w.sumOverHosts(&UpstreamCounts::Crashes); }},
    Invariant{"withdrawn", "a withdrawn data centre gets no packets after 5 s",
              [](World &w) {
                return w.sumOverHosts(&UpstreamCounts::PacketsAfterWithdrawal);
              }},
    Invariant{"answers", "a caller gets the whole answer to its own request",
              [](World &w) { return w.requests().report().WrongAnswers; }},
    Invariant{"refusals", "what is refused as not run did not run",
              [](World &w) { return w.requests().report().FalseRefusals; }},
    Invariant{"once", "a request that may not be repeated runs at most once",
              [](World &w) { return w.requests().report().RunsOverLimit; }},
    Invariant{"leaving", "a leaving upstream gets no new work after 5 s",
              [](World &w) {
                return w.sumOverHosts(&UpstreamCounts::NewWorkAfterDrain);
              }},
    Invariant{"stop", "a planned stop loses no request in progress",
              [](World &w) { return w.requestsLostToPlannedChanges(); }},
    Invariant{"configuration", "what is accepted is in force in 5 s and stays",
              [](World &w) {
                return w.counts().ChangesLate + w.counts().RevisionsLost;
              }},
};

static constexpr std::array Measures{
    Measure{"submitted",
            [](World &w) {
              return static_cast<double>(w.requests().report().Submitted);
            }},
    Measure{"answered",
            [](World &w) {
              return static_cast<double>(w.requests().report().Answered);
            }},
    Measure{"refused",
            [](World &w) {
              return static_cast<double>(w.requests().report().Refused);
            }},
    Measure{"unknown",
            [](World &w) {
              return static_cast<double>(w.requests().report().Unknown);
            }},
    Measure{"cold_over_limit",
            [](World &w) {
              return static_cast<double>(
                  w.sumOverHosts(&UpstreamCounts::ColdOverLimit));
            }},
    Measure{"flows_established",
            [](World &w) {
              return static_cast<double>(w.counts().FlowsEstablished);
            }},
    Measure{
        "flows_excused",
        [](World &w) { return static_cast<double>(w.counts().FlowsExcused); }},
    Measure{"changes_accepted",
            [](World &w) {
              return static_cast<double>(w.counts().ChangesAccepted);
            }},
    Measure{"changes_refused",
            [](World &w) {
              return static_cast<double>(w.counts().ChangesRefused);
            }},
};

auto allInvariants() -> std::span<const Invariant> { return Invariants; }
auto allMeasures() -> std::span<const Measure> { return Measures; }

template <typename Table>
static auto findByName(const Table &table, std::string_view name)
    -> decltype(table.data()) {
  const auto it = std::find_if(table.begin(), table.end(),
                               [&](const auto &p) { return p.Name == name; });
  return it == table.end() ? nullptr : &*it;
}

auto findInvariant(std::string_view name) -> const Invariant * {
  return findByName(Invariants, name);
}

auto findMeasure(std::string_view name) -> const Measure * {
  return findByName(Measures, name);
}

auto findViolations(SystemWorld &world) -> std::vector<std::string> {
  std::vector<std::string> all;
  for (const auto &it : Invariants)
    if (const auto n = it.CountViolations(world); n != 0)
      all.push_back(std::string(it.Name) + ": " + std::to_string(n));
  return all;
}

} // namespace boragebridge::scenario
