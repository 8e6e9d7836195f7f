/// \file
/// Tickets. A ticket names the only incarnation that may run its request, the
/// caller that it was issued to, and its sequence number among the tickets of
/// that incarnation. Any instance can read the fields, which it needs to relay
/// a request. Only the issuer can distinguish a genuine ticket from a forged
/// one, by an HMAC with keys that it generates at random and rotates.
#ifndef BORAGEBRIDGE_REQUEST_TICKET_H
#define BORAGEBRIDGE_REQUEST_TICKET_H

#include "boragebridge/random.h"

#include <array>
#include <deque>
#include <optional>

namespace boragebridge {

/// Fields of a ticket.
struct TicketFields {
  InstanceId Owner{};
  Incarnation OwnerIncarnation{};
  CallerId Caller{};
  /// Number of the ticket among those of the incarnation.
  std::uint64_t Sequence = 0;
  /// Epoch of the key that sealed it.
  std::uint64_t Epoch = 0;
};

/// Returns the number of the one request that ticket \p f is valid for; never
/// 0.
auto requestNumber(const TicketFields &f) -> std::uint64_t;

/// Reads the fields of \p sealed without verifying the seal; nothing when it
/// does not have the format of a ticket.
auto readTicket(ByteView sealed) -> std::optional<TicketFields>;

/// A sealing key. A successor needs the keys of a stopped incarnation to verify
/// its tickets.
struct TicketKey {
  std::uint64_t Epoch = 0;
  std::array<std::uint64_t, 4> Words{};
};

/// Seals and verifies tickets of one incarnation. Not thread-safe.
class TicketSealer {
public:
  /// Epochs whose tickets may still start a request: the current and the
  /// previous one.
  static constexpr std::uint64_t UsableEpochs = 2;
  /// Epochs whose keys are kept; their tickets are still distinguished from
  /// forged ones.
  static constexpr std::size_t KeptEpochs = 6;

  /// Generates the first key from \p random.
  explicit TicketSealer(RandomSource &random);
  /// Holds \p keys of another incarnation; verifies tickets but must not
  /// rotate.
  explicit TicketSealer(std::deque<TicketKey> keys) : Keys(std::move(keys)) {}

  /// Generates the next key and drops the one that is past KeptEpochs.
  auto rotate(RandomSource &random) -> void;
  /// Returns ticket \p f, sealed with the current key.
  auto seal(TicketFields f) const -> Bytes;
  /// True when \p sealed was sealed by a key that is still kept.
  auto isGenuine(ByteView sealed, const TicketFields &f) const -> bool;
  /// True when a ticket of \p epoch may still start a request.
  auto isUsable(std::uint64_t epoch) const -> bool;
  /// True when the key of \p epoch has been dropped.
  auto isForgotten(std::uint64_t epoch) const -> bool;
  auto epoch() const -> std::uint64_t { return Keys.back().Epoch; }
  auto keys() const -> const std::deque<TicketKey> & { return Keys; }

private:
  /// Oldest first; never empty.
  std::deque<TicketKey> Keys;
};

} // namespace boragebridge

#endif
