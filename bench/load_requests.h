/// \file
/// Callers that submit requests, which must not run more than once, at a
/// constant mean rate.
#ifndef BORAGEBRIDGE_BENCH_LOAD_REQUESTS_H
#define BORAGEBRIDGE_BENCH_LOAD_REQUESTS_H

#include "load_flows.h"

#include "boragebridge/caller.h"

#include <memory>

namespace boragebridge::bench {

/// The rate, size and destinations of the requests.
struct RequestLoadOptions {
  /// Mean rate over all services.
  double PerSecond = 200;
  std::size_t CallersPerService = 32;
  /// Time that a host of ordinary speed takes for one request.
  Duration WorkTime = std::chrono::milliseconds(20);
  Duration Deadline = std::chrono::seconds(3);
  std::vector<LoadService> Services;
  std::vector<Endpoint> Fabrics;
};

/// The outcome of each ended request, by the request number in its body.
using OutcomeTable = std::unordered_map<std::uint64_t, OutcomeKind>;

/// Submits requests and records their outcomes. Not thread-safe.
class RequestLoad {
public:
  RequestLoad(RequestLoadOptions opt, const Clock &time, RandomSource &random,
              FlowLoad::SendFunction send);
  ~RequestLoad();

  /// Submits the requests that are due and runs the callers' timers. Records
  /// outcomes in \p m, so a request counts in the phase in which it ends.
  auto tick(RequestMeasures &m) -> void;
  /// Handles a packet of kind Reply.
  auto onPacket(const Packet &p, RequestMeasures &m) -> void;
  /// Stops submitting; requests in progress continue.
  auto stop() -> void { Options.PerSecond = 0; }
  /// Returns the number of submitted requests without an outcome.
  auto inProgress() const -> std::size_t;
  auto outcomes() const -> const OutcomeTable & { return EndedRequests; }

private:
  class Client;

  auto submit(RequestMeasures &m) -> void;

  RequestLoadOptions Options;
  const Clock &Time;
  RandomSource &Random;
  FlowLoad::SendFunction SendPacket;
  std::vector<std::unique_ptr<Client>> Clients;
  std::unordered_map<Endpoint, Client *> ByEndpoint;
  OutcomeTable EndedRequests;
  /// The measures of the call in progress, for callbacks from callers.
  RequestMeasures *CurrentMeasures = nullptr;
  TimePoint NextSubmit;
  std::uint64_t NextNumber = 1;
};

} // namespace boragebridge::bench

#endif
