/// \file
/// A scripted scenario. It is read from YAML and checked as a whole before it
/// is played. docs/SCENARIOS.md is the reference of the language.
#ifndef BORAGEBRIDGE_SCENARIO_SCENARIO_H
#define BORAGEBRIDGE_SCENARIO_SCENARIO_H

#include "scenario/invariants.h"
#include "scenario/verbs.h"

#include "absl/status/statusor.h"

namespace boragebridge::scenario {

/// One timed event.
struct Event {
  /// Measured from the end of SystemWorld::settle().
  Duration At{};
  const Verb *Action = nullptr;
  std::string Argument;
};

/// A bound on a measure at the end of the scenario.
struct Bound {
  const Measure *BoundedMeasure = nullptr;
  double AtLeast = 0;
  double AtMost = 0;
};

/// A parsed scenario.
struct Scenario {
  Topology InitialTopology;
  Load Traffic;
  std::vector<Event> Events;
  Duration Length{};
  std::vector<const Invariant *> Invariants;
  std::vector<Bound> Bounds;
};

/// Parses \p text. Fails with InvalidArgument; the message names the first
/// error as "LINE:COLUMN: ...", both counted from 1.
auto parseScenario(const std::string &text) -> absl::StatusOr<Scenario>;
/// Plays \p s. Returns the expectations that did not hold; empty if all held.
auto playScenario(const Scenario &s) -> std::vector<std::string>;
/// Returns the event in the syntax of the scenario language.
auto toString(const Event &e) -> std::string;

} // namespace boragebridge::scenario

#endif
