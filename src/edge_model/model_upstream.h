/// \file
/// A model of one lifetime of an upstream: it accepts flows, works on a few
/// requests at once, queues a few more, refuses the rest, and may turn slow,
/// cold, silent or dead.
///
/// Not modelled: the content of requests, windows and packet loss.
#ifndef BORAGEBRIDGE_EDGE_MODEL_MODEL_UPSTREAM_H
#define BORAGEBRIDGE_EDGE_MODEL_MODEL_UPSTREAM_H

#include "edge/records.h"
#include "edge_model/model_world.h"

#include <deque>
#include <unordered_map>

namespace boragebridge::edge_model {

enum class UpstreamState : std::uint8_t {
  Running,
  /// Its machine is silent.
  Unresponsive,
  /// Its process is gone; its machine answers with resets.
  Crashed,
};

struct UpstreamOptions {
  /// Requests that wait behind those in work; more are refused.
  std::size_t QueueLimit = 8;
  /// Mean time of work at speed 1.
  Duration MeanServiceTime = std::chrono::milliseconds(15);
  double Speed = 1;
};

class ModelUpstream : public std::enable_shared_from_this<ModelUpstream> {
public:
  /// \p world outlives every call that it was asked for. Precondition: made by
  /// std::make_shared.
  ModelUpstream(ModelWorld &world, UpstreamRecord record, UpstreamOptions opt);

  /// Takes a packet that names it.
  auto receive(const CallerPacket &p) -> void;
  auto setState(UpstreamState s) -> void;
  auto setSpeed(double speed) -> void { Options.Speed = speed; }
  auto speed() const -> double { return Options.Speed; }
  auto setDraining() -> void { Record.Draining = true; }
  /// It is cold for \p d from now on.
  auto setCold(Duration d) -> void;

  auto state() const -> UpstreamState { return State; }
  auto isCold() const -> bool { return World.now() < ColdUntil; }
  /// Its record as it would register it now.
  auto record() const -> UpstreamRecord;
  /// Whether it has seen the end of the handshake of \p f.
  auto isOpen(const FlowKey &f) const -> bool;

private:
  struct Flow {
    bool Open = false;
    /// The next data byte that is expected.
    std::uint32_t NextSequence = 0;
    /// The last answer; sent again when its data comes again.
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
  /// Raised when the process ends, so that its work does not end later.
  unsigned LifetimeNumber = 0;
};

} // namespace boragebridge::edge_model

#endif
