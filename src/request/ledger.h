/// \file
/// The ledger of one incarnation records which of its tickets were used and the
/// outcomes of their requests. Only the ledger decides whether a request may
/// start.
#ifndef BORAGEBRIDGE_REQUEST_LEDGER_H
#define BORAGEBRIDGE_REQUEST_LEDGER_H

#include "request/ticket.h"
#include "request/ticket_window.h"

#include <list>
#include <memory>
#include <unordered_map>

namespace boragebridge {

/// Status of a request, as the ledger determines it from the ticket.
enum class RequestStatus : std::uint8_t {
  MayStart,   ///< The ticket is genuine, usable and unused.
  Forged,     ///< The ticket is not sealed by this incarnation for the request.
  Expired,    ///< The ticket is unused, but may no longer start a request.
  Forgotten,  ///< The ticket is so old that its state has been dropped.
  NotRun,     ///< The ticket was closed; the request can never run.
  MayHaveRun, ///< The request was sent to an upstream.
  HasRun,     ///< The request ran; its answer is no longer kept.
  Answered,   ///< The request ran, and its answer is kept.
};

/// Limits of a ledger.
struct LedgerLimits {
  Duration AnswerRetention = std::chrono::seconds(60);
  /// Limit on the total size of the kept answers, in bytes.
  std::size_t MaxAnswerBytes = 16U << 20U;
  std::size_t MaxAnswers = 65536;
  Duration KeyRotation = std::chrono::minutes(5);
};

/// A ticket as sent to a caller, and the request number that it is valid for.
struct IssuedTicket {
  std::uint64_t Number = 0;
  Bytes Sealed;
};

/// An answer that is kept for retries of its request.
struct KeptAnswer {
  std::uint64_t Sequence = 0;
  /// Digest of the answered request. It distinguishes a retry from another
  /// request that reuses the number.
  std::uint64_t RequestDigest = 0;
  TimePoint Finished;
  std::shared_ptr<const Bytes> Body;
};

/// The tickets and the kept answers of one incarnation. Uses only the clock of
/// its own process: a pause makes tickets and answers older, which is always
/// safe. Not thread-safe.
class Ledger {
public:
  /// Creates the ledger of a new incarnation.
  Ledger(InstanceId owner, Incarnation inc, RandomSource &random, TimePoint now,
         LedgerLimits opt = {});
  /// Creates the ledger of a stopped incarnation, as its successor holds it.
  /// Such an inherited ledger starts no request.
  Ledger(Incarnation inc, std::deque<TicketKey> keys, TicketWindow window,
         TimePoint now, LedgerLimits opt = {});

  /// Issues a ticket for one request of \p caller. Precondition:
  /// !isInherited().
  auto issue(CallerId caller) -> IssuedTicket;
  /// Returns the status of request \p number of \p caller with the ticket
  /// \p sealed, whose fields are \p f.
  auto statusOf(ByteView sealed, const TicketFields &f, CallerId caller,
                std::uint64_t number) const -> RequestStatus;
  /// Closes \p seq: its request will never start. Has no effect unless the
  /// ticket is unused.
  auto closeNotRun(std::uint64_t seq) -> void;
  /// Records that the request of \p seq is sent to an upstream. Must be called
  /// before it is sent. False when it must not be sent.
  [[nodiscard]] auto markSent(std::uint64_t seq) -> bool;
  /// Reverts markSent() after an upstream proved that it never began the
  /// request of \p seq, which may then be sent again or be closed.
  auto unmarkSent(std::uint64_t seq) -> void;
  /// Records that the request of \p seq ran.
  auto markRun(std::uint64_t seq) -> void;
  /// Keeps the answer of \p seq and records that its request ran. Drops the
  /// oldest answers beyond the limits.
  auto keepAnswer(std::uint64_t seq, std::uint64_t requestDigest,
                  std::shared_ptr<const Bytes> body, TimePoint now) -> void;
  /// Returns the kept answer of \p seq, or null.
  auto answer(std::uint64_t seq) const -> const KeptAnswer *;
  /// Rotates the keys, drops the answers past their retention time and forgets
  /// the tickets of dropped keys.
  auto tick(TimePoint now, RandomSource &random) -> void;

  auto incarnation() const -> Incarnation { return OwnerIncarnation; }
  auto isInherited() const -> bool { return Inherited; }
  /// True when an inherited ledger may be dropped: it was held for as long as a
  /// ticket may start a request.
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
  /// First sequence number of each kept epoch, oldest first.
  std::deque<std::uint64_t> EpochStarts;
  /// Kept answers, oldest first.
  std::list<KeptAnswer> Kept;
  std::unordered_map<std::uint64_t, std::list<KeptAnswer>::iterator> BySequence;
  std::size_t KeptBytes = 0;
};

} // namespace boragebridge

#endif
