/// \file
/// Callers with requests that may not be repeated, at a steady rate.
#ifndef BORAGEBRIDGE_BENCH_LOAD_REQUESTS_H
#define BORAGEBRIDGE_BENCH_LOAD_REQUESTS_H

#include "load_flows.h"

#include "boragebridge/caller.h"

#include <memory>

namespace boragebridge::bench {

struct RequestLoadOptions {
  double PerSecond = 200;
  std::size_t CallersPerService = 32;
  /// Time that an ordinary host takes for one.
  Duration WorkTime = std::chrono::milliseconds(20);
  Duration Deadline = std::chrono::seconds(3);
  std::vector<LoadService> Services;
  std::vector<Endpoint> Fabrics;
};

/// How each request ended, by the number that its body carries.
using OutcomeTable = std::unordered_map<std::uint64_t, OutcomeKind>;

/// The requests. Not thread-safe.
class RequestLoad {
public:
  RequestLoad(RequestLoadOptions opt, const Clock &time, RandomSource &random,
              FlowLoad::SendFunction send);
  ~RequestLoad();

  /// Submits what is due and runs the callers' timers. Requests count in the
  /// phase in which they end.
  auto tick(RequestMeasures &m) -> void;
  /// A packet of kind Reply.
  auto onPacket(const Packet &p, RequestMeasures &m) -> void;
  /// Submits nothing more.
  auto stop() -> void { Options.PerSecond = 0; }
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
  RequestMeasures *CurrentMeasures = nullptr;
  TimePoint NextSubmit;
  std::uint64_t NextNumber = 1;
};

} // namespace boragebridge::bench

#endif
