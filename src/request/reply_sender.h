/// \file
/// Replies to callers, each with a ticket for the next request.
#ifndef BORAGEBRIDGE_REQUEST_REPLY_SENDER_H
#define BORAGEBRIDGE_REQUEST_REPLY_SENDER_H

#include "boragebridge/controller.h"
#include "request/ledger.h"
#include "request/messages.h"

namespace boragebridge {

/// Which request a reply is for, and where its caller is.
struct ReplyTarget {
  FlowKey Flow;
  CallerId Caller{};
  std::uint64_t Number = 0;
};

/// Whether a later retry of the same number may learn more.
enum class ReplyFinality : std::uint8_t { Final, Provisional };

/// Not thread-safe.
class ReplySender {
public:
  ReplySender(const ControllerContext &ctx, Ledger &ledger);

  /// Sends \p body in chunks.
  auto answer(const ReplyTarget &to, ByteView body) -> void;
  /// "Not run". The caller of this has closed the request.
  auto refuse(const ReplyTarget &to, Duration retryAfter) -> void;
  auto unknown(const ReplyTarget &to, ReplyFinality f) -> void;
  auto alreadyRun(const ReplyTarget &to) -> void;
  /// From now on replies bring no tickets.
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
