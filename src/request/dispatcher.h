/// \file
/// The requests that are queued or running at this instance: admission, the
/// queue, the attempt at an upstream, its result, its deadline and its
/// cancellation.
#ifndef BORAGEBRIDGE_REQUEST_DISPATCHER_H
#define BORAGEBRIDGE_REQUEST_DISPATCHER_H

#include "health/upstream_observer.h"
#include "request/answer.h"
#include "request/fair_queue.h"
#include "request/overload.h"
#include "request/pools.h"
#include "request/reply_sender.h"

namespace boragebridge {

/// A request that may start, before admission control.
struct NewRequest {
  ReplyTarget From;
  ServiceId Service{};
  Bytes Body;
  Duration Remaining{};
  /// Sequence number of its ticket in the local ledger. Empty for a repeatable
  /// request whose ticket belongs to another incarnation: it may have run
  /// there, so it is never reported as not run.
  std::optional<std::uint64_t> Sequence;
  /// Digest of service and body; see digestRequest().
  std::uint64_t Digest = 0;
};

/// Returns the digest that distinguishes a retry of a request from another
/// request that reuses its number.
auto digestRequest(ServiceId s, ByteView body) -> std::uint64_t;

/// Admits requests, queues them until a slot is available, sends them to
/// upstreams and replies to their callers. Not thread-safe.
class Dispatcher {
public:
  /// Limits on the requests held: their number, the total size of their bodies
  /// in bytes, and the number of queued ones.
  static constexpr std::size_t MaxRequests = 8192;
  static constexpr std::size_t MaxBodyBytes = 32U << 20U;
  static constexpr std::size_t MaxQueued = 4096;
  /// A request whose expected wait in the queue is longer is refused
  /// immediately.
  static constexpr Duration MaxQueueWait = std::chrono::milliseconds(500);
  /// How long a result is still accepted after its request has timed out.
  static constexpr Duration LateResultWindow = std::chrono::seconds(30);

  /// The references, and \p observer unless it is null, must outlive the
  /// dispatcher.
  Dispatcher(const ControllerContext &ctx, Ledger &ledger, ReplySender &replies,
             UpstreamObserver *observer);

  /// Admits \p r and queues it for a slot. A request that is not admitted is
  /// closed as not run and refused; one without a Sequence gets a provisional
  /// unknown outcome instead.
  auto start(NewRequest r, TimePoint now) -> void;
  /// Attaches a retransmission to the request in progress with its caller and
  /// number; the answer then goes to \p from. When \p digest differs, or the
  /// request has timed out, replies with a provisional unknown outcome. False
  /// when no such request is in progress.
  auto join(const ReplyTarget &from, std::uint64_t digest) -> bool;
  /// True when the request of \p from is in progress.
  auto isInProgress(const ReplyTarget &from) const -> bool {
    return ByKey.contains({from.Caller, from.Number});
  }
  /// Cancels the request of \p from. A queued request is refused as not run; a
  /// running one is cancelled at its upstream, whose result decides the reply.
  /// False when no such request is in progress.
  auto cancel(const ReplyTarget &from) -> bool;
  /// Handles a Result from the upstream at \p peer. A result that matches no
  /// attempt is dropped.
  auto onResult(const Endpoint &peer, const rw::ResultT &m, TimePoint now)
      -> void;
  /// Handles a pool message of another instance. False when it is malformed.
  [[nodiscard]] auto onPoolFrame(RequestMessage kind, const PeerFrame &f,
                                 TimePoint now) -> bool;
  auto tick(TimePoint now) -> void;
  auto beginStop(TimePoint now) -> void { Slots.beginStop(now); }
  /// True when no request is queued or running.
  auto isIdle() const -> bool { return Active == 0; }

  /// Returns the time that a new request of \p s would now wait in the queue.
  auto expectedWait(ServiceId s) const -> Duration;
  auto queuedCount() const -> std::size_t { return Queue.total(); }
  auto requestCount() const -> std::size_t { return Requests.size(); }
  auto pools() const -> const Pools & { return Slots; }

private:
  enum class State : std::uint8_t { Queued, Running, TimedOut };
  struct Request {
    NewRequest Content;
    State CurrentState = State::Queued;
    TimePoint Deadline;
    LeasedSlot Slot;
    TimePoint SentAt;
    AnswerAssembler Answer;
    bool Cancelled = false;
  };
  struct ServiceState {
    Duration TypicalRunTime = std::chrono::milliseconds(50);
    std::uint32_t Running = 0;
  };
  using Key = std::pair<CallerId, std::uint64_t>;

  auto mayAdmit(const NewRequest &r, TimePoint now) const -> bool;
  auto dispatch(ServiceId s, TimePoint now) -> void;
  auto send(std::uint32_t attempt, Request &r, const LeasedSlot &slot,
            TimePoint now) -> void;
  auto onAnswer(std::uint32_t attempt, Request &r, const rw::ResultT &m,
                TimePoint now) -> void;
  auto onRefused(std::uint32_t attempt, Request &r, const rw::ResultT &m,
                 TimePoint now) -> void;
  auto onTimer(std::uint32_t attempt, TimePoint now) -> void;
  auto endRun(Request &r, TimePoint backoffUntil) -> void;
  auto refuse(std::uint32_t attempt) -> void;
  auto replyNotRun(const NewRequest &r) -> void;
  auto erase(std::uint32_t attempt) -> void;
  auto updateLoad(ServiceId s, TimePoint now) -> void;
  auto publishPressure(TimePoint now) -> void;

  const ControllerContext &Ctx;
  Ledger &LocalLedger;
  ReplySender &Replies;
  UpstreamObserver *Observer;
  Pools Slots;
  FairQueue Queue{MaxQueued};
  RetryBudget Budget;
  std::unordered_map<std::uint32_t, Request> Requests;
  std::map<Key, std::uint32_t> ByKey;
  std::multimap<TimePoint, std::uint32_t> Timers;
  std::unordered_map<ServiceId, ServiceState> Services;
  std::uint32_t NextAttempt;
  std::size_t Active = 0;
  std::size_t BodyBytes = 0;
  TimePoint NextPressureUpdate{};
  Counter &Sent;
  Counter &InternalRetries;
  Counter &UpstreamRefusals;
  Counter &Timeouts;
  Counter &LateResults;
  Counter &StrayResults;
  Counter &TruncatedAnswers;
  Counter &AdmissionRefusals;
};

} // namespace boragebridge

#endif
