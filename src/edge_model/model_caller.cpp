#include "edge_model/model_caller.h"

#include <array>
#include <cmath>
#include <utility>

namespace boragebridge::edge_model {

using std::chrono::milliseconds;

/// When an opening packet and its retransmissions are sent, counted from the
/// first transmission.
static constexpr std::array<Duration, 3> OpeningSendTimes{
    milliseconds(0), milliseconds(200), milliseconds(600)};
/// A flow that is not accepted within this time fails.
static constexpr Duration OpeningTimeout = milliseconds(1400);
static constexpr Duration InitialRetransmissionTimeout = milliseconds(200);
static constexpr Duration MaxRetransmissionTimeout = milliseconds(1600);
static constexpr std::uint16_t RequestBytes = 100;
static constexpr std::uint32_t AnswerBytes = 1000;
static constexpr std::uint16_t FirstPort = 1024;
static constexpr std::uint64_t PortCount = 60'000;

ModelCallers::ModelCallers(ModelWorld &world, CallerOptions opt)
    : World(world), Options(std::move(opt)) {}

auto ModelCallers::start() -> void {
  for (std::size_t i = 0; i < Options.Kinds.size(); ++i)
    scheduleNext(i);
}

auto ModelCallers::scheduleNext(std::size_t kind) -> void {
  const auto &k = Options.Kinds[kind];
  const auto rate = k.PerSecond * LoadFactor;
  if (rate <= 0)
    return;
  const std::chrono::duration<double> gap(-std::log(1 - World.random().unit()) /
                                          rate);
  World.after(std::chrono::duration_cast<Duration>(gap), [this, kind] {
    if (Stopped)
      return;
    submit(Options.Kinds[kind]);
    scheduleNext(kind);
  });
}

auto ModelCallers::submit(const RequestKind &k) -> void {
  auto r = std::make_shared<Request>();
  r->Number = ++LastRequestNumber;
  r->Idempotent = k.Idempotent;
  r->Service = k.Service;
  r->From = Options.DataCentre;
  r->SentAt = World.now();
  r->Deadline = r->SentAt + k.Deadline;
  World.after(k.Deadline, [this, r] {
    if (!r->Done)
      end(*r, false);
  });
  attempt(r, k.LongFlows);
}

auto ModelCallers::attempt(const std::shared_ptr<Request> &r, bool isLong)
    -> void {
  ++r->Attempts;
  auto &idle = IdleFlows[r->Service];
  while (isLong && !idle.empty()) {
    const auto key = idle.back();
    idle.pop_back();
    const auto it = Flows.find(key);
    if (it == Flows.end())
      continue;
    it->second.CurrentRequest = r;
    return sendData(it->second);
  }
  openFlow(r, isLong);
}

auto ModelCallers::openFlow(const std::shared_ptr<Request> &r, bool isLong)
    -> void {
  const auto n = ++LastFlowNumber;
  Flow f;
  f.Key = {{Options.FirstAddress + static_cast<std::uint32_t>(n / PortCount),
            static_cast<std::uint16_t>(FirstPort + n % PortCount)},
           r->Service};
  f.Long = isLong;
  f.InitialSequence = static_cast<std::uint32_t>(World.random().next()) | 1U;
  f.NextSequence = f.InitialSequence + 1;
  f.CurrentRequest = r;
  const auto key = f.Key;
  Flows[key] = std::move(f);
  for (std::uint32_t transmission = 0; transmission < OpeningSendTimes.size();
       ++transmission)
    World.after(OpeningSendTimes.at(transmission), [this, key, transmission] {
      sendOpening(key, 0, transmission);
    });
  World.after(OpeningTimeout, [this, key] {
    if (find(key, 0) != nullptr)
      onFlowFailed(key, false);
  });
}

auto ModelCallers::find(const FlowKey &key, unsigned step) -> Flow * {
  const auto it = Flows.find(key);
  return it != Flows.end() && it->second.Step == step ? &it->second : nullptr;
}

auto ModelCallers::send(Flow &f, FlowPacket h, std::shared_ptr<Request> content)
    -> void {
  h.Flow = f.Key;
  h.Tag = f.Tag;
  World.sendToEdge(Options.DataCentre, {h, std::move(content), World.now()});
}

auto ModelCallers::sendOpening(const FlowKey &key, unsigned step,
                               std::uint32_t transmission) -> void {
  auto *f = find(key, step);
  if (f == nullptr)
    return;
  FlowPacket h;
  h.Opens = true;
  h.Sequence = f->InitialSequence;
  h.Acknowledged = transmission;
  send(*f, h, nullptr);
}

auto ModelCallers::sendData(Flow &f) -> void {
  ++f.Step;
  transmitData(f.Key, f.Step, InitialRetransmissionTimeout);
}

auto ModelCallers::transmitData(const FlowKey &key, unsigned step,
                                Duration wait) -> void {
  auto *f = find(key, step);
  if (f == nullptr)
    return;
  FlowPacket h;
  h.Acknowledges = true;
  h.Sequence = f->NextSequence;
  h.Acknowledged = f->Acknowledged;
  h.Length = RequestBytes;
  send(*f, h, f->CurrentRequest);
  World.after(wait, [this, key, step, wait] {
    transmitData(key, step, std::min(2 * wait, MaxRetransmissionTimeout));
  });
}

auto ModelCallers::sendAcknowledgement(Flow &f, bool finishes) -> void {
  FlowPacket h;
  h.Acknowledges = true;
  h.Finishes = finishes;
  h.Sequence = f.NextSequence;
  h.Acknowledged = f.Acknowledged;
  send(f, h, nullptr);
}

auto ModelCallers::receive(const Reply &r) -> void {
  const auto it = Flows.find(r.Flow);
  if (it == Flows.end())
    return;
  auto &f = it->second;
  switch (r.Kind) {
  case ReplyKind::Accepted:
    // A caller echoes the tag that it received last, also that of a second
    // upstream which answers the opening.
    f.Tag = r.Tag;
    if (f.Open)
      return;
    f.Open = true;
    return sendData(f);
  case ReplyKind::Answered:
  case ReplyKind::Refused:
    if (f.CurrentRequest != nullptr && r.Sequence == f.NextSequence)
      onAnswered(f, r);
    return;
  case ReplyKind::Reset:
    return onFlowFailed(r.Flow, f.Open);
  }
}

auto ModelCallers::onAnswered(Flow &f, const Reply &r) -> void {
  const auto request = std::exchange(f.CurrentRequest, nullptr);
  const auto isLong = f.Long;
  ++f.Step;
  f.NextSequence += RequestBytes;
  f.Acknowledged += r.Kind == ReplyKind::Refused ? RefusalBytes : AnswerBytes;
  const auto staysOpen = isLong && !r.Closes;
  sendAcknowledgement(f, !staysOpen);
  if (staysOpen)
    IdleFlows[request->Service].push_back(f.Key);
  else
    Flows.erase(f.Key);
  if (r.Kind == ReplyKind::Answered)
    end(*request, true);
  else
    retry(request, false, isLong);
}

auto ModelCallers::onFlowFailed(const FlowKey &key, bool mayHaveRun) -> void {
  const auto it = Flows.find(key);
  const auto request = it->second.CurrentRequest;
  const auto isLong = it->second.Long;
  Flows.erase(it);
  if (request != nullptr)
    retry(request, mayHaveRun, isLong);
}

auto ModelCallers::retry(const std::shared_ptr<Request> &r, bool mayHaveRun,
                         bool isLong) -> void {
  if (r->Done)
    return;
  const auto isAllowed = r->Idempotent || !mayHaveRun;
  if (!isAllowed || r->Attempts > Options.MaxRetries ||
      World.now() >= r->Deadline)
    return end(*r, false);
  attempt(r, isLong);
}

auto ModelCallers::end(Request &r, bool isServed) -> void {
  if (std::exchange(r.Done, true))
    return;
  World.onRequestEnded(r, isServed);
}

} // namespace boragebridge::edge_model
