/// \file
/// Reads the state of the upstream stand-ins: use in a phase, and breaches of
/// what upstreams and callers are promised.
#ifndef BORAGEBRIDGE_BENCH_LOAD_CHECKS_H
#define BORAGEBRIDGE_BENCH_LOAD_CHECKS_H

#include "load_measures.h"
#include "load_requests.h"

#include <map>
#include <string>

namespace boragebridge::bench {

/// What one upstream stand-in says of itself.
struct UpstreamState {
  std::string Service;
  double Capacity = 1;
  double WorkSeconds = 0;
  double Connections = 0;
};

using UpstreamStates = std::map<std::string, UpstreamState>;

/// Parses the stand-in's `/state`. Empty when \p body is malformed.
auto parseStates(const std::string &body) -> UpstreamStates;

/// Use between two states, the worse of the services.
auto imbalanceBetween(const UpstreamStates &begin, const UpstreamStates &end)
    -> Imbalance;

/// Breaches that the stand-in counted, from its `/state` and `/standin/ran`,
/// held against how each request ended for its caller.
auto checkInvariants(const std::string &stateBody, const std::string &ranBody,
                     const OutcomeTable &outcomes,
                     const std::vector<Phase> &phases)
    -> std::vector<InvariantCheck>;

} // namespace boragebridge::bench

#endif
