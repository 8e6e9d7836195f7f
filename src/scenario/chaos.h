/// \file
/// Randomly generated scenarios. The same seed gives the same events and the
/// same result.
#ifndef BORAGEBRIDGE_SCENARIO_CHAOS_H
#define BORAGEBRIDGE_SCENARIO_CHAOS_H

#include "scenario/scenario.h"

namespace boragebridge::scenario {

/// Options of a chaos run.
struct ChaosOptions {
  std::uint64_t Seed = 1;
  std::size_t Steps = 20;
  /// Mean time between two events.
  Duration MeanInterval = std::chrono::seconds(3);
  Load Traffic{30, 10, 100};
};

/// The result of a chaos run.
struct ChaosResult {
  std::vector<Event> Events;
  /// The violated invariants as findViolations() returns them, and the number
  /// of events played before the violation was found.
  std::vector<std::string> Violations;
  std::size_t EventsPlayed = 0;
  /// The values of all measures as text, for comparing two runs.
  std::string Trace;
};

/// Generates the events of a run. At most one fault of each kind is active at a
/// time, and each fault ends by a later event or by itself.
auto generateEvents(const ChaosOptions &opt) -> std::vector<Event>;
/// Plays \p events and checks all invariants before each event and at the end.
auto playChaos(const ChaosOptions &opt, const std::vector<Event> &events)
    -> ChaosResult;
/// Removes events from the failed run \p failed as long as its first violated
/// invariant stays violated. Plays at most \p tries runs.
/// Precondition: failed.Violations is not empty.
auto shrinkEvents(const ChaosOptions &opt, const ChaosResult &failed,
                  std::size_t tries) -> ChaosResult;

} // namespace boragebridge::scenario

#endif
