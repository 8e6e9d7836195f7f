#include "request/request_controller.h"

#include "request/request_events.h"

#include <boost/json.hpp>

namespace boragebridge {

namespace {

/// Retry delay that is sent to callers, before jitter, while this instance may
/// not serve or is stopping.
constexpr Duration NotServingRetryAfter = std::chrono::milliseconds(300);
/// Shortest interval between log entries for forged tickets; the counter counts
/// all of them.
constexpr Duration ForgedLogInterval = std::chrono::seconds(1);

} // namespace

RequestController::RequestController(const ControllerContext &ctx,
                                     UpstreamObserver *observer)
    : Ctx(ctx), LocalLedger(ctx.Self.Id, ctx.Self.IncarnationNumber, ctx.Random,
                            ctx.Time.now()),
      Replies(Ctx, LocalLedger),
      RequestDispatcher(Ctx, LocalLedger, Replies, observer), Sender(Ctx),
      Announcer(Ctx),
      Received(ctx.Metrics.counter("request_packets_total",
                                   "Requests and cancellations received")),
      Relayed(ctx.Metrics.counter(
          "request_relayed_total",
          "Requests relayed to the incarnation that their ticket names")),
      ForgedTickets(ctx.Metrics.counter("request_forged_tickets_total",
                                        "Requests whose ticket is not ours")),
      BadPackets(ctx.Metrics.counter("request_bad_packets_total",
                                     "Malformed packets; dropped")),
      AnswerBytes(ctx.Metrics.gauge("request_kept_answers_bytes",
                                    "Kept answers, in bytes")) {}

auto RequestController::onPacket(PacketOrigin from, const Endpoint &peer,
                                 const Packet &p) -> bool {
  if (from == PacketOrigin::Fabric &&
      (p.Kind == PacketKind::Request || p.Kind == PacketKind::Cancel)) {
    onCallerPacket(p, false);
    return true;
  }
  if (from != PacketOrigin::Upstream || p.Kind != PacketKind::Result)
    return false;
  rw::ResultT m;
  if (decode(p.Payload, m))
    RequestDispatcher.onResult(peer, m, Ctx.Time.now());
  else
    BadPackets.add();
  return true;
}

/// Decodes a Request, or a Cancel into the fields that both have.
auto RequestController::read(const Packet &p, Incoming &in) const -> bool {
  in.Raw = p;
  in.IsCancel = p.Kind == PacketKind::Cancel;
  if (in.IsCancel) {
    rw::CancelT m;
    if (!decode(p.Payload, m))
      return false;
    in.Content.caller = m.caller;
    in.Content.number = m.number;
    in.Content.ticket = m.ticket;
  } else if (!decode(p.Payload, in.Content)) {
    return false;
  }
  in.From = {p.Flow, CallerId{in.Content.caller}, in.Content.number};
  in.Sealed = fromWire(in.Content.ticket);
  return true;
}

auto RequestController::onCallerPacket(const Packet &p, bool relayed) -> void {
  Received.add();
  Incoming in;
  in.Relayed = relayed;
  if (!read(p, in)) {
    BadPackets.add();
    return;
  }
  const auto fields = readTicket(in.Sealed);
  if (in.From.Number == 0) {
    if (!in.IsCancel)
      Replies.refuse(in.From, retryAfterHint());
    return;
  }
  if (!fields)
    return Replies.unknown(in.From, ReplyFinality::Final);
  in.Fields = *fields;
  auto *ledger = findLedger(fields->OwnerIncarnation);
  if (ledger != nullptr)
    handleByLedger(*ledger, in);
  else
    handleWithoutLedger(in);
}

/// Returns the retry delay of a reply to a request that was not considered for
/// admission.
auto RequestController::retryAfterHint() -> Duration {
  const auto serves = Ctx.Board.Readiness.read()->MayServe && !Stopping;
  return serves ? Duration::zero() : Ctx.Random.jitter(NotServingRetryAfter);
}

auto RequestController::findLedger(Incarnation inc) -> Ledger * {
  if (inc == LocalLedger.incarnation())
    return &LocalLedger;
  auto it = Inherited.find(inc);
  return it == Inherited.end() ? nullptr : it->second.get();
}

/// Relays a request once only. The instance that it reaches holds the ledger,
/// or the membership view of the sender is out of date.
auto RequestController::handleWithoutLedger(const Incoming &in) -> void {
  const auto route = Router.find(in.Fields, *Ctx.Board.Membership.read());
  if (route.Kind == RouteKind::Relay && !in.Relayed) {
    Relayed.add();
    rw::RelayT m;
    m.caller_address = in.Raw.Flow.Caller.Address;
    m.caller_port = in.Raw.Flow.Caller.Port;
    m.service_address = in.Raw.Flow.Service.Address;
    m.service_port = in.Raw.Flow.Service.Port;
    m.protocol = in.Raw.Flow.Protocol;
    m.kind = static_cast<std::uint8_t>(in.Raw.Kind);
    m.payload = toWire(in.Raw.Payload);
    Ctx.Peers.send(route.To, requestKind(RequestMessage::Relay), encode(m),
                   Priority::Data);
    return;
  }
  if (in.Content.may_repeat && !in.IsCancel)
    return runWithoutLedger(in);
  Replies.unknown(in.From, route.Kind == RouteKind::LedgerLost
                               ? ReplyFinality::Final
                               : ReplyFinality::Provisional);
}

/// Runs a repeatable request here when its ledger is unreachable or lost.
auto RequestController::runWithoutLedger(const Incoming &in) -> void {
  const auto digest =
      digestRequest(ServiceId{in.Content.service}, fromWire(in.Content.body));
  if (RequestDispatcher.join(in.From, digest))
    return;
  if (Stopping || !Ctx.Board.Readiness.read()->MayServe)
    return Replies.unknown(in.From, ReplyFinality::Provisional);
  RequestDispatcher.start(makeNewRequest(in), Ctx.Time.now());
}

auto RequestController::makeNewRequest(const Incoming &in) const -> NewRequest {
  NewRequest r;
  r.From = in.From;
  r.Service = ServiceId{in.Content.service};
  r.Body = fromWire(in.Content.body);
  r.Remaining = std::chrono::milliseconds(in.Content.remaining_ms);
  r.Digest = digestRequest(r.Service, r.Body);
  return r;
}

auto RequestController::handleByLedger(Ledger &l, const Incoming &in) -> void {
  const auto status =
      l.statusOf(in.Sealed, in.Fields, in.From.Caller, in.From.Number);
  switch (status) {
  case RequestStatus::MayStart:
    return handleUnusedTicket(l, in);
  case RequestStatus::Forged:
    return handleForgedTicket(in);
  case RequestStatus::Expired:
    l.closeNotRun(in.Fields.Sequence);
    return Replies.refuse(in.From, Duration::zero());
  case RequestStatus::Forgotten:
    return Replies.unknown(in.From, ReplyFinality::Final);
  case RequestStatus::NotRun:
    return Replies.refuse(in.From, retryAfterHint());
  case RequestStatus::MayHaveRun: {
    const auto digest =
        digestRequest(ServiceId{in.Content.service}, fromWire(in.Content.body));
    const auto handled = in.IsCancel ? RequestDispatcher.cancel(in.From)
                                     : RequestDispatcher.join(in.From, digest);
    if (!handled)
      Replies.unknown(in.From, ReplyFinality::Final);
    return;
  }
  case RequestStatus::HasRun:
    return Replies.alreadyRun(in.From);
  case RequestStatus::Answered:
    return replyKeptAnswer(l, in);
  }
}

/// The ticket is genuine and unused: the request is queued or new.
auto RequestController::handleUnusedTicket(Ledger &l, const Incoming &in)
    -> void {
  auto r = makeNewRequest(in);
  if (in.IsCancel ? RequestDispatcher.cancel(in.From)
                  : RequestDispatcher.join(in.From, r.Digest))
    return;
  const auto mayStart =
      !in.IsCancel && !Stopping && Ctx.Board.Readiness.read()->MayServe &&
      !RefusedRequests.contains(in.From.Caller, in.From.Number);
  if (!mayStart) {
    l.closeNotRun(in.Fields.Sequence);
    return Replies.refuse(in.From, retryAfterHint());
  }
  r.Sequence = in.Fields.Sequence;
  RequestDispatcher.start(std::move(r), Ctx.Time.now());
}

/// Refuses the request and records it, so that its number cannot run later.
/// When the number is known to be in use, or cannot be recorded, only an
/// unknown outcome is true.
auto RequestController::handleForgedTicket(const Incoming &in) -> void {
  ForgedTickets.add();
  const auto now = Ctx.Time.now();
  if (now >= NextForgedLog) {
    NextForgedLog = now + ForgedLogInterval;
    Ctx.Log.write(events::TicketForged, {});
  }
  auto *l = findLedger(in.Fields.OwnerIncarnation);
  const auto isUsed =
      in.From.Number == requestNumber(in.Fields) &&
      l->window().contains(in.Fields.Sequence) &&
      l->window().state(in.Fields.Sequence) != TicketState::Unused;
  const auto canClose =
      !isUsed && !RequestDispatcher.isInProgress(in.From) &&
      RefusedRequests.add(in.From.Caller, in.From.Number, now);
  if (canClose)
    return Replies.refuse(in.From, Duration::zero());
  Replies.unknown(in.From, ReplyFinality::Final);
}

auto RequestController::replyKeptAnswer(const Ledger &l, const Incoming &in)
    -> void {
  const auto *kept = l.answer(in.Fields.Sequence);
  const auto digest =
      digestRequest(ServiceId{in.Content.service}, fromWire(in.Content.body));
  if (in.IsCancel || kept->RequestDigest != digest)
    return Replies.alreadyRun(in.From);
  Replies.answer(in.From, *kept->Body);
}

auto RequestController::tick(TimePoint now) -> void {
  LocalLedger.tick(now, Ctx.Random);
  for (auto &[inc, l] : Inherited)
    l->tick(now, Ctx.Random);
  dropStaleLedgers(now);
  RefusedRequests.tick(now);
  RequestDispatcher.tick(now);
  Announcer.tick(now);
  if (Stopping)
    advanceStop(now);
  AnswerBytes.set(static_cast<double>(LocalLedger.answerBytes()));
}

auto RequestController::dropStaleLedgers(TimePoint now) -> void {
  for (auto it = Inherited.begin(); it != Inherited.end();) {
    const auto at = it++;
    if (!at->second->isStale(now))
      continue;
    Announcer.stopAnnouncing(at->first);
    Inherited.erase(at);
  }
}

auto RequestController::beginStop() -> void {
  Stopping = true;
  Replies.stopIssuingTickets();
  RequestDispatcher.beginStop(Ctx.Time.now());
}

auto RequestController::advanceStop(TimePoint now) -> void {
  if (Stopped || !RequestDispatcher.isIdle())
    return;
  if (!Sender.isBegun()) {
    std::vector<const Ledger *> all{&LocalLedger};
    for (const auto &[inc, l] : Inherited)
      all.push_back(l.get());
    Sender.begin(all, now);
    StopLimit = now + MaxHandoverTime;
  }
  const auto wasDone = Sender.isDone();
  Sender.tick(now);
  if (Sender.isDone() && !wasDone)
    return;
  if (Sender.isDone() && Sender.successor()) {
    if (!Router.hasSuccessor(LocalLedger.incarnation())) {
      Router.learnSuccessor(LocalLedger.incarnation(), *Sender.successor());
      Announcer.announce(LocalLedger.incarnation(), *Sender.successor());
      for (const auto &[inc, l] : Inherited)
        Announcer.announce(inc, *Sender.successor());
      Ctx.Log.write(events::LedgerHandedOver, {});
    }
    Stopped = Announcer.isComplete();
  }
  if (Stopped || (now < StopLimit && !Sender.hasNoTarget()))
    return;
  Ctx.Log.write(events::LedgerNotHandedOver, {});
  Stopped = true;
}

auto RequestController::onPeerFrame(const PeerFrame &f) -> bool {
  const auto kind = static_cast<RequestMessage>(f.Kind & 0xFFU);
  switch (kind) {
  case RequestMessage::Relay:
    return onRelay(f);
  case RequestMessage::Demand:
  case RequestMessage::Lend:
  case RequestMessage::PoolHandOver:
  case RequestMessage::PoolClaim:
    return RequestDispatcher.onPoolFrame(kind, f, Ctx.Time.now());
  case RequestMessage::LedgerPart:
    return onLedgerPart(f);
  case RequestMessage::LedgerPartAck:
    return onLedgerPartAck(f);
  case RequestMessage::Successor:
    return onSuccessor(f);
  case RequestMessage::SuccessorAck:
    return onSuccessorAck(f);
  }
  return false;
}

auto RequestController::onRelay(const PeerFrame &f) -> bool {
  rw::RelayT m;
  if (!decode(f.Body, m))
    return false;
  Packet p;
  p.Kind = static_cast<PacketKind>(m.kind);
  if (p.Kind != PacketKind::Request && p.Kind != PacketKind::Cancel)
    return false;
  p.Flow = {{m.caller_address, m.caller_port},
            {m.service_address, m.service_port},
            m.protocol};
  p.Payload = fromWire(m.payload);
  onCallerPacket(p, true);
  return true;
}

auto RequestController::onLedgerPart(const PeerFrame &f) -> bool {
  rw::LedgerPartT m;
  if (!decode(f.Body, m))
    return false;
  const Incarnation inc{m.incarnation};
  rw::LedgerPartAckT ack;
  ack.incarnation = m.incarnation;
  ack.part = m.part;
  if (Stopping || inc == LocalLedger.incarnation())
    return true;
  if (!Inherited.contains(inc)) {
    if (Inherited.size() >= MaxInherited)
      return true;
    if (auto whole = Receiver.add(std::move(m), Ctx.Time.now())) {
      Inherited[inc] = std::move(whole);
      Announcer.announce(inc, {Ctx.Self.Id, Ctx.Self.IncarnationNumber});
      Ctx.Log.write(events::LedgerInherited, {});
    }
  }
  Ctx.Peers.send(f.SenderAddress, requestKind(RequestMessage::LedgerPartAck),
                 encode(ack));
  return true;
}

auto RequestController::onLedgerPartAck(const PeerFrame &f) -> bool {
  rw::LedgerPartAckT m;
  if (!decode(f.Body, m))
    return false;
  Sender.onAck(f, m);
  return true;
}

auto RequestController::onSuccessor(const PeerFrame &f) -> bool {
  rw::SuccessorT m;
  if (!decode(f.Body, m))
    return false;
  const Incarnation inc{m.incarnation};
  Router.learnSuccessor(
      inc, {InstanceId{m.holder}, Incarnation{m.holder_incarnation}});
  rw::SuccessorAckT ack;
  ack.incarnation = m.incarnation;
  Ctx.Peers.send(f.SenderAddress, requestKind(RequestMessage::SuccessorAck),
                 encode(ack));
  return true;
}

auto RequestController::onSuccessorAck(const PeerFrame &f) -> bool {
  rw::SuccessorAckT m;
  if (!decode(f.Body, m))
    return false;
  Announcer.onAck(f, m);
  return true;
}

auto RequestController::dump() const -> boost::json::object {
  boost::json::object root;
  root["in_progress"] = RequestDispatcher.requestCount();
  root["queued"] = RequestDispatcher.queuedCount();
  root["kept_answers"] = LocalLedger.answers().size();
  root["kept_answers_bytes"] = LocalLedger.answerBytes();
  root["tickets_issued"] = LocalLedger.window().end();
  root["ticket_key_epoch"] = LocalLedger.sealer().epoch();
  root["inherited_ledgers"] = Inherited.size();
  root["successors_known"] = Router.successorCount();
  root["kept_pools"] = RequestDispatcher.pools().servedPoolCount();
  root["lent_slots"] = RequestDispatcher.pools().leasedSlotCount();
  root["stopping"] = Stopping;
  return root;
}

auto makeRequestController(const ControllerContext &ctx,
                           UpstreamObserver *observer)
    -> std::unique_ptr<Controller> {
  return std::make_unique<RequestController>(ctx, observer);
}

} // namespace boragebridge
