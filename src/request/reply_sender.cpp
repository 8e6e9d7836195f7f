#include "request/reply_sender.h"

#include "request/answer.h"

namespace boragebridge {

ReplySender::ReplySender(const ControllerContext &ctx, Ledger &ledger)
    : Ctx(ctx), LocalLedger(ledger),
      Answered(ctx.Metrics.counter("request_answered_total",
                                   "Answers sent to callers")),
      Refused(ctx.Metrics.counter("request_refused_total",
                                  "Refusals, not run, sent to callers")),
      Unknowns(ctx.Metrics.counter("request_unknown_total",
                                   "Unknown outcomes told to callers")),
      AlreadyRuns(ctx.Metrics.counter(
          "request_already_run_total",
          "Retries told that the answer is no longer kept")) {}

auto ReplySender::addTicket(const ReplyTarget &to, rw::ReplyT &m) -> void {
  if (!IssuesTickets)
    return;
  const auto t = LocalLedger.issue(to.Caller);
  m.ticket = toWire(t.Sealed);
  m.next_number = t.Number;
}

auto ReplySender::send(const ReplyTarget &to, rw::ReplyT m) -> void {
  m.caller = raw(to.Caller);
  m.number = to.Number;
  Ctx.Packets.sendToCaller({PacketKind::Reply, to.Flow, encode(m)});
}

auto ReplySender::answer(const ReplyTarget &to, ByteView body) -> void {
  Answered.add();
  const auto count = chunkCount(body.size());
  const auto digest = digestAnswer(body);
  for (std::size_t n = 0; n < count; ++n) {
    rw::ReplyT m;
    m.outcome = rw::Outcome::Answered;
    m.chunk = static_cast<std::uint16_t>(n);
    m.chunks = static_cast<std::uint16_t>(count);
    m.digest = digest;
    m.body = toWire(chunkOf(body, n));
    if (n == 0)
      addTicket(to, m);
    send(to, std::move(m));
  }
}

auto ReplySender::refuse(const ReplyTarget &to, Duration retryAfter) -> void {
  Refused.add();
  rw::ReplyT m;
  m.outcome = rw::Outcome::RefusedNotRun;
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(retryAfter);
  m.retry_after_ms = static_cast<std::uint32_t>(ms.count());
  addTicket(to, m);
  send(to, std::move(m));
}

auto ReplySender::unknown(const ReplyTarget &to, ReplyFinality f) -> void {
  Unknowns.add();
  rw::ReplyT m;
  m.outcome = rw::Outcome::Unknown;
  m.final = f == ReplyFinality::Final;
  if (m.final)
    addTicket(to, m);
  send(to, std::move(m));
}

auto ReplySender::alreadyRun(const ReplyTarget &to) -> void {
  AlreadyRuns.add();
  rw::ReplyT m;
  m.outcome = rw::Outcome::AlreadyRun;
  addTicket(to, m);
  send(to, std::move(m));
}

} // namespace boragebridge
