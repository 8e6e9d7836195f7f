/// \file
/// The controller of the request plane. It owns the ledger of this incarnation
/// and the ledgers that were handed over to this instance, and routes each
/// request to the one instance that may run it.
#ifndef BORAGEBRIDGE_REQUEST_REQUEST_CONTROLLER_H
#define BORAGEBRIDGE_REQUEST_REQUEST_CONTROLLER_H

#include "request/dispatcher.h"
#include "request/ledger_handover.h"
#include "request/request_router.h"

namespace boragebridge {

/// Handles the packets of callers and upstreams and the request messages of
/// other instances. Not thread-safe.
class RequestController final : public Controller {
public:
  /// Longest time from the end of the last request to the end of a planned
  /// stop.
  static constexpr Duration MaxHandoverTime = std::chrono::seconds(10);
  /// Limit on the ledgers of other incarnations that are held.
  static constexpr std::size_t MaxInherited = 256;

  /// \p observer may be null; otherwise it must outlive the controller.
  RequestController(const ControllerContext &ctx, UpstreamObserver *observer);

  auto name() const -> std::string_view override { return "requests"; }
  auto family() const -> MessageFamily override {
    return MessageFamily::Request;
  }
  auto tick(TimePoint now) -> void override;
  [[nodiscard]] auto onPeerFrame(const PeerFrame &f) -> bool override;
  auto onPacket(PacketOrigin from, const Endpoint &peer, const Packet &p)
      -> bool override;
  auto beginStop() -> void override;
  auto isStopped() const -> bool override { return Stopped; }
  auto dump() const -> boost::json::object override;

private:
  /// A decoded Request or Cancel.
  struct Incoming {
    Packet Raw;
    rw::RequestT Content;
    ReplyTarget From;
    Bytes Sealed;
    TicketFields Fields;
    bool Relayed = false;
    bool IsCancel = false;
  };

  auto onCallerPacket(const Packet &p, bool relayed) -> void;
  auto read(const Packet &p, Incoming &in) const -> bool;
  auto handleWithoutLedger(const Incoming &in) -> void;
  auto runWithoutLedger(const Incoming &in) -> void;
  auto handleByLedger(Ledger &l, const Incoming &in) -> void;
  auto handleUnusedTicket(Ledger &l, const Incoming &in) -> void;
  auto handleForgedTicket(const Incoming &in) -> void;
  auto replyKeptAnswer(const Ledger &l, const Incoming &in) -> void;
  auto makeNewRequest(const Incoming &in) const -> NewRequest;
  auto findLedger(Incarnation inc) -> Ledger *;
  auto retryAfterHint() -> Duration;
  auto advanceStop(TimePoint now) -> void;
  auto dropStaleLedgers(TimePoint now) -> void;
  auto onRelay(const PeerFrame &f) -> bool;
  auto onLedgerPart(const PeerFrame &f) -> bool;
  auto onLedgerPartAck(const PeerFrame &f) -> bool;
  auto onSuccessor(const PeerFrame &f) -> bool;
  auto onSuccessorAck(const PeerFrame &f) -> bool;

  const ControllerContext &Ctx;
  Ledger LocalLedger;
  std::map<Incarnation, std::unique_ptr<Ledger>> Inherited;
  ReplySender Replies;
  Dispatcher RequestDispatcher;
  RequestRouter Router;
  RefusedRequestSet RefusedRequests;
  LedgerSender Sender;
  LedgerReceiver Receiver;
  SuccessorAnnouncer Announcer;
  bool Stopping = false;
  bool Stopped = false;
  TimePoint StopLimit;
  TimePoint NextForgedLog;
  Counter &Received;
  Counter &Relayed;
  Counter &ForgedTickets;
  Counter &BadPackets;
  Gauge &AnswerBytes;
};

/// Creates the request controller of one instance. \p observer may be null;
/// otherwise it must outlive the controller.
auto makeRequestController(const ControllerContext &ctx,
                           UpstreamObserver *observer)
    -> std::unique_ptr<Controller>;

} // namespace boragebridge

#endif
