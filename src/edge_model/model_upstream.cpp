#include "edge_model/model_upstream.h"

#include <cmath>
#include <utility>

namespace boragebridge::edge_model {

/// A cold upstream takes this much longer.
static constexpr double ColdSlowdown = 1.6;

ModelUpstream::ModelUpstream(ModelWorld &world, UpstreamRecord record,
                             UpstreamOptions opt)
    : World(world), Record(std::move(record)), Options(opt) {}

auto ModelUpstream::setState(UpstreamState s) -> void {
  State = s;
  if (s == UpstreamState::Running)
    return;
  ++Lifetime;
  Flows.clear();
  Queue.clear();
  Working = 0;
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
  if (State == UpstreamState::Dark)
    return;
  const auto &h = p.Header;
  const auto known = Flows.find(h.Flow);
  const auto isKnown = known != Flows.end();
  if (State == UpstreamState::Crashed || (!isKnown && !h.Opens)) {
    World.onPacket(*this, p, false);
    if (!h.Resets)
      World.sendToCaller(reply(ReplyKind::Reset, p));
    return;
  }
  if (h.Opens) {
    if (!isKnown) {
      Flows[h.Flow].Next = h.Sequence + 1;
      World.onOpening(*this, p);
    }
    return World.sendToCaller(reply(ReplyKind::Accepted, p));
  }
  World.onPacket(*this, p, true);
  known->second.Open = true;
  if (h.Length > 0)
    onData(known->second, p);
  if (h.Finishes || h.Resets)
    Flows.erase(h.Flow);
}

auto ModelUpstream::onData(Flow &f, const CallerPacket &p) -> void {
  if (f.Last && f.Last->Sequence == p.Header.Sequence)
    return World.sendToCaller(*f.Last);
  if (p.Header.Sequence != f.Next)
    return;
  f.Next += p.Header.Length;
  if (Queue.size() >= Options.QueueLimit) {
    f.Last = reply(ReplyKind::Refused, p);
    return World.sendToCaller(*f.Last);
  }
  Queue.push_back(p);
  startNext();
}

auto ModelUpstream::workTime() -> Duration {
  // Exponential, cut off so that no request takes for ever.
  constexpr double LongestFactor = 6;
  const auto factor =
      std::min(-std::log(1 - World.random().unit()), LongestFactor);
  const auto slowdown = (isCold() ? ColdSlowdown : 1) / Options.Speed;
  return std::chrono::duration_cast<Duration>(Options.MeanServiceTime * factor *
                                              slowdown);
}

auto ModelUpstream::startNext() -> void {
  while (Working < Record.Slots && !Queue.empty()) {
    auto p = std::move(Queue.front());
    Queue.pop_front();
    ++Working;
    World.onRun(*p.Content);
    World.after(workTime(), [self = shared_from_this(), p, at = Lifetime] {
      if (self->Lifetime == at)
        self->finish(p);
    });
  }
}

auto ModelUpstream::finish(const CallerPacket &p) -> void {
  --Working;
  if (const auto it = Flows.find(p.Header.Flow); it != Flows.end()) {
    it->second.Last = reply(ReplyKind::Answered, p);
    World.sendToCaller(*it->second.Last);
  }
  startNext();
}

} // namespace boragebridge::edge_model
