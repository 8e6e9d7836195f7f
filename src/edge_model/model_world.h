/// \file
/// The interface between the parts of the edge model: packets, replies, and the
/// world that delivers them. edge_model.h describes the whole model.
#ifndef BORAGEBRIDGE_EDGE_MODEL_MODEL_WORLD_H
#define BORAGEBRIDGE_EDGE_MODEL_MODEL_WORLD_H

#include "boragebridge/random.h"
#include "edge/flow_packet.h"

#include <functional>
#include <memory>
#include <optional>

namespace boragebridge::edge_model {

/// Size of the answer that refuses a request; every other answer is longer.
inline constexpr std::uint32_t RefusalBytes = 150;

class ModelUpstream;

/// One request of a caller with all its attempts.
struct Request {
  std::uint64_t Number = 0;
  bool Idempotent = true;
  /// The address that the caller sends the request to.
  Endpoint Service;
  /// The caller's data centre.
  DataCentreId From{};
  TimePoint SentAt;
  TimePoint Deadline;
  unsigned Attempts = 0;
  /// How many times an upstream began to work on the request.
  unsigned Runs = 0;
  bool Done = false;
};

/// A packet of a caller. Content is the request that the packet's data carries,
/// null for a packet without data; instances do not read Content.
struct CallerPacket {
  FlowPacket Header;
  std::shared_ptr<Request> Content;
  TimePoint SentAt;
};

enum class ReplyKind : std::uint8_t { Accepted, Answered, Refused, Reset };

/// What an upstream, or an instance in place of an upstream, sends to a caller.
struct Reply {
  ReplyKind Kind = ReplyKind::Reset;
  FlowKey Flow;
  /// The tag of the answered packet.
  UpstreamTag Tag = UpstreamTag::None;
  /// The sequence number of the answered data.
  std::uint32_t Sequence = 0;
  /// Whether the upstream closes the flow with this reply.
  bool Closes = false;
};

/// Delivers packets, runs timers and records what happens to flows and
/// requests. Not thread-safe.
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
  /// Sends \p r to the caller of its flow.
  virtual auto sendToCaller(const Reply &r) -> void = 0;

  /// \p u accepted a flow with its first opening packet \p p.
  virtual auto onFlowAccepted(const ModelUpstream &u, const CallerPacket &p)
      -> void = 0;
  /// \p u received a packet of a flow. \p hasFlow says whether \p u has the
  /// flow.
  virtual auto onFlowPacket(const ModelUpstream &u, const CallerPacket &p,
                            bool hasFlow) -> void = 0;
  /// An upstream began to work on \p r.
  virtual auto onWorkStarted(Request &r) -> void = 0;
  /// \p r ended. \p isServed says whether the caller got an answer in time.
  virtual auto onRequestEnded(const Request &r, bool isServed) -> void = 0;
};

} // namespace boragebridge::edge_model

#endif
