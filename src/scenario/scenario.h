/// \file
/// A scripted scenario: read from YAML, checked whole, then played.
///
/// docs/SCENARIOS.md is the reference of the language.
#ifndef BORAGEBRIDGE_SCENARIO_SCENARIO_H
#define BORAGEBRIDGE_SCENARIO_SCENARIO_H

#include "scenario/invariants.h"
#include "scenario/verbs.h"

#include "absl/status/statusor.h"

namespace boragebridge::scenario {

/// One timed event.
struct Event {
  /// After the world has settled.
  Duration At{};
  const Verb *Action = nullptr;
  std::string Argument;
};

/// A bound on a measure at the end.
struct Bound {
  const Measure *Of = nullptr;
  double AtLeast = 0;
  double AtMost = 0;
};

/// A whole scenario.
struct Scenario {
  Topology Shape;
  Load Traffic;
  std::vector<Event> Events;
  Duration Length{};
  std::vector<const Invariant *> Invariants;
  std::vector<Bound> Bounds;
};

/// Reads \p text. InvalidArgument names the first fault as "LINE:COLUMN: ...",
/// both counted from 1.
auto parseScenario(const std::string &text) -> absl::StatusOr<Scenario>;
/// Plays \p s. Returns what was expected and did not hold; empty: all held.
auto playScenario(const Scenario &s) -> std::vector<std::string>;
/// The event in the form that a scenario has it.
auto toString(const Event &e) -> std::string;

} // namespace boragebridge::scenario

#endif
