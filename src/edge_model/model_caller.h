/// \file
/// The callers of one data centre: they send requests at a rate, over long
/// flows or a flow each, repeat packets that nobody answers, and retry without
/// pause as far as the request may be repeated.
#ifndef BORAGEBRIDGE_EDGE_MODEL_MODEL_CALLER_H
#define BORAGEBRIDGE_EDGE_MODEL_MODEL_CALLER_H

#include "edge_model/model_world.h"

#include <unordered_map>

namespace boragebridge::edge_model {

/// One kind of request.
struct RequestKind {
  Endpoint Service;
  double PerSecond = 0;
  bool Idempotent = true;
  /// Requests share flows that stay open; else each has a flow of its own.
  bool LongFlows = true;
  Duration Deadline = std::chrono::milliseconds(1500);
};

struct CallerOptions {
  DataCentreId DataCentre{};
  /// Callers' addresses count up from here.
  std::uint32_t FirstAddress = 0;
  std::vector<RequestKind> Kinds;
  unsigned MaxRetries = 2;
};

class ModelCallers {
public:
  /// \p world outlives the object, and the object every call that it asks the
  /// world for.
  ModelCallers(ModelWorld &world, CallerOptions opt);

  auto start() -> void;
  /// No new requests from now on.
  auto stop() -> void { Stopped = true; }
  /// Multiplies all rates from now on.
  auto setLoad(double factor) -> void { LoadFactor = factor; }
  auto receive(const Reply &r) -> void;
  /// Whether \p f is a flow of these callers.
  auto hasFlow(const FlowKey &f) const -> bool { return Flows.contains(f); }

private:
  struct Flow {
    FlowKey Key;
    bool Open = false;
    bool Long = false;
    UpstreamTag Tag = UpstreamTag::None;
    std::uint32_t InitialSequence = 0;
    std::uint32_t NextSequence = 0;
    std::uint32_t Acknowledged = 0;
    /// Raised with each step, so that timers of earlier steps do nothing.
    unsigned Step = 0;
    /// Null while the flow is idle.
    std::shared_ptr<Request> CurrentRequest;
  };

  auto scheduleNext(std::size_t kind) -> void;
  auto submit(const RequestKind &k) -> void;
  auto attempt(const std::shared_ptr<Request> &r, bool isLong) -> void;
  auto openFlow(const std::shared_ptr<Request> &r, bool isLong) -> void;
  auto sendOpening(const FlowKey &key, unsigned step,
                   std::uint32_t transmission) -> void;
  auto sendData(Flow &f) -> void;
  auto transmitData(const FlowKey &key, unsigned step, Duration wait) -> void;
  auto sendAcknowledgement(Flow &f, bool finishes) -> void;
  auto send(Flow &f, FlowPacket h, std::shared_ptr<Request> content) -> void;
  auto onAnswered(Flow &f, const Reply &r) -> void;
  /// The flow ended without an answer; \p mayHaveRun tells whether the request
  /// may have run.
  auto onFlowFailed(const FlowKey &key, bool mayHaveRun) -> void;
  auto retry(const std::shared_ptr<Request> &r, bool mayHaveRun, bool isLong)
      -> void;
  auto end(Request &r, bool isServed) -> void;
  auto find(const FlowKey &key, unsigned step) -> Flow *;

  ModelWorld &World;
  CallerOptions Options;
  std::unordered_map<FlowKey, Flow> Flows;
  /// Long flows that wait for a request, by service.
  std::unordered_map<Endpoint, std::vector<FlowKey>> IdleFlows;
  std::uint64_t LastRequestNumber = 0;
  std::uint64_t LastFlowNumber = 0;
  double LoadFactor = 1;
  bool Stopped = false;
};

} // namespace boragebridge::edge_model

#endif
