#include "edge_model/model_upstream.h"

#include <cmath>
#include <utility>

namespace boragebridge::edge_model {

/// The service time of a cold upstream is multiplied by this factor.
static constexpr double ColdSlowdown = 1.6;

ModelUpstream::ModelUpstream(ModelWorld &world, UpstreamRecord record,
                             UpstreamOptions opt)
    : World(world), Record(std::move(record)), Options(opt) {}

auto ModelUpstream::setState(UpstreamState s) -> void {
  State = s;
  if (s == UpstreamState::Running)
    return;
  ++ProcessNumber;
  Flows.clear();
  Queue.clear();
  ActiveRequests = 0;
}

auto ModelUpstream::setCold(Duration d) -> void { ColdUntil = World.now() + d; }

auto ModelUpstream::record() const -> UpstreamRecord {
  auto r = Record;
  r.ColdFor = isCold() ? ColdUntil - World.now() : Duration{};
  return r;
}

auto ModelUpstream::isOpen(const FlowKey &f) const -> bool {
  const auto it = Flows.find(f);
  return it != Flows.end() && it->second.Open;
}

auto ModelUpstream::reply(ReplyKind k, const CallerPacket &p) -> Reply {
  return {k, p.Header.Flow, p.Header.Tag, p.Header.Sequence, Record.Draining};
}

auto ModelUpstream::receive(const CallerPacket &p) -> void {
  if (State == UpstreamState::Unresponsive)
    return;
  const auto &h = p.Header;
  const auto flow = Flows.find(h.Flow);
  const auto hasFlow = flow != Flows.end();
  if (State == UpstreamState::Crashed || (!hasFlow && !h.Opens)) {
    World.onFlowPacket(*this, p, false);
    if (!h.Resets)
      World.sendToCaller(reply(ReplyKind::Reset, p));
    return;
  }
  if (h.Opens) {
    if (!hasFlow) {
      Flows[h.Flow].NextSequence = h.Sequence + 1;
      World.onFlowAccepted(*this, p);
    }
    return World.sendToCaller(reply(ReplyKind::Accepted, p));
  }
  World.onFlowPacket(*this, p, true);
  flow->second.Open = true;
  if (h.Length > 0)
    onData(flow->second, p);
  if (h.Finishes || h.Resets)
    Flows.erase(h.Flow);
}

auto ModelUpstream::onData(Flow &f, const CallerPacket &p) -> void {
  if (f.LastAnswer && f.LastAnswer->Sequence == p.Header.Sequence)
    return World.sendToCaller(*f.LastAnswer);
  if (p.Header.Sequence != f.NextSequence)
    return;
  f.NextSequence += p.Header.Length;
  if (Queue.size() >= Options.QueueLimit) {
    f.LastAnswer = reply(ReplyKind::Refused, p);
    return World.sendToCaller(*f.LastAnswer);
  }
  Queue.push_back(p);
  startQueuedRequests();
}

auto ModelUpstream::drawServiceTime() -> Duration {
  // The service time is exponentially distributed, with an upper bound so that
  // no request occupies a slot for arbitrarily long.
  constexpr double MaxFactor = 6;
  const auto factor = std::min(-std::log(1 - World.random().unit()), MaxFactor);
  const auto slowdown = (isCold() ? ColdSlowdown : 1) / Options.Speed;
  return std::chrono::duration_cast<Duration>(Options.MeanServiceTime * factor *
                                              slowdown);
}

auto ModelUpstream::startQueuedRequests() -> void {
  while (ActiveRequests < Record.Slots && !Queue.empty()) {
    auto p = std::move(Queue.front());
    Queue.pop_front();
    ++ActiveRequests;
    World.onWorkStarted(*p.Content);
    World.after(drawServiceTime(),
                [self = shared_from_this(), p, at = ProcessNumber] {
                  if (self->ProcessNumber == at)
                    self->finishRequest(p);
                });
  }
}

auto ModelUpstream::finishRequest(const CallerPacket &p) -> void {
  --ActiveRequests;
  if (const auto it = Flows.find(p.Header.Flow); it != Flows.end()) {
    it->second.LastAnswer = reply(ReplyKind::Answered, p);
    World.sendToCaller(*it->second.LastAnswer);
  }
  startQueuedRequests();
}

} // namespace boragebridge::edge_model
