/// \file
/// The hand-over of ledgers on a planned stop: the stopping instance sends its
/// ledger and those it holds of others to a successor, in parts that are
/// repeated until acknowledged; then both tell the other instances.
#ifndef BORAGEBRIDGE_REQUEST_LEDGER_HANDOVER_H
#define BORAGEBRIDGE_REQUEST_LEDGER_HANDOVER_H

#include "boragebridge/controller.h"
#include "request/ledger.h"
#include "request/messages.h"
#include "request/slot_lease_server.h"

#include <set>

namespace boragebridge {

/// Payload of one part, in bytes, as far as it can be cut.
constexpr std::size_t LedgerPartSize = 64U << 10U;

/// The ledger \p l in parts. Answers larger than LedgerPartSize are left out;
/// the successor then says that they are no longer kept.
auto splitLedger(const Ledger &l) -> std::vector<rw::LedgerPartT>;

/// Sends ledgers to a successor. Not thread-safe.
class LedgerSender {
public:
  explicit LedgerSender(const ControllerContext &ctx) : Ctx(ctx) {}

  /// Begins with \p ledgers; their contents are copied.
  auto begin(const std::vector<const Ledger *> &ledgers, TimePoint now) -> void;
  /// Sends what is due; takes another successor when the first is not live.
  auto tick(TimePoint now) -> void;
  auto onAck(const PeerFrame &f, const rw::LedgerPartAckT &m) -> void;
  auto isBegun() const -> bool { return Begun; }
  /// True when everything was acknowledged by one successor.
  auto isDone() const -> bool { return Begun && Pending.empty(); }
  /// True when there is no live instance to take it.
  auto hasNoTarget() const -> bool { return Begun && !Target; }
  auto successor() const -> const std::optional<InstanceIncarnation> & {
    return Target;
  }

private:
  using PartId = std::pair<std::uint64_t, std::uint32_t>;

  auto chooseTarget() -> void;

  const ControllerContext &Ctx;
  bool Begun = false;
  std::map<PartId, Bytes> Parts;
  std::set<PartId> Pending;
  std::optional<InstanceIncarnation> Target;
  Endpoint TargetAddress;
  TimePoint NextSend;
};

/// Puts received ledgers together. Not thread-safe.
class LedgerReceiver {
public:
  static constexpr std::size_t MaxLedgers = 64;
  static constexpr std::size_t MaxParts = 2048;

  /// Adds part \p m; the ledger once it is whole.
  auto add(rw::LedgerPartT m, TimePoint now) -> std::unique_ptr<Ledger>;

private:
  std::map<std::uint64_t, std::map<std::uint32_t, rw::LedgerPartT>> Partial;
};

/// Tells every other instance who holds a ledger, until each has said that it
/// heard. Not thread-safe.
class SuccessorAnnouncer {
public:
  explicit SuccessorAnnouncer(const ControllerContext &ctx) : Ctx(ctx) {}

  auto announce(Incarnation ledger, const InstanceIncarnation &holder) -> void;
  auto stopAnnouncing(Incarnation ledger) -> void {
    Announcements.erase(ledger);
  }
  auto tick(TimePoint now) -> void;
  auto onAck(const PeerFrame &f, const rw::SuccessorAckT &m) -> void;
  /// True when every live instance has heard of every ledger.
  auto isComplete() const -> bool;

private:
  struct Announcement {
    InstanceIncarnation Holder;
    std::set<Incarnation> AcknowledgedBy;
  };

  auto mustNotify(const Member &m, const Announcement &a) const -> bool;

  const ControllerContext &Ctx;
  std::map<Incarnation, Announcement> Announcements;
  TimePoint NextSend;
};

} // namespace boragebridge

#endif
