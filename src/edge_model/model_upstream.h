/// \file
/// A model of one lifetime of an upstream. The upstream accepts flows, works on
/// a limited number of requests at once, queues a few more and refuses the
/// rest. It can be made slow, cold, unresponsive or crashed.
///
/// Not modelled: the content of requests, flow-control windows and packet loss.
#ifndef BORAGEBRIDGE_EDGE_MODEL_MODEL_UPSTREAM_H
#define BORAGEBRIDGE_EDGE_MODEL_MODEL_UPSTREAM_H

#include "edge/records.h"
#include "edge_model/model_world.h"

#include <deque>
#include <unordered_map>

namespace boragebridge::edge_model {

enum class UpstreamState : std::uint8_t {
  Running,
  /// The machine does not respond to any packet.
  Unresponsive,
  /// The process has ended; the machine answers packets with resets.
  Crashed,
};

struct UpstreamOptions {
  /// Requests that may wait while others are worked on; further requests are
  /// refused.
  std::size_t QueueLimit = 8;
  /// Mean service time of a request at speed 1.
  Duration MeanServiceTime = std::chrono::milliseconds(15);
  /// Divides the service time.
  double Speed = 1;
};

/// One lifetime of an upstream. Not thread-safe.
class ModelUpstream : public std::enable_shared_from_this<ModelUpstream> {
public:
  /// \p world must outlive every timer that the object sets. Precondition: the
  /// object is made by std::make_shared.
  ModelUpstream(ModelWorld &world, UpstreamRecord record, UpstreamOptions opt);

  /// Handles a packet that is addressed to this lifetime of the upstream.
  auto receive(const CallerPacket &p) -> void;
  /// Changes the state. Every state but Running drops all flows and requests.
  auto setState(UpstreamState s) -> void;
  auto setSpeed(double speed) -> void { Options.Speed = speed; }
  auto speed() const -> double { return Options.Speed; }
  auto setDraining() -> void { Record.Draining = true; }
  /// Makes the upstream cold for \p d from now on.
  auto setCold(Duration d) -> void;

  auto state() const -> UpstreamState { return State; }
  auto isCold() const -> bool { return World.now() < ColdUntil; }
  /// Returns the record that the upstream would register now.
  auto record() const -> UpstreamRecord;
  /// Like record(), for a record that is written.
  auto nextReport() -> UpstreamRecord {
    ++Record.Sequence;
    return record();
  }
  /// Returns whether the upstream has received the end of the handshake of \p
  /// f.
  auto isOpen(const FlowKey &f) const -> bool;

private:
  struct Flow {
    bool Open = false;
    /// Sequence number of the next data byte.
    std::uint32_t NextSequence = 0;
    /// The last answer; it is sent again when the data that it answers is
    /// retransmitted.
    std::optional<Reply> LastAnswer;
  };

  auto onData(Flow &f, const CallerPacket &p) -> void;
  auto startQueuedRequests() -> void;
  auto finishRequest(const CallerPacket &p) -> void;
  auto reply(ReplyKind k, const CallerPacket &p) -> Reply;
  auto drawServiceTime() -> Duration;

  ModelWorld &World;
  UpstreamRecord Record;
  UpstreamOptions Options;
  UpstreamState State = UpstreamState::Running;
  TimePoint ColdUntil;
  std::unordered_map<FlowKey, Flow> Flows;
  std::deque<CallerPacket> Queue;
  unsigned ActiveRequests = 0;
  /// Incremented when the process ends, so that the timers of its requests have
  /// no effect.
  unsigned ProcessNumber = 0;
};

} // namespace boragebridge::edge_model

#endif
