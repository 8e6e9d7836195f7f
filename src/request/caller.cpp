#include "boragebridge/caller.h"

#include "request/answer.h"
#include "request/messages.h"
#include "request/ticket.h"

#include <algorithm>

namespace boragebridge {

namespace {

/// How long a ticket may be used; well below the age up to which instances
/// accept tickets.
constexpr Duration TicketLifetime = std::chrono::seconds(20);
/// A refused request is not retried when less time than this is left until its
/// deadline.
constexpr Duration MinRetryTime = std::chrono::milliseconds(150);
/// Limit on the unused tickets that are kept.
constexpr std::size_t MaxTickets = 16;
/// Limit on the request numbers that are kept to detect duplicate replies; the
/// oldest is dropped first. When a duplicate arrives after that, the instance
/// distinguishes the reused number from a new request.
constexpr std::size_t MaxRecentTicketNumbers = 16384;

auto toMilliseconds(Duration d) -> std::uint32_t {
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(d).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, ms));
}

} // namespace

struct Caller::Ticket {
  std::uint64_t Number = 0;
  Bytes Sealed;
  TimePoint Received;
};

struct Caller::Entry {
  RequestSpec Spec;
  TimePoint Deadline;
  TimePoint NextSend;
  Duration Interval{};
  /// 0 while the request waits for a ticket.
  std::uint64_t Number = 0;
  Bytes Sealed;
  AnswerAssembler Answer;
  bool Cancelled = false;
  /// True when the request has asked for a ticket. A refused request first
  /// waits for its retry delay.
  bool AwaitingTicket = false;
};

Caller::Caller(CallerId id, const FlowKey &flow, const Clock &time,
               RandomSource &random, CallerSink &sink, CallerSettings opt)
    : Id(id), Flow(flow), Time(time), Random(random), Sink(sink),
      Settings(opt) {}

Caller::~Caller() = default;

auto Caller::inProgress() const -> std::size_t { return Entries.size(); }

auto Caller::submit(RequestSpec spec) -> RequestHandle {
  const RequestHandle h{NextHandle++};
  if (spec.Body.size() > Settings.MaxBody ||
      Entries.size() >= Settings.MaxInProgress) {
    Sink.onOutcome(h, {OutcomeKind::RefusedNotRun, {}, Settings.Retransmit});
    return h;
  }
  auto &e = Entries[raw(h)];
  e.Deadline = Time.now() + spec.Deadline;
  e.Spec = std::move(spec);
  begin(e);
  return h;
}

auto Caller::cancel(RequestHandle h) -> void {
  auto it = Entries.find(raw(h));
  if (it == Entries.end())
    return;
  auto &e = it->second;
  if (e.Number == 0)
    return finish(it, {OutcomeKind::RefusedNotRun, {}, {}});
  e.Cancelled = true;
  e.Spec.RetryRefusals = false;
  e.Deadline = std::min(e.Deadline, Time.now() + Settings.CancelWait);
  send(e);
}

/// Assigns a ticket to \p e, if there is one, and sends it. Without a ticket
/// the request only asks for one.
auto Caller::begin(Entry &e) -> void {
  e.Number = 0;
  e.Sealed.clear();
  e.Answer = {};
  e.Interval = Settings.Retransmit;
  e.AwaitingTicket = !takeTicket(e);
  send(e);
}

auto Caller::send(Entry &e) -> void {
  const auto now = Time.now();
  e.NextSend = now + Random.jitter(e.Interval);
  e.Interval = std::min(e.Interval * 2, Settings.RetransmitMax);
  if (e.Cancelled) {
    rw::CancelT m;
    m.caller = raw(Id);
    m.number = e.Number;
    m.ticket = toWire(e.Sealed);
    Sink.sendToFabric({PacketKind::Cancel, Flow, encode(m)});
    return;
  }
  rw::RequestT m;
  m.caller = raw(Id);
  m.number = e.Number;
  m.service = raw(e.Spec.Service);
  m.remaining_ms = toMilliseconds(e.Deadline - now);
  m.may_repeat = e.Spec.MayRepeat;
  m.ticket = toWire(e.Sealed);
  if (e.Number != 0)
    m.body = toWire(e.Spec.Body);
  ++Sent;
  Sink.sendToFabric({PacketKind::Request, Flow, encode(m)});
}

auto Caller::storeTicket(std::uint64_t number, Bytes sealed) -> void {
  if (number == 0 || sealed.empty() ||
      !RecentTicketNumbers.insert(number).second)
    return;
  RecentTicketOrder.push_back(number);
  if (RecentTicketOrder.size() > MaxRecentTicketNumbers) {
    RecentTicketNumbers.erase(RecentTicketOrder.front());
    RecentTicketOrder.pop_front();
  }
  if (Tickets.size() < MaxTickets)
    Tickets.push_back({number, std::move(sealed), Time.now()});
}

auto Caller::takeTicket(Entry &e) -> bool {
  const auto oldest = Time.now() - TicketLifetime;
  std::erase_if(Tickets,
                [oldest](const Ticket &t) { return t.Received < oldest; });
  if (Tickets.empty())
    return false;
  e.Number = Tickets.back().Number;
  e.Sealed = std::move(Tickets.back().Sealed);
  Tickets.pop_back();
  return true;
}

/// The instance that issued \p sealed may have failed: its other tickets would
/// only lead to unknown outcomes.
auto Caller::dropTicketsOfSameOwner(const Bytes &sealed) -> void {
  const auto owner = readTicket(sealed);
  std::erase_if(Tickets, [&owner](const Ticket &t) {
    const auto f = readTicket(t.Sealed);
    return owner && f && f->OwnerIncarnation == owner->OwnerIncarnation;
  });
}

/// Assigns tickets to the requests that wait for one.
auto Caller::assignTickets() -> void {
  for (auto &[handle, e] : Entries) {
    if (Tickets.empty())
      return;
    if (e.AwaitingTicket && takeTicket(e)) {
      e.AwaitingTicket = false;
      e.Interval = Settings.Retransmit;
      send(e);
    }
  }
}

auto Caller::findByNumber(std::uint64_t number) -> EntryIterator {
  if (number == 0)
    return Entries.end();
  return std::find_if(Entries.begin(), Entries.end(), [number](const auto &v) {
    return v.second.Number == number;
  });
}

auto Caller::onPacket(const Packet &p) -> void {
  rw::ReplyT m;
  if (p.Kind != PacketKind::Reply || !decode(p.Payload, m) ||
      m.caller != raw(Id))
    return;
  storeTicket(m.next_number, fromWire(m.ticket));
  auto it = findByNumber(m.number);
  if (it != Entries.end()) {
    auto &e = it->second;
    switch (m.outcome) {
    case rw::Outcome::Answered:
      e.Answer.add(m.chunk, m.chunks, m.digest, fromWire(m.body));
      if (auto whole = e.Answer.take())
        finish(it, {OutcomeKind::Answered, std::move(*whole), {}});
      break;
    case rw::Outcome::RefusedNotRun:
      onRefusal(it, std::chrono::milliseconds(m.retry_after_ms));
      break;
    case rw::Outcome::Unknown:
      dropTicketsOfSameOwner(e.Sealed);
      if (m.final)
        finish(it, {OutcomeKind::Unknown, {}, {}});
      break;
    case rw::Outcome::AlreadyRun:
      finish(it, {OutcomeKind::AlreadyRun, {}, {}});
      break;
    }
  }
  assignTickets();
}

/// The refused number is closed, so a retry needs a new one.
auto Caller::onRefusal(EntryIterator it, Duration retryAfter) -> void {
  auto &e = it->second;
  const auto next =
      Time.now() + (Settings.HonourRetryAfter ? retryAfter : Duration::zero());
  if (!e.Spec.RetryRefusals || next + MinRetryTime >= e.Deadline)
    return finish(it, {OutcomeKind::RefusedNotRun, {}, retryAfter});
  if (next == Time.now())
    return begin(e);
  e.Number = 0;
  e.Sealed.clear();
  e.NextSend = next;
  e.Interval = Settings.Retransmit;
}

auto Caller::tick() -> void {
  const auto now = Time.now();
  for (auto it = Entries.begin(); it != Entries.end();) {
    auto at = it++;
    auto &e = at->second;
    if (now >= e.Deadline) {
      expire(at);
      continue;
    }
    if (now >= e.NextSend && e.Number == 0)
      begin(e);
    else if (now >= e.NextSend) {
      dropTicketsOfSameOwner(e.Sealed);
      send(e);
    }
  }
}

auto Caller::expire(EntryIterator it) -> void {
  const auto &e = it->second;
  if (e.Number == 0)
    return finish(it, {OutcomeKind::RefusedNotRun, {}, {}});
  if (e.Answer.isStarted())
    return finish(it, {OutcomeKind::AlreadyRun, {}, {}});
  finish(it, {OutcomeKind::Unknown, {}, {}});
}

auto Caller::finish(EntryIterator it, const RequestOutcome &o) -> void {
  const RequestHandle h{it->first};
  Entries.erase(it);
  Sink.onOutcome(h, o);
}

} // namespace boragebridge
