/// \file
/// Randomly composed scenarios: the same seed gives the same events and the
/// same end.
#ifndef BORAGEBRIDGE_SCENARIO_CHAOS_H
#define BORAGEBRIDGE_SCENARIO_CHAOS_H

#include "scenario/scenario.h"

namespace boragebridge::scenario {

/// What a chaos run is made of.
struct ChaosOptions {
  std::uint64_t Seed = 1;
  std::size_t Steps = 20;
  /// Time between two events, on average.
  Duration MeanInterval = std::chrono::seconds(3);
  Load Traffic{30, 10, 100};
};

/// How a run ended.
struct ChaosResult {
  std::vector<Event> Events;
  /// The promises that were broken, and after how many events.
  std::vector<std::string> Violations;
  std::size_t EventsPlayed = 0;
  /// What was counted, for comparing two runs.
  std::string Trace;
};

/// Events for \p opt: at most one fault of a kind at a time, and each is mended
/// later or by itself.
auto composeEvents(const ChaosOptions &opt) -> std::vector<Event>;
/// Plays \p events, and checks all promises after each.
auto playChaos(const ChaosOptions &opt, const std::vector<Event> &events)
    -> ChaosResult;
/// Leaves out events while the first broken promise of \p failed stays broken;
/// plays at most \p tries times.
auto shrinkEvents(const ChaosOptions &opt, const ChaosResult &failed,
                  std::size_t tries) -> ChaosResult;

} // namespace boragebridge::scenario

#endif
