/// \file
/// A model of the callers of one data centre. They send requests at a given
/// rate, over long-lived flows or one flow for each request, retransmit
/// unanswered packets, and retry a failed request at once if the request may be
/// repeated.
#ifndef BORAGEBRIDGE_EDGE_MODEL_MODEL_CALLER_H
#define BORAGEBRIDGE_EDGE_MODEL_MODEL_CALLER_H

#include "edge_model/model_world.h"

#include <unordered_map>

namespace boragebridge::edge_model {

/// One kind of request and its rate.
struct RequestKind {
  Endpoint Service;
  /// Requests a second of all callers of the data centre; arrivals are Poisson.
  double PerSecond = 0;
  bool Idempotent = true;
  /// Requests share flows that stay open; otherwise each request has its own
  /// flow.
  bool LongFlows = true;
  /// Time from the first attempt after which the request fails.
  Duration Deadline = std::chrono::milliseconds(1500);
};

struct CallerOptions {
  DataCentreId DataCentre{};
  /// The first of the callers' addresses; the others follow it.
  std::uint32_t FirstAddress = 0;
  std::vector<RequestKind> Kinds;
  /// Attempts of a request beyond the first one.
  unsigned MaxRetries = 2;
};

/// All callers of one data centre. Not thread-safe.
class ModelCallers {
public:
  /// \p world must outlive the object. The object must outlive every timer that
  /// it sets through ModelWorld::after().
  ModelCallers(ModelWorld &world, CallerOptions opt);

  /// Begins to send requests of all kinds.
  auto start() -> void;
  /// Stops new requests. Open requests continue until they end.
  auto stop() -> void { Stopped = true; }
  /// Multiplies all configured rates by \p factor from now on.
  auto setLoad(double factor) -> void { LoadFactor = factor; }
  /// Handles a reply to one of the flows; replies to other flows are ignored.
  auto receive(const Reply &r) -> void;
  /// Returns whether \p f is a flow of these callers.
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
    /// Incremented when a request is sent on the flow and when it is answered,
    /// so that timers of earlier steps have no effect.
    unsigned Step = 0;
    /// The request that the flow carries; null while the flow is idle.
    std::shared_ptr<Request> CurrentRequest;
  };

  auto scheduleNext(std::size_t kind) -> void;
  auto submit(const RequestKind &k) -> void;
  auto attempt(const std::shared_ptr<Request> &r, bool isLong) -> void;
  auto openFlow(const std::shared_ptr<Request> &r, bool isLong) -> void;
  /// Sends the opening packet; \p transmission counts its retransmissions from
  /// 0.
  auto sendOpening(const FlowKey &key, unsigned step,
                   std::uint32_t transmission) -> void;
  auto sendData(Flow &f) -> void;
  /// Sends the data of the current request, and retransmits it after \p wait,
  /// then at growing intervals, until the flow reaches its next step.
  auto transmitData(const FlowKey &key, unsigned step, Duration wait) -> void;
  /// Sends a packet without data.
  auto sendAcknowledgement(Flow &f, bool finishes) -> void;
  auto send(Flow &f, FlowPacket h, std::shared_ptr<Request> content) -> void;
  auto onAnswered(Flow &f, const Reply &r) -> void;
  /// Handles a flow that ended without an answer. \p mayHaveRun says whether an
  /// upstream may have worked on the request.
  auto onFlowFailed(const FlowKey &key, bool mayHaveRun) -> void;
  auto retry(const std::shared_ptr<Request> &r, bool mayHaveRun, bool isLong)
      -> void;
  auto end(Request &r, bool isServed) -> void;
  /// Returns the flow \p key if it is still at \p step, null otherwise.
  auto find(const FlowKey &key, unsigned step) -> Flow *;

  ModelWorld &World;
  CallerOptions Options;
  std::unordered_map<FlowKey, Flow> Flows;
  /// Long-lived flows without a request, by service.
  std::unordered_map<Endpoint, std::vector<FlowKey>> IdleFlows;
  std::uint64_t LastRequestNumber = 0;
  std::uint64_t LastFlowNumber = 0;
  double LoadFactor = 1;
  bool Stopped = false;
};

} // namespace boragebridge::edge_model

#endif
