#include "request/dispatcher.h"

#include <xxhash.h>

#include <algorithm>

namespace boragebridge {

namespace {

/// The typical run time is a moving average in which the newest run has the
/// weight 1 / RunTimeSmoothing.
constexpr int RunTimeSmoothing = 8;
/// Queue length that is allowed for a service while no slot is leased for it.
constexpr std::size_t QueueWithoutSlots = 16;
/// Backoff of an upstream that refused a request, before jitter.
constexpr Duration RefusalBackoff = std::chrono::milliseconds(100);
/// Shortest interval between updates of the Overload section of the blackboard.
constexpr Duration PressureInterval = std::chrono::milliseconds(100);

auto toMilliseconds(Duration d) -> std::uint32_t {
  return static_cast<std::uint32_t>(
      std::chrono::floor<std::chrono::milliseconds>(d).count());
}

} // namespace

auto digestRequest(ServiceId s, ByteView body) -> std::uint64_t {
  return XXH3_64bits_withSeed(body.data(), body.size(), raw(s));
}

Dispatcher::Dispatcher(const ControllerContext &ctx, Ledger &ledger,
                       ReplySender &replies, UpstreamObserver *observer)
    : Ctx(ctx), LocalLedger(ledger), Replies(replies), Observer(observer),
      Slots(ctx), NextAttempt(static_cast<std::uint32_t>(ctx.Random.next())),
      Sent(ctx.Metrics.counter("request_executes_total",
                               "Attempts sent to upstreams")),
      InternalRetries(ctx.Metrics.counter(
          "request_own_retries_total",
          "Attempts repeated after an upstream refused to run one")),
      UpstreamRefusals(ctx.Metrics.counter("request_upstream_refusals_total",
                                           "Attempts that upstreams refused")),
      Timeouts(
          ctx.Metrics.counter("request_timeouts_total",
                              "Attempts without a result at their deadline")),
      LateResults(ctx.Metrics.counter("request_late_results_total",
                                      "Results taken after the deadline")),
      StrayResults(
          ctx.Metrics.counter("request_stray_results_total",
                              "Results that match no attempt; dropped")),
      TruncatedAnswers(ctx.Metrics.counter(
          "request_cut_answers_total",
          "Answers of which a part was missing at the deadline")),
      AdmissionRefusals(ctx.Metrics.counter(
          "request_admission_refusals_total",
          "Requests refused because the wait would be too long")) {}

auto Dispatcher::expectedWait(ServiceId s) const -> Duration {
  auto it = Services.find(s);
  const auto typical = it == Services.end() ? ServiceState{}.TypicalRunTime
                                            : it->second.TypicalRunTime;
  const auto slots = std::max<std::size_t>(1, Slots.leaseCount(s));
  return typical * static_cast<std::int64_t>(Queue.size(s)) /
         static_cast<std::int64_t>(slots);
}

auto Dispatcher::mayAdmit(const NewRequest &r, TimePoint) const -> bool {
  if (!Slots.isServable(r.Service) || Requests.size() >= MaxRequests ||
      BodyBytes + r.Body.size() > MaxBodyBytes)
    return false;
  if (Slots.leaseCount(r.Service) == 0)
    return Queue.size(r.Service) < QueueWithoutSlots &&
           r.Remaining > Duration::zero();
  const auto wait = expectedWait(r.Service);
  auto it = Services.find(r.Service);
  const auto typical = it == Services.end() ? ServiceState{}.TypicalRunTime
                                            : it->second.TypicalRunTime;
  return wait <= MaxQueueWait && wait + typical < r.Remaining;
}

auto Dispatcher::start(NewRequest r, TimePoint now) -> void {
  const auto service = r.Service;
  const auto attempt = NextAttempt++;
  const auto deadline = now + r.Remaining;
  if (!mayAdmit(r, now) || !Queue.push(service, {attempt, deadline})) {
    AdmissionRefusals.add();
    replyNotRun(r);
    return;
  }
  BodyBytes += r.Body.size();
  ++Active;
  ByKey[{r.From.Caller, r.From.Number}] = attempt;
  Requests[attempt] =
      Request{std::move(r), State::Queued, deadline, {}, {}, {}, false};
  Budget.onFirstAttempt();
  dispatch(service, now);
  updateLoad(service, now);
}

auto Dispatcher::join(const ReplyTarget &from, std::uint64_t digest) -> bool {
  auto it = ByKey.find({from.Caller, from.Number});
  if (it == ByKey.end())
    return false;
  auto &r = Requests.at(it->second);
  if (r.Content.Digest != digest || r.CurrentState == State::TimedOut)
    Replies.unknown(from, ReplyFinality::Provisional);
  else
    r.Content.From.Flow = from.Flow;
  return true;
}

auto Dispatcher::cancel(const ReplyTarget &from) -> bool {
  auto it = ByKey.find({from.Caller, from.Number});
  if (it == ByKey.end())
    return false;
  const auto attempt = it->second;
  auto &r = Requests.at(attempt);
  r.Content.From.Flow = from.Flow;
  if (r.CurrentState == State::TimedOut) {
    Replies.unknown(from, ReplyFinality::Provisional);
    return true;
  }
  if (r.CurrentState == State::Queued) {
    Queue.remove(r.Content.Service, attempt);
    refuse(attempt);
    return true;
  }
  r.Cancelled = true;
  rw::CancelT m;
  m.caller = raw(from.Caller);
  m.number = from.Number;
  m.attempt = attempt;
  Ctx.Packets.sendToUpstream(r.Slot.Address,
                             {PacketKind::Cancel, from.Flow, encode(m)});
  return true;
}

auto Dispatcher::dispatch(ServiceId s, TimePoint now) -> void {
  for (const auto &q : Queue.takeLate(s, now + Services[s].TypicalRunTime))
    refuse(q.Attempt);
  while (Queue.size(s) != 0) {
    const auto slot = Slots.acquire(s, now);
    if (!slot)
      return;
    QueuedRequest q;
    if (!Queue.pop(s, q))
      return;
    send(q.Attempt, Requests.at(q.Attempt), *slot, now);
  }
}

auto Dispatcher::send(std::uint32_t attempt, Request &r, const LeasedSlot &slot,
                      TimePoint now) -> void {
  const auto &c = r.Content;
  if (c.Sequence && !LocalLedger.markSent(*c.Sequence)) {
    Slots.release(slot, now);
    Replies.unknown(c.From, ReplyFinality::Final);
    erase(attempt);
    return;
  }
  const auto limit = std::min(r.Deadline - now, SlotLeaseTerms::MaxExecution);
  r.CurrentState = State::Running;
  r.Slot = slot;
  r.SentAt = now;
  ++Services[c.Service].Running;
  Timers.emplace(now + limit + SlotLeaseTerms::Margin, attempt);
  rw::ExecuteT m;
  m.service = raw(c.Service);
  m.caller = raw(c.From.Caller);
  m.number = c.From.Number;
  m.attempt = attempt;
  m.remaining_ms = std::max(1U, toMilliseconds(limit));
  m.body = toWire(c.Body);
  Sent.add();
  if (Observer != nullptr)
    Observer->onWorkSent(slot.Slot.Upstream);
  Ctx.Packets.sendToUpstream(slot.Address,
                             {PacketKind::Execute, c.From.Flow, encode(m)});
}

auto Dispatcher::onResult(const Endpoint &peer, const rw::ResultT &m,
                          TimePoint now) -> void {
  auto it = Requests.find(m.attempt);
  if (it == Requests.end() || it->second.CurrentState == State::Queued ||
      it->second.Slot.Address != peer ||
      raw(it->second.Content.From.Caller) != m.caller ||
      it->second.Content.From.Number != m.number) {
    StrayResults.add();
    return;
  }
  auto &r = it->second;
  const auto service = r.Content.Service;
  switch (m.outcome) {
  case rw::ResultOutcome::Answered:
    onAnswer(m.attempt, r, m, now);
    break;
  case rw::ResultOutcome::Refused:
    onRefused(m.attempt, r, m, now);
    break;
  case rw::ResultOutcome::Stopped:
    if (r.CurrentState == State::Running)
      endRun(r, now);
    Replies.unknown(r.Content.From, ReplyFinality::Final);
    erase(m.attempt);
    break;
  }
  dispatch(service, now);
  updateLoad(service, now);
}

auto Dispatcher::onAnswer(std::uint32_t attempt, Request &r,
                          const rw::ResultT &m, TimePoint now) -> void {
  r.Answer.add(m.chunk, m.chunks, m.digest, fromWire(m.body));
  auto whole = r.Answer.take();
  if (!whole)
    return;
  const auto latency = now - r.SentAt;
  if (r.CurrentState == State::Running) {
    auto &typical = Services[r.Content.Service].TypicalRunTime;
    typical += (latency - typical) / RunTimeSmoothing;
    endRun(r, now);
    if (Observer != nullptr)
      Observer->onAnswer(r.Slot.Slot.Upstream, latency);
  } else {
    LateResults.add();
  }
  auto body = std::make_shared<const Bytes>(std::move(*whole));
  if (r.Content.Sequence)
    LocalLedger.keepAnswer(*r.Content.Sequence, r.Content.Digest, body, now);
  Replies.answer(r.Content.From, *body);
  erase(attempt);
}

/// The upstream did not begin the request, so another attempt is safe. It gets
/// a new attempt number, so that a duplicate of this refusal is not mistaken
/// for its result.
auto Dispatcher::onRefused(std::uint32_t attempt, Request &r,
                           const rw::ResultT &m, TimePoint now) -> void {
  UpstreamRefusals.add();
  if (Observer != nullptr) {
    constexpr auto LastReason =
        static_cast<std::uint8_t>(RefusalReason::Unavailable);
    Observer->onRefusal(
        r.Slot.Slot.Upstream,
        static_cast<RefusalReason>(std::min(m.reason, LastReason)));
  }
  if (r.Content.Sequence)
    LocalLedger.unmarkSent(*r.Content.Sequence);
  const auto isLate = r.CurrentState == State::TimedOut;
  if (!isLate)
    endRun(r, now + Ctx.Random.jitter(RefusalBackoff));
  if (isLate || r.Cancelled || r.Deadline <= now || !Budget.take())
    return refuse(attempt);
  InternalRetries.add();
  const auto next = NextAttempt++;
  auto moved = Requests.extract(attempt);
  moved.key() = next;
  moved.mapped().CurrentState = State::Queued;
  moved.mapped().Answer = {};
  ByKey[{moved.mapped().Content.From.Caller,
         moved.mapped().Content.From.Number}] = next;
  Queue.pushFront(moved.mapped().Content.Service,
                  {next, moved.mapped().Deadline});
  Requests.insert(std::move(moved));
}

/// Ends the attempt of \p r and releases its slot.
auto Dispatcher::endRun(Request &r, TimePoint backoffUntil) -> void {
  --Services[r.Content.Service].Running;
  Slots.release(r.Slot, backoffUntil);
}

/// Closes and refuses a request that provably did not run.
auto Dispatcher::refuse(std::uint32_t attempt) -> void {
  replyNotRun(Requests.at(attempt).Content);
  erase(attempt);
}

auto Dispatcher::replyNotRun(const NewRequest &r) -> void {
  if (!r.Sequence)
    return Replies.unknown(r.From, ReplyFinality::Provisional);
  LocalLedger.closeNotRun(*r.Sequence);
  Replies.refuse(r.From, retryAfter(expectedWait(r.Service), Ctx.Random));
}

auto Dispatcher::erase(std::uint32_t attempt) -> void {
  auto it = Requests.find(attempt);
  const auto &c = it->second.Content;
  Active -= it->second.CurrentState == State::TimedOut ? 0 : 1;
  BodyBytes -= c.Body.size();
  ByKey.erase({c.From.Caller, c.From.Number});
  Requests.erase(it);
}

/// By now the upstream has stopped the request, but a result may still be in
/// transit.
auto Dispatcher::onTimer(std::uint32_t attempt, TimePoint now) -> void {
  auto it = Requests.find(attempt);
  if (it == Requests.end())
    return;
  auto &r = it->second;
  if (r.CurrentState == State::TimedOut || !r.Content.Sequence) {
    if (r.CurrentState == State::Running)
      endRun(r, now);
    return erase(attempt);
  }
  Timeouts.add();
  if (Observer != nullptr)
    Observer->onTimeout(r.Slot.Slot.Upstream);
  endRun(r, now);
  --Active;
  r.CurrentState = State::TimedOut;
  BodyBytes -= r.Content.Body.size();
  r.Content.Body.clear();
  if (r.Answer.isStarted()) {
    TruncatedAnswers.add();
    LocalLedger.markRun(*r.Content.Sequence);
  }
  Timers.emplace(now + LateResultWindow, attempt);
}

auto Dispatcher::tick(TimePoint now) -> void {
  while (!Timers.empty() && Timers.begin()->first <= now) {
    const auto attempt = Timers.begin()->second;
    Timers.erase(Timers.begin());
    onTimer(attempt, now);
  }
  Slots.tick(now);
  for (const auto s : Queue.services()) {
    dispatch(s, now);
    updateLoad(s, now);
  }
  publishPressure(now);
}

auto Dispatcher::updateLoad(ServiceId s, TimePoint now) -> void {
  Slots.setLoad(
      s, {static_cast<std::uint32_t>(Queue.size(s)), Services[s].Running}, now);
  dispatch(s, now);
}

auto Dispatcher::publishPressure(TimePoint now) -> void {
  if (now < NextPressureUpdate)
    return;
  NextPressureUpdate = now + PressureInterval;
  OverloadView view;
  for (const auto s : Queue.services()) {
    const auto share = static_cast<double>(expectedWait(s).count()) /
                       static_cast<double>(MaxQueueWait.count());
    view.Pressure[s] = std::min(1.0, share);
  }
  if (view.Pressure != Ctx.Board.Overload.read()->Pressure)
    Ctx.Board.Overload.publish(std::move(view));
}

auto Dispatcher::onPoolFrame(RequestMessage kind, const PeerFrame &f,
                             TimePoint now) -> bool {
  if (!Slots.onFrame(kind, f, now))
    return false;
  for (const auto s : Queue.services())
    dispatch(s, now);
  return true;
}

} // namespace boragebridge
