/// \file
/// What the load program has measured, phase by phase.
#ifndef BORAGEBRIDGE_BENCH_LOAD_MEASURES_H
#define BORAGEBRIDGE_BENCH_LOAD_MEASURES_H

#include "boragebridge/types.h"

#include <array>

namespace boragebridge::bench {

/// Events of the flows in one phase.
struct FlowMeasures {
  std::uint64_t Opened = 0;
  std::uint64_t Closed = 0;
  std::uint64_t PacketsSent = 0;
  std::uint64_t PacketsAnswered = 0;
  /// Broken although nobody took their data centre out.
  std::uint64_t BrokenByReset = 0;
  std::uint64_t BrokenByOtherUpstream = 0;
  std::uint64_t BrokenByTimeout = 0;
  /// Ended with a data centre that operators took out.
  std::uint64_t EndedByWithdrawal = 0;
  /// Opening packets that got a reset or no answer; retried.
  std::uint64_t OpenFailed = 0;

  auto broken() const -> std::uint64_t {
    return BrokenByReset + BrokenByOtherUpstream + BrokenByTimeout;
  }
};

/// Requests that ended in one phase.
struct RequestMeasures {
  std::uint64_t Submitted = 0;
  /// By OutcomeKind: answered, refused, unknown, already run.
  std::array<std::uint64_t, 4> Outcomes{};
  /// Answers whose body was not the one expected.
  std::uint64_t WrongAnswers = 0;
  std::vector<Duration> Latencies;
  /// Requests answered in each whole second of the phase.
  std::vector<std::uint64_t> AnsweredBySecond;
};

/// Use of the upstreams in one phase, relative to what each can do; 1 is even.
struct Imbalance {
  /// Largest by mean use, work done by speed.
  double Requests = 0;
  /// Largest by mean number of flows by speed, at the end of the phase.
  double Flows = 0;
};

/// One named part of a run.
struct Phase {
  std::string Name;
  Duration Length{};
  FlowMeasures Flows;
  RequestMeasures Requests;
  Imbalance Use;
};

/// The value at \p share (0 to 1) of \p all in order; zero when empty.
auto quantileOf(std::vector<Duration> all, double share) -> Duration;

/// What a check of a promise found.
struct InvariantCheck {
  std::string Invariant;
  std::uint64_t Violations = 0;
};

/// Prints the phases as a table to standard output.
auto printPhases(const std::vector<Phase> &phases) -> void;
/// Prints the checks; true when no promise was broken.
auto printChecks(const std::vector<InvariantCheck> &checks) -> bool;
/// The same in one line of JSON.
auto printJson(const std::vector<Phase> &phases,
               const std::vector<InvariantCheck> &checks) -> void;

} // namespace boragebridge::bench

#endif
