/// \file
/// Evaluates the state of the upstream stand-in: the utilisation of upstreams
/// in a phase, and violations of invariants that upstreams and callers rely on.
#ifndef BORAGEBRIDGE_BENCH_LOAD_CHECKS_H
#define BORAGEBRIDGE_BENCH_LOAD_CHECKS_H

#include "load_measures.h"
#include "load_requests.h"

#include <map>
#include <string>

namespace boragebridge::bench {

/// The state that the stand-in reports for one upstream.
struct UpstreamState {
  std::string Service;
  /// Slots times speed; 1 is one slot at the speed of an ordinary host.
  double Capacity = 1;
  /// Work completed so far, in seconds at the speed of an ordinary host.
  double WorkSeconds = 0;
  /// Open flows.
  double Connections = 0;
};

/// The states by name of the upstream.
using UpstreamStates = std::map<std::string, UpstreamState>;

/// Parses the body of the stand-in's `/state`. Empty when \p body is not a JSON
/// object; throws when a field of an upstream is missing or of another type.
auto parseStates(const std::string &body) -> UpstreamStates;

/// Returns the imbalance between two states. Each figure is that of the service
/// with the greatest imbalance.
auto imbalanceBetween(const UpstreamStates &begin, const UpstreamStates &end)
    -> Imbalance;

/// Checks the invariants of a run. \p stateBody and \p ranBody are the bodies
/// of the stand-in's `/state` and `/standin/ran`, \p outcomes the outcomes that
/// the callers received.
auto checkInvariants(const std::string &stateBody, const std::string &ranBody,
                     const OutcomeTable &outcomes,
                     const std::vector<Phase> &phases)
    -> std::vector<InvariantCheck>;

} // namespace boragebridge::bench

#endif
