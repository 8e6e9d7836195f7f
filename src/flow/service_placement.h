/// \file
/// The slots of one service over its generations: the upstream that a slot has
/// now, and those that it had when flows that may still be open were opened.
///
/// A slot is settled when every generation that may have open flows, and every
/// announced one, gives it the same upstream. Any instance may then forward its
/// packets without state. Otherwise only the home of the slot decides.
#ifndef BORAGEBRIDGE_FLOW_SERVICE_PLACEMENT_H
#define BORAGEBRIDGE_FLOW_SERVICE_PLACEMENT_H

#include "flow/generation.h"

namespace boragebridge {

/// The chain of one service: its generations that may have open flows or are
/// announced, oldest first. Not thread-safe.
class ServicePlacement {
public:
  /// The maximum length of the chain; past it the oldest generation that is not
  /// the active one is dropped.
  static constexpr std::size_t MaxChain = 8;

  explicit ServicePlacement(ServiceId service) : Service(service) {}

  /// Adds \p g to the chain. Returns false when \p g is already there, is older
  /// than all generations of the chain, or has another number of slots.
  auto add(const Generation &g) -> bool;
  /// Uses \p id for new flows from \p now on, unless a later generation is
  /// active. Returns false when \p id is not in the chain or nothing changes.
  auto activate(const GenerationId &id, TimePoint now) -> bool;
  /// Records that no open flow of \p slots uses an upstream from before \p id.
  auto settle(std::span<const std::uint16_t> slots, const GenerationId &id)
      -> void;
  /// Merges the state of a peer. Returns true when it contained anything new.
  auto merge(const PlacementState &s, TimePoint now) -> bool;
  auto state() const -> PlacementState;
  /// Equal for two instances with the same active and newest generations and
  /// the same number of unsettled slots.
  auto stateHash() const -> std::uint64_t;

  auto service() const -> ServiceId { return Service; }
  /// Increases when choice(), isSettled() or activeUpstreams() may have
  /// changed.
  auto version() const -> std::uint64_t { return Version; }
  auto isActive() const -> bool { return !ActiveId.isNone(); }
  auto activeId() const -> const GenerationId & { return ActiveId; }
  /// The newest generation, active or not; null when the chain is empty.
  auto newest() const -> const Generation *;
  auto slots() const -> std::uint32_t {
    return static_cast<std::uint32_t>(Choices.size());
  }
  auto slotOf(std::uint64_t flowHash) const -> std::uint32_t {
    return static_cast<std::uint32_t>(flowHash & (Choices.size() - 1));
  }
  /// Position in activeUpstreams() of the upstream for new flows of \p slot.
  /// Precondition of the next four functions: isActive().
  auto choice(std::uint32_t slot) const -> UpstreamPosition {
    return static_cast<UpstreamPosition>(Choices[slot] & ~UnsettledBit);
  }
  auto isSettled(std::uint32_t slot) const -> bool {
    return (Choices[slot] & UnsettledBit) == 0;
  }
  /// The upstreams that choice() indexes.
  auto activeUpstreams() const -> const std::vector<UpstreamId> & {
    return ActiveUpstreams;
  }
  /// The upstreams that a mid-flow packet of \p slot without a record may
  /// belong to, most likely first. Flows idle for \p idleTimeout are considered
  /// closed.
  auto candidates(std::uint32_t slot, TimePoint now, Duration idleTimeout) const
      -> std::vector<UpstreamId>;
  auto unsettledSlots() const -> const std::vector<std::uint16_t> & {
    return Unsettled;
  }
  auto chainLength() const -> std::size_t { return Chain.size(); }
  /// When the active generation became active at this instance.
  auto activeSince() const -> TimePoint;
  auto isNewestActive() const -> bool;

private:
  static constexpr UpstreamPosition UnsettledBit = 0x8000;
  struct ChainEntry {
    Generation Content;
    std::vector<UpstreamPosition> Table;
    TimePoint ActiveSince;
    bool WasActive = false;
  };

  auto upstreamAt(const ChainEntry &e, std::uint32_t slot) const -> UpstreamId;
  auto find(const GenerationId &id) const -> std::size_t;
  /// Raises SettledFrom of \p slot to \p id; false when it is not below \p id.
  auto raiseSettledFrom(std::uint32_t slot, const GenerationId &id) -> bool;
  auto mergeSettledFrom(const PlacementState &s) -> bool;
  /// Recomputes Choices, ActiveUpstreams and Unsettled from the chain.
  auto rebuild() -> void;
  /// Drops all generations but the newest when that is active and every slot
  /// is settled.
  auto trim() -> void;

  ServiceId Service;
  std::uint64_t Version = 0;
  std::vector<ChainEntry> Chain;
  GenerationId ActiveId;
  /// For each slot, the generation before which no flow of the slot is open.
  /// Empty while the chain has one entry.
  std::vector<GenerationId> SettledFrom;
  /// For each slot, the result of choice() and UnsettledBit.
  std::vector<UpstreamPosition> Choices;
  std::vector<UpstreamId> ActiveUpstreams;
  std::vector<std::uint16_t> Unsettled;
};

} // namespace boragebridge

#endif
