/// \file
/// The requests that wait or run at this instance: admission, the queue, the
/// attempt at an upstream, its result, its deadline and its cancellation.
#ifndef BORAGEBRIDGE_REQUEST_DISPATCHER_H
#define BORAGEBRIDGE_REQUEST_DISPATCHER_H

#include "health/upstream_observer.h"
#include "request/answer.h"
#include "request/fair_queue.h"
#include "request/overload.h"
#include "request/pools.h"
#include "request/reply_sender.h"

namespace boragebridge {

/// A request that has been found fit to start.
struct NewRequest {
  ReplyTarget From;
  ServiceId Service{};
  Bytes Body;
  Duration Remaining{};
  /// Its place in the ledger. None for one that may be repeated and whose
  /// ticket is of another incarnation: as it may have run there, it is never
  /// said not to have run.
  std::optional<std::uint64_t> Sequence;
  /// Of service and body.
  std::uint64_t Digest = 0;
};

/// The digest that tells a retry from another request under its number.
auto digestRequest(ServiceId s, ByteView body) -> std::uint64_t;

/// Not thread-safe.
class Dispatcher {
public:
  /// Limits of the table of requests.
  static constexpr std::size_t MaxRequests = 8192;
  static constexpr std::size_t MaxBodyBytes = 32U << 20U;
  static constexpr std::size_t MaxQueued = 4096;
  /// A longer wait in the queue is refused at once.
  static constexpr Duration MaxQueueWait = std::chrono::milliseconds(500);
  /// How long a result that comes after the deadline is still taken.
  static constexpr Duration LateResultWindow = std::chrono::seconds(30);

  /// \p observer may be null.
  Dispatcher(const ControllerContext &ctx, Ledger &ledger, ReplySender &replies,
             UpstreamObserver *observer);

  /// Starts \p r, or refuses and closes it.
  auto start(NewRequest r, TimePoint now) -> void;
  /// A copy of a request that is in progress: the answer goes to \p from.
  /// False when there is none under its number.
  auto join(const ReplyTarget &from, std::uint64_t digest) -> bool;
  /// True when the request of \p from is in progress.
  auto isInProgress(const ReplyTarget &from) const -> bool {
    return ByKey.contains({from.Caller, from.Number});
  }
  /// Stops a request if it is in progress. False when there is none.
  auto cancel(const ReplyTarget &from) -> bool;
  /// A Result from the upstream at \p peer.
  auto onResult(const Endpoint &peer, const rw::ResultT &m, TimePoint now)
      -> void;
  [[nodiscard]] auto onPoolFrame(RequestMessage kind, const PeerFrame &f,
                                 TimePoint now) -> bool;
  auto tick(TimePoint now) -> void;
  auto beginStop(TimePoint now) -> void { Slots.beginStop(now); }
  /// True when nothing waits or runs.
  auto isIdle() const -> bool { return Active == 0; }

  /// Wait that a new request of \p s would have now.
  auto expectedWait(ServiceId s) const -> Duration;
  auto queuedCount() const -> std::size_t { return Queue.total(); }
  auto requestCount() const -> std::size_t { return Requests.size(); }
  auto pools() const -> const Pools & { return Slots; }

private:
  enum class State : std::uint8_t { Queued, Running, TimedOut };
  struct Request {
    NewRequest Content;
    State Now = State::Queued;
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
