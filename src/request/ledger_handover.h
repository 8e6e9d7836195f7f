/// \file
/// Handover of ledgers on a planned stop. The stopping instance sends its
/// ledger, and those that it holds of other incarnations, to a successor, in
/// parts that are resent until acknowledged. Both instances then notify the
/// other instances.
#ifndef BORAGEBRIDGE_REQUEST_LEDGER_HANDOVER_H
#define BORAGEBRIDGE_REQUEST_LEDGER_HANDOVER_H

#include "boragebridge/controller.h"
#include "request/ledger.h"
#include "request/messages.h"
#include "request/slot_lease_server.h"

#include <set>

namespace boragebridge {

/// Largest payload of ticket states and answers in one part, in bytes. Keys and
/// the other fields are not counted.
constexpr std::size_t LedgerPartSize = 64U << 10U;

/// Splits \p l into parts. Answers larger than LedgerPartSize are left out; the
/// successor reports them as no longer kept.
auto splitLedger(const Ledger &l) -> std::vector<rw::LedgerPartT>;

/// Sends ledgers to a successor. Not thread-safe.
class LedgerSender {
public:
  explicit LedgerSender(const ControllerContext &ctx) : Ctx(ctx) {}

  /// Starts to send \p ledgers; their contents are copied.
  auto begin(const std::vector<const Ledger *> &ledgers, TimePoint now) -> void;
  /// Sends the unacknowledged parts when they are due. When the successor is no
  /// longer live, chooses another one and sends it all parts.
  auto tick(TimePoint now) -> void;
  auto onAck(const PeerFrame &f, const rw::LedgerPartAckT &m) -> void;
  auto isBegun() const -> bool { return Begun; }
  /// True when one successor has acknowledged all parts.
  auto isDone() const -> bool { return Begun && Pending.empty(); }
  /// True when no live instance can take the ledgers.
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

/// Reassembles received ledgers. Not thread-safe.
class LedgerReceiver {
public:
  /// Limit on the ledgers that are incomplete at the same time.
  static constexpr std::size_t MaxLedgers = 64;
  /// Limit on the parts of one ledger.
  static constexpr std::size_t MaxParts = 2048;

  /// Adds part \p m. Returns the ledger when this completes it, else null. A
  /// part over the limits is ignored.
  auto add(rw::LedgerPartT m, TimePoint now) -> std::unique_ptr<Ledger>;

private:
  std::map<std::uint64_t, std::map<std::uint32_t, rw::LedgerPartT>> Partial;
};

/// Notifies every other instance of the holder of a ledger, until each has
/// acknowledged it. Not thread-safe.
class SuccessorAnnouncer {
public:
  explicit SuccessorAnnouncer(const ControllerContext &ctx) : Ctx(ctx) {}

  auto announce(Incarnation ledger, const InstanceIncarnation &holder) -> void;
  auto stopAnnouncing(Incarnation ledger) -> void {
    Announcements.erase(ledger);
  }
  auto tick(TimePoint now) -> void;
  auto onAck(const PeerFrame &f, const rw::SuccessorAckT &m) -> void;
  /// True when every live instance has acknowledged the holder of every ledger.
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
