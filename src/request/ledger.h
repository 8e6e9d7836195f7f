/// \file
/// The ledger of one incarnation: which of its tickets were used and what came
/// of them. Only the ledger decides whether a request may start.
#ifndef BORAGEBRIDGE_REQUEST_LEDGER_H
#define BORAGEBRIDGE_REQUEST_LEDGER_H

#include "request/ticket.h"
#include "request/ticket_window.h"

#include <list>
#include <memory>
#include <unordered_map>

namespace boragebridge {

/// How a request with a ticket stands.
enum class RequestStatus : std::uint8_t {
  MayStart,  ///< Genuine, in time, unused.
  Forged,    ///< Not sealed by this incarnation, or not for this request.
  Expired,   ///< Genuine and never used, but too old to start one.
  Forgotten, ///< So old that nothing is known of it.
  NotRun,
  MayHaveRun,
  HasRun,   ///< And its answer is no longer kept.
  Answered, ///< And its answer is kept.
};

/// Limits of a ledger.
struct LedgerLimits {
  Duration AnswerRetention = std::chrono::seconds(60);
  /// Of all kept answers together, in bytes.
  std::size_t MaxAnswerBytes = 16U << 20U;
  std::size_t MaxAnswers = 65536;
  Duration KeyRotation = std::chrono::minutes(5);
};

/// A ticket as given to a caller.
struct IssuedTicket {
  std::uint64_t Number = 0;
  Bytes Sealed;
};

/// A kept answer.
struct KeptAnswer {
  std::uint64_t Sequence = 0;
  /// Of the request that it answers; a reused number with another body is told
  /// from a retry.
  std::uint64_t RequestDigest = 0;
  TimePoint Finished;
  std::shared_ptr<const Bytes> Body;
};

/// Not thread-safe. Uses only the clock of its own process: a pause makes
/// tickets and answers older, which is always safe.
class Ledger {
public:
  /// The ledger of a new incarnation.
  Ledger(InstanceId owner, Incarnation inc, RandomSource &random, TimePoint now,
         LedgerLimits opt = {});
  /// The ledger of an incarnation that has stopped, as its successor holds it;
  /// it starts nothing.
  Ledger(Incarnation inc, std::deque<TicketKey> keys, TicketWindow window,
         TimePoint now, LedgerLimits opt = {});

  /// A ticket for one request of \p caller. Precondition: not inherited.
  auto issue(CallerId caller) -> IssuedTicket;
  /// How request \p number of \p caller with \p sealed, whose fields are
  /// \p f, stands.
  auto statusOf(ByteView sealed, const TicketFields &f, CallerId caller,
                std::uint64_t number) const -> RequestStatus;
  /// Closes \p seq: it will never start. No effect on one that has started.
  auto closeNotRun(std::uint64_t seq) -> void;
  /// Called before the request leaves for an upstream. False when it must not.
  [[nodiscard]] auto markSent(std::uint64_t seq) -> bool;
  /// An upstream proved that it never began \p seq: it may be sent again or
  /// be closed.
  auto unmarkSent(std::uint64_t seq) -> void;
  auto markRun(std::uint64_t seq) -> void;
  /// Keeps the answer of \p seq and marks it as run.
  auto keepAnswer(std::uint64_t seq, std::uint64_t requestDigest,
                  std::shared_ptr<const Bytes> body, TimePoint now) -> void;
  /// The kept answer of \p seq, or null.
  auto answer(std::uint64_t seq) const -> const KeptAnswer *;
  /// Rotates keys and drops what is past its time.
  auto tick(TimePoint now, RandomSource &random) -> void;

  auto incarnation() const -> Incarnation { return OwnerIncarnation; }
  auto isInherited() const -> bool { return Inherited; }
  /// True when an inherited ledger has nothing left to tell.
  auto isStale(TimePoint now) const -> bool;
  auto sealer() const -> const TicketSealer & { return Sealer; }
  auto window() const -> const TicketWindow & { return Window; }
  auto answers() const -> const std::list<KeptAnswer> & { return Kept; }
  auto answerBytes() const -> std::size_t { return KeptBytes; }

private:
  auto dropOldest() -> void;

  InstanceId Owner{};
  Incarnation OwnerIncarnation{};
  bool Inherited = false;
  LedgerLimits Limits;
  TicketSealer Sealer;
  TicketWindow Window;
  TimePoint Started;
  TimePoint NextRotation;
  /// First sequence of each kept epoch, oldest first.
  std::deque<std::uint64_t> EpochStarts;
  /// Oldest first.
  std::list<KeptAnswer> Kept;
  std::unordered_map<std::uint64_t, std::list<KeptAnswer>::iterator> BySequence;
  std::size_t KeptBytes = 0;
};

} // namespace boragebridge

#endif
