/// \file
/// The measurements of the load experiment, phase by phase.
#ifndef BORAGEBRIDGE_BENCH_LOAD_MEASURES_H
#define BORAGEBRIDGE_BENCH_LOAD_MEASURES_H

#include "boragebridge/types.h"

#include <array>

namespace boragebridge::bench {

/// Counts of flow events in one phase.
struct FlowMeasures {
  std::uint64_t Opened = 0;
  std::uint64_t Closed = 0;
  std::uint64_t PacketsSent = 0;
  std::uint64_t PacketsAnswered = 0;
  /// Established flows that broke while their data centre was in service: by a
  /// reset, by an answer from another upstream, or because no answer came in
  /// time.
  std::uint64_t BrokenByReset = 0;
  std::uint64_t BrokenByOtherUpstream = 0;
  std::uint64_t BrokenByTimeout = 0;
  /// Established flows that broke while their data centre was withdrawn by an
  /// operator.
  std::uint64_t EndedByWithdrawal = 0;
  /// Flows that ended before they were established, by a reset or because no
  /// answer came in time. Each is replaced by a new flow.
  std::uint64_t OpenFailed = 0;

  auto broken() const -> std::uint64_t {
    return BrokenByReset + BrokenByOtherUpstream + BrokenByTimeout;
  }
};

/// Counts of requests in one phase. A request counts as submitted in the phase
/// in which it was submitted; everything else counts in the phase in which it
/// ended.
struct RequestMeasures {
  std::uint64_t Submitted = 0;
  /// Indexed by OutcomeKind: answered, refused, unknown, already run.
  std::array<std::uint64_t, 4> Outcomes{};
  /// Answers whose body differs from that of the request, which the upstream
  /// stand-in echoes.
  std::uint64_t WrongAnswers = 0;
  /// From submission to outcome, of the answered requests.
  std::vector<Duration> Latencies;
  /// Requests answered in each full second of the phase.
  std::vector<std::uint64_t> AnsweredBySecond;
};

/// Imbalance of the utilisation of upstreams in one phase: the maximum over the
/// mean of their utilisation, each relative to its own capacity. 1 means equal
/// utilisation; 0 means no load.
struct Imbalance {
  /// Imbalance of the work done, divided by capacity.
  double Requests = 0;
  /// Imbalance of the number of flows, divided by capacity, at the end of the
  /// phase.
  double Flows = 0;
};

/// A named section of a run.
struct Phase {
  std::string Name;
  Duration Length{};
  FlowMeasures Flows;
  RequestMeasures Requests;
  Imbalance Use;
};

/// Returns the quantile \p share (0 to 1) of \p all; zero when \p all is empty.
auto quantileOf(std::vector<Duration> all, double share) -> Duration;

/// The result of the check of one invariant.
struct InvariantCheck {
  /// The text that is printed; also a key of the JSON output.
  std::string Invariant;
  std::uint64_t Violations = 0;
};

/// Prints the phases as a table to standard output.
auto printPhases(const std::vector<Phase> &phases) -> void;
/// Prints the checks to standard output. Returns true when no invariant was
/// violated.
auto printChecks(const std::vector<InvariantCheck> &checks) -> bool;
/// Prints the phases and the checks to standard output as one line of JSON.
auto printJson(const std::vector<Phase> &phases,
               const std::vector<InvariantCheck> &checks) -> void;

} // namespace boragebridge::bench

#endif
