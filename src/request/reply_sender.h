/// \file
/// Replies to callers, each with a ticket for the next request.
#ifndef BORAGEBRIDGE_REQUEST_REPLY_SENDER_H
#define BORAGEBRIDGE_REQUEST_REPLY_SENDER_H

#include "boragebridge/controller.h"
#include "request/ledger.h"
#include "request/messages.h"

namespace boragebridge {

/// The request that a reply is for, and the flow of its caller.
struct ReplyTarget {
  FlowKey Flow;
  CallerId Caller{};
  std::uint64_t Number = 0;
};

/// Whether a later retry of the same number may get a more precise outcome.
enum class ReplyFinality : std::uint8_t { Final, Provisional };

/// Sends replies to callers and issues their tickets. Not thread-safe.
class ReplySender {
public:
  ReplySender(const ControllerContext &ctx, Ledger &ledger);

  /// Sends \p body in chunks.
  auto answer(const ReplyTarget &to, ByteView body) -> void;
  /// Reports that the request did not run. Precondition: the request has been
  /// closed.
  auto refuse(const ReplyTarget &to, Duration retryAfter) -> void;
  /// Reports that the request may have run.
  auto unknown(const ReplyTarget &to, ReplyFinality f) -> void;
  /// Reports that the request ran and that its answer is not available.
  auto alreadyRun(const ReplyTarget &to) -> void;
  /// Replies carry no tickets from now on.
  auto stopIssuingTickets() -> void { IssuesTickets = false; }

private:
  auto send(const ReplyTarget &to, rw::ReplyT m) -> void;
  auto addTicket(const ReplyTarget &to, rw::ReplyT &m) -> void;

  const ControllerContext &Ctx;
  Ledger &LocalLedger;
  bool IssuesTickets = true;
  Counter &Answered;
  Counter &Refused;
  Counter &Unknowns;
  Counter &AlreadyRuns;
};

} // namespace boragebridge

#endif
