/// \file
/// What the parts of the edge's model tell each other: packets, answers, and
/// the world that carries them. See edge_model.h for the whole.
#ifndef BORAGEBRIDGE_EDGE_MODEL_MODEL_WORLD_H
#define BORAGEBRIDGE_EDGE_MODEL_MODEL_WORLD_H

#include "boragebridge/random.h"
#include "edge/flow_packet.h"

#include <functional>
#include <memory>
#include <optional>

namespace boragebridge::edge_model {

class ModelUpstream;

/// One request of a caller over all its tries.
struct Request {
  std::uint64_t Number = 0;
  bool Idempotent = true;
  Endpoint Service;
  DataCentreId From{};
  TimePoint SentAt;
  TimePoint Deadline;
  unsigned Attempts = 0;
  /// How often an upstream began to work on it.
  unsigned Runs = 0;
  bool Done = false;
};

/// A packet of a caller. The request that its data carries is null for packets
/// without data; instances never look at it.
struct CallerPacket {
  FlowPacket Header;
  std::shared_ptr<Request> Content;
  TimePoint SentAt;
};

enum class ReplyKind : std::uint8_t { Accepted, Answered, Refused, Reset };

/// What an upstream, or an instance in its place, sends to a caller.
struct Reply {
  ReplyKind Kind = ReplyKind::Reset;
  FlowKey Flow;
  /// The tag of the packet that is answered.
  UpstreamTag Tag = UpstreamTag::None;
  /// Of the data that is answered.
  std::uint32_t Sequence = 0;
  /// The upstream closes the flow with this answer.
  bool Closes = false;
};

/// Carries packets and judges what arrives. Not thread-safe.
class ModelWorld {
public:
  ModelWorld() = default;
  ModelWorld(const ModelWorld &) = delete;
  auto operator=(const ModelWorld &) -> ModelWorld & = delete;
  virtual ~ModelWorld() = default;

  virtual auto now() const -> TimePoint = 0;
  virtual auto random() -> RandomSource & = 0;
  /// Calls \p f after \p d.
  virtual auto after(Duration d, std::function<void()> f) -> void = 0;

  /// A caller of data centre \p from sends \p p.
  virtual auto sendToEdge(DataCentreId from, CallerPacket p) -> void = 0;
  /// Anybody sends \p r to its caller.
  virtual auto sendToCaller(const Reply &r) -> void = 0;

  /// \p u took the first opening packet of a flow.
  virtual auto onFlowAccepted(const ModelUpstream &u, const CallerPacket &p)
      -> void = 0;
  /// \p u got a packet of a flow that it holds, or of one that it does not.
  virtual auto onFlowPacket(const ModelUpstream &u, const CallerPacket &p,
                            bool hasFlow) -> void = 0;
  /// An upstream began to work on \p r.
  virtual auto onWorkStarted(Request &r) -> void = 0;
  /// \p r ended; served when \p isServed.
  virtual auto onRequestEnded(const Request &r, bool isServed) -> void = 0;
};

} // namespace boragebridge::edge_model

#endif
