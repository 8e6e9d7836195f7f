/// \file
/// The caller's side of the request plane, free of I/O: the program that uses
/// it sends and receives the datagrams and calls tick().
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
/// docs/CALLERS.md says what each outcome means and what to do then.
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

/// One submitted request of a Caller.
enum class RequestHandle : std::uint64_t {};

/// How a request ended.
enum class OutcomeKind : std::uint8_t {
  Answered,      ///< Ran; the whole answer is in Body.
  RefusedNotRun, ///< Did not run and never will under its number.
  Unknown,       ///< May have run, or may still run until its deadline.
  AlreadyRun,    ///< Ran; its answer could not be had whole.
};

/// The end of a request, as told to the program.
struct RequestOutcome {
  OutcomeKind Kind = OutcomeKind::Unknown;
  Bytes Body;
  /// When refused: how long to wait before a fresh request.
  Duration RetryAfter{};
};

/// A request as the program describes it.
struct RequestSpec {
  ServiceId Service{};
  Bytes Body{};
  /// How long the program wants to wait for the outcome.
  Duration Deadline = std::chrono::seconds(3);
  /// True when running it more than once does no harm.
  bool MayRepeat = false;
  /// After a refusal, try again under a new number until the deadline.
  bool RetryRefusals = true;
};

/// How a Caller behaves.
struct CallerSettings {
  /// Wait before the same number is sent again; doubles up to the maximum.
  Duration Retransmit = std::chrono::milliseconds(200);
  Duration RetransmitMax = std::chrono::milliseconds(1600);
  /// False: sends a fresh request right after a refusal.
  bool HonourRetryAfter = true;
  /// How long a cancelled request waits for the word of its fate.
  Duration CancelWait = std::chrono::milliseconds(500);
  /// Requests in progress; submit() past it is refused at once.
  std::size_t MaxInProgress = 256;
  /// Largest body of a request, in bytes.
  std::size_t MaxBody = 48U << 10U;
};

/// What a Caller needs of its program. Neither call may call back into the
/// Caller.
class CallerSink {
public:
  CallerSink() = default;
  CallerSink(const CallerSink &) = delete;
  auto operator=(const CallerSink &) -> CallerSink & = delete;
  virtual ~CallerSink() = default;
  /// Sends \p p to the service's address; may lose it.
  virtual auto sendToFabric(const Packet &p) -> void = 0;
  /// Request \p h has ended. Called exactly once for each handle, from tick()
  /// or onPacket(), or from submit() when the request was refused at once.
  virtual auto onOutcome(RequestHandle h, const RequestOutcome &o) -> void = 0;
};

/// One caller. Not thread-safe: all calls come from one thread.
class Caller {
public:
  /// \p flow has the caller's own endpoint and the service's address. The
  /// references outlive the caller. \p id must be drawn at random, and never
  /// be used by two programs.
  Caller(CallerId id, const FlowKey &flow, const Clock &time,
         RandomSource &random, CallerSink &sink, CallerSettings opt = {});
  Caller(const Caller &) = delete;
  auto operator=(const Caller &) -> Caller & = delete;
  ~Caller();

  /// Starts a request. A body over CallerSettings::MaxBody, or one request too
  /// many, ends as RefusedNotRun from within this call.
  auto submit(RequestSpec spec) -> RequestHandle;
  /// Gives up \p h and asks the service to do so. Its outcome follows within
  /// CallerSettings::CancelWait: RefusedNotRun when it provably did not run.
  /// Unknown handles are ignored.
  auto cancel(RequestHandle h) -> void;
  /// A datagram of kind Reply; anything else or malformed is ignored.
  auto onPacket(const Packet &p) -> void;
  /// Sends what is due again and ends what is past its deadline.
  auto tick() -> void;

  /// Requests in progress.
  auto inProgress() const -> std::size_t;
  /// Datagrams of kind Request that were sent.
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
  /// By handle.
  std::map<std::uint64_t, Entry> Entries;
  std::vector<Ticket> Tickets;
  /// Numbers of tickets seen of late; a copied reply brings none twice.
  std::unordered_set<std::uint64_t> RecentTicketNumbers;
  std::deque<std::uint64_t> RecentTicketOrder;
  std::uint64_t NextHandle = 1;
  std::uint64_t Sent = 0;
};

} // namespace boragebridge

#endif
