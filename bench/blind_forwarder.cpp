#include "blind_forwarder.h"

#include "request/messages.h"

#include <unordered_map>

namespace boragebridge::bench {

namespace {

constexpr int MaxAttempts = 3;
constexpr Duration AttemptTimeout = std::chrono::milliseconds(500);

class BlindForwarder final : public Controller {
public:
  explicit BlindForwarder(const ControllerContext &ctx)
      : Ctx(ctx), SentAttempts(ctx.Metrics.counter("request_executes_total",
                                                   "Attempts sent")),
        InternalRetries(ctx.Metrics.counter("request_own_retries_total",
                                            "Attempts repeated")) {}

  auto name() const -> std::string_view override { return "blind_forwarder"; }
  auto family() const -> MessageFamily override {
    return MessageFamily::Request;
  }
  auto onPeerFrame(const PeerFrame &) -> bool override { return true; }

  auto onPacket(PacketOrigin, const Endpoint &, const Packet &p)
      -> bool override {
    if (p.Kind == PacketKind::Request)
      onRequest(p);
    else if (p.Kind == PacketKind::Result)
      onResult(p);
    return true;
  }

  auto tick(TimePoint now) -> void override {
    std::vector<std::uint32_t> timedOut;
    for (const auto &[attempt, it] : Pending)
      if (it.SentAt + AttemptTimeout <= now)
        timedOut.push_back(attempt);
    for (auto attempt : timedOut)
      retry(attempt);
  }

private:
  struct ForwardedRequest {
    FlowKey Flow;
    rw::RequestT Content;
    TimePoint SentAt;
    int AttemptsMade = 0;
  };

  auto onRequest(const Packet &p) -> void {
    ForwardedRequest f{p.Flow, {}, {}, 0};
    if (!decode(p.Payload, f.Content))
      return;
    if (f.Content.number == 0)
      return refuse(f);
    forward(std::move(f));
  }

  /// Refuses the request with a dummy ticket, which no component of the
  /// baseline verifies.
  auto refuse(const ForwardedRequest &f) -> void {
    rw::ReplyT m;
    m.caller = f.Content.caller;
    m.number = f.Content.number;
    m.outcome = rw::Outcome::RefusedNotRun;
    m.ticket = {1};
    m.next_number = Ctx.Random.next() | 1U;
    Ctx.Packets.sendToCaller({PacketKind::Reply, f.Flow, encode(m)});
  }

  auto forward(ForwardedRequest f) -> void {
    const auto cfg = Ctx.Board.Configuration.read();
    std::vector<const Upstream *> all;
    for (const auto &u : cfg->Upstreams)
      if (raw(u.Service) == f.Content.service &&
          !cfg->isWithdrawn(u.DataCentre))
        all.push_back(&u);
    if (all.empty())
      return refuse(f);
    const auto *u = all[Ctx.Random.below(all.size())];
    rw::ExecuteT m;
    m.service = f.Content.service;
    m.caller = f.Content.caller;
    m.number = f.Content.number;
    m.attempt = ++LastAttempt;
    m.remaining_ms = f.Content.remaining_ms;
    m.body = f.Content.body;
    SentAttempts.add();
    f.SentAt = Ctx.Time.now();
    ++f.AttemptsMade;
    const auto flow = f.Flow;
    Pending[m.attempt] = std::move(f);
    Ctx.Packets.sendToUpstream(u->Address,
                               {PacketKind::Execute, flow, encode(m)});
  }

  auto retry(std::uint32_t attempt) -> void {
    auto f = std::move(Pending.at(attempt));
    Pending.erase(attempt);
    if (f.AttemptsMade >= MaxAttempts)
      return refuse(f);
    InternalRetries.add();
    forward(std::move(f));
  }

  auto onResult(const Packet &p) -> void {
    rw::ResultT m;
    if (!decode(p.Payload, m) || !Pending.contains(m.attempt))
      return;
    if (m.outcome != rw::ResultOutcome::Answered)
      return retry(m.attempt);
    rw::ReplyT reply;
    reply.caller = m.caller;
    reply.number = m.number;
    reply.chunk = m.chunk;
    reply.chunks = m.chunks;
    reply.digest = m.digest;
    reply.body = m.body;
    reply.ticket = {1};
    reply.next_number = Ctx.Random.next() | 1U;
    const auto flow = Pending.at(m.attempt).Flow;
    if (m.chunk + 1 == m.chunks)
      Pending.erase(m.attempt);
    Ctx.Packets.sendToCaller({PacketKind::Reply, flow, encode(reply)});
  }

  const ControllerContext &Ctx;
  Counter &SentAttempts;
  Counter &InternalRetries;
  std::unordered_map<std::uint32_t, ForwardedRequest> Pending;
  std::uint32_t LastAttempt = 0;
};

} // namespace

auto makeBlindForwarder(const ControllerContext &ctx) -> ControllerList {
  ControllerList all;
  all.push_back(std::make_unique<BlindForwarder>(ctx));
  return all;
}

} // namespace boragebridge::bench
