/// \file
/// The caller's side of the request plane. It performs no I/O: the program that
/// uses it sends and receives the datagrams and calls tick().
///
/// Example:
/// \code
///   Caller caller(id, flow, clock, random, sink);
///   auto h = caller.submit({.Service = booking, .Body = body});
///   // for each datagram:  caller.onPacket(packet);
///   // every few ms:       caller.tick();
///   // sink.onOutcome(h, outcome) is called exactly once for h.
/// \endcode
///
/// docs/CALLERS.md describes the outcomes and how to handle each of them.
#ifndef BORAGEBRIDGE_CALLER_H
#define BORAGEBRIDGE_CALLER_H

#include "boragebridge/clock.h"
#include "boragebridge/packet.h"
#include "boragebridge/random.h"

#include <deque>
#include <map>
#include <unordered_set>
#include <vector>

namespace boragebridge {

/// Identifies one submitted request of a Caller.
enum class RequestHandle : std::uint64_t {};

/// How a request ended.
enum class OutcomeKind : std::uint8_t {
  Answered,      ///< Ran; Body holds the complete answer.
  RefusedNotRun, ///< Did not run, and cannot run under this number.
  Unknown,       ///< May have run, or may still run until its deadline.
  AlreadyRun,    ///< Ran, but the complete answer is not available.
};

/// The result of a request, as reported to the program.
struct RequestOutcome {
  OutcomeKind Kind = OutcomeKind::Unknown;
  Bytes Body;
  /// For a refusal: how long to wait before a new request.
  Duration RetryAfter{};
};

/// A request to submit.
struct RequestSpec {
  ServiceId Service{};
  Bytes Body{};
  /// Maximum time until the outcome is reported.
  Duration Deadline = std::chrono::seconds(3);
  /// True if the request may run more than once without harm.
  bool MayRepeat = false;
  /// Retry a refused request under a new number until the deadline.
  bool RetryRefusals = true;
};

/// Options of a Caller.
struct CallerSettings {
  /// Delay before a request is retransmitted under the same number. Doubles
  /// with each retransmission up to RetransmitMax.
  Duration Retransmit = std::chrono::milliseconds(200);
  Duration RetransmitMax = std::chrono::milliseconds(1600);
  /// If false, a refused request is retried at once.
  bool HonourRetryAfter = true;
  /// How long a cancelled request waits for its outcome.
  Duration CancelWait = std::chrono::milliseconds(500);
  /// Maximum number of requests in progress. submit() refuses any further one.
  std::size_t MaxInProgress = 256;
  /// Largest body of a request, in bytes.
  std::size_t MaxBody = 48U << 10U;
};

/// Functions that the program provides to a Caller. They must not call back
/// into the Caller.
class CallerSink {
public:
  CallerSink() = default;
  CallerSink(const CallerSink &) = delete;
  auto operator=(const CallerSink &) -> CallerSink & = delete;
  virtual ~CallerSink() = default;
  /// Sends \p p to the service's address. The packet may be lost.
  virtual auto sendToFabric(const Packet &p) -> void = 0;
  /// Request \p h has ended. Called exactly once for each handle, from tick()
  /// or onPacket(), or from submit() when the request was refused at once.
  virtual auto onOutcome(RequestHandle h, const RequestOutcome &o) -> void = 0;
};

/// A client of the request plane. Not thread-safe: all calls must come from one
/// thread.
class Caller {
public:
  /// \p flow holds the caller's endpoint and the service's address. The
  /// references must outlive the Caller. \p id must be random, and no two
  /// programs may use the same one.
  Caller(CallerId id, const FlowKey &flow, const Clock &time,
         RandomSource &random, CallerSink &sink, CallerSettings opt = {});
  Caller(const Caller &) = delete;
  auto operator=(const Caller &) -> Caller & = delete;
  ~Caller();

  /// Starts a request. If the body exceeds CallerSettings::MaxBody or
  /// CallerSettings::MaxInProgress is reached, the outcome RefusedNotRun is
  /// reported from within this call.
  auto submit(RequestSpec spec) -> RequestHandle;
  /// Cancels \p h and asks the service to cancel it too. The outcome follows
  /// within CallerSettings::CancelWait. It is RefusedNotRun if the request
  /// provably did not run. Unknown handles are ignored.
  auto cancel(RequestHandle h) -> void;
  /// Handles a Reply. Packets of another kind and malformed ones are ignored.
  auto onPacket(const Packet &p) -> void;
  /// Retransmits the requests that are due and ends those past their deadline.
  auto tick() -> void;

  /// Number of requests in progress.
  auto inProgress() const -> std::size_t;
  /// Number of datagrams of kind Request sent so far.
  auto sentCount() const -> std::uint64_t { return Sent; }

private:
  struct Ticket;
  struct Entry;
  using EntryIterator = std::map<std::uint64_t, Entry>::iterator;

  auto begin(Entry &e) -> void;
  auto send(Entry &e) -> void;
  auto storeTicket(std::uint64_t number, Bytes sealed) -> void;
  auto takeTicket(Entry &e) -> bool;
  auto dropTicketsOfSameOwner(const Bytes &sealed) -> void;
  auto assignTickets() -> void;
  auto findByNumber(std::uint64_t number) -> EntryIterator;
  auto onRefusal(EntryIterator it, Duration retryAfter) -> void;
  auto expire(EntryIterator it) -> void;
  auto finish(EntryIterator it, const RequestOutcome &o) -> void;

  CallerId Id;
  FlowKey Flow;
  const Clock &Time;
  RandomSource &Random;
  CallerSink &Sink;
  CallerSettings Settings;
  /// Requests in progress, by handle.
  std::map<std::uint64_t, Entry> Entries;
  std::vector<Ticket> Tickets;
  /// Numbers of recently received tickets, so that the ticket of a duplicated
  /// reply is not stored twice.
  std::unordered_set<std::uint64_t> RecentTicketNumbers;
  /// The same numbers, oldest first.
  std::deque<std::uint64_t> RecentTicketOrder;
  std::uint64_t NextHandle = 1;
  std::uint64_t Sent = 0;
};

} // namespace boragebridge

#endif
