/// \file
/// Tickets. A ticket names the incarnation that alone may run the request it
/// is used for, the caller it was issued to, and its place in the sequence of
/// tickets of that incarnation. The fields can be read by any instance, which
/// needs them to relay; only the issuer can tell a genuine ticket from a forged
/// one, by an HMAC with keys that it draws at random and rotates.
#ifndef BORAGEBRIDGE_REQUEST_TICKET_H
#define BORAGEBRIDGE_REQUEST_TICKET_H

#include "boragebridge/random.h"

#include <array>
#include <deque>
#include <optional>

namespace boragebridge {

/// What a ticket says.
struct TicketFields {
  InstanceId Owner{};
  Incarnation OwnerIncarnation{};
  CallerId Caller{};
  /// Counts the tickets of the incarnation.
  std::uint64_t Sequence = 0;
  /// Which key sealed it.
  std::uint64_t Epoch = 0;
};

/// The number of the one request that ticket \p f is good for; never 0.
auto requestNumber(const TicketFields &f) -> std::uint64_t;

/// Reads the fields of \p sealed without checking the seal; nothing when it
/// does not have the form of a ticket.
auto readTicket(ByteView sealed) -> std::optional<TicketFields>;

/// A sealing key; also what a successor needs to judge old tickets.
struct TicketKey {
  std::uint64_t Epoch = 0;
  std::array<std::uint64_t, 4> Words{};
};

/// Seals and checks tickets of one incarnation. Not thread-safe.
class TicketSealer {
public:
  /// Epochs whose tickets may still start a request: this and the last one.
  static constexpr std::uint64_t UsableEpochs = 2;
  /// Epochs whose tickets are still told from forged ones.
  static constexpr std::size_t KeptEpochs = 6;

  /// Draws the first key from \p random.
  explicit TicketSealer(RandomSource &random);
  /// Holds \p keys of another incarnation; can check but must not rotate.
  explicit TicketSealer(std::deque<TicketKey> keys) : Keys(std::move(keys)) {}

  /// Draws the next key; forgets the one that is past KeptEpochs.
  auto rotate(RandomSource &random) -> void;
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
