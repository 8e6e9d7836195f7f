/// \file
/// The slots of one service over its generations: which upstream a slot has
/// now, and which it had while flows that may still live were opened.
///
/// A slot is settled when every generation that may have live flows, and every
/// announced one, gives it the same upstream. Any instance may then forward
/// its packets without state; otherwise only the slot's home decides.
#ifndef BORAGEBRIDGE_FLOW_SERVICE_PLACEMENT_H
#define BORAGEBRIDGE_FLOW_SERVICE_PLACEMENT_H

#include "flow/generation.h"

namespace boragebridge {

/// Not thread-safe.
class ServicePlacement {
public:
  /// Generations kept at once; the oldest is forgotten past it.
  static constexpr std::size_t MaxChain = 8;

  explicit ServicePlacement(ServiceId service) : Service(service) {}

  /// Learns \p g; false when it was known or is older than all kept.
  auto add(const Generation &g) -> bool;
  /// Uses \p id for new flows from \p now on, unless a later one is active.
  /// False when \p id is not in the chain or changes nothing.
  auto activate(const GenerationId &id, TimePoint now) -> bool;
  /// No flow of \p slots lives on an upstream of before \p id.
  auto settle(std::span<const std::uint16_t> slots, const GenerationId &id)
      -> void;
  /// Merges what a peer knows; true when anything was new.
  auto merge(const PlacementState &s, TimePoint now) -> bool;
  auto state() const -> PlacementState;
  /// Equal for two instances that know the same.
  auto stateHash() const -> std::uint64_t;

  auto service() const -> ServiceId { return Service; }
  /// Rises when choice(), isSettled() or activeUpstreams() may have changed.
  auto version() const -> std::uint64_t { return Version; }
  auto isActive() const -> bool { return !ActiveId.isNone(); }
  auto activeId() const -> const GenerationId & { return ActiveId; }
  /// Null when none is known.
  auto newest() const -> const Generation *;
  auto slots() const -> std::uint32_t {
    return static_cast<std::uint32_t>(Choices.size());
  }
  auto slotOf(std::uint64_t flowHash) const -> std::uint32_t {
    return static_cast<std::uint32_t>(flowHash & (Choices.size() - 1));
  }
  /// Position in activeUpstreams() of the upstream for new flows of \p slot.
  /// Precondition for the next four: isActive().
  auto choice(std::uint32_t slot) const -> UpstreamIndex {
    return static_cast<UpstreamIndex>(Choices[slot] & ~UnsettledBit);
  }
  auto isSettled(std::uint32_t slot) const -> bool {
    return (Choices[slot] & UnsettledBit) == 0;
  }
  /// The upstreams that choice() counts in.
  auto activeUpstreams() const -> const std::vector<UpstreamId> & {
    return ActiveUpstreams;
  }
  /// The upstreams that a mid-flow packet of \p slot with no record may belong
  /// to, most likely first. Flows silent for \p idleLimit are gone.
  auto candidates(std::uint32_t slot, TimePoint now, Duration idleLimit) const
      -> std::vector<UpstreamId>;
  auto unsettledSlots() const -> const std::vector<std::uint16_t> & {
    return Unsettled;
  }
  auto chainLength() const -> std::size_t { return Chain.size(); }
  /// When the active generation became active here.
  auto activeSince() const -> TimePoint;
  auto isNewestActive() const -> bool;

private:
  static constexpr UpstreamIndex UnsettledBit = 0x8000;
  struct ChainEntry {
    Generation Content;
    std::vector<UpstreamIndex> Table;
    TimePoint ActiveSince;
    bool WasActive = false;
  };

  auto upstreamAt(const ChainEntry &e, std::uint32_t slot) const -> UpstreamId;
  auto find(const GenerationId &id) const -> std::size_t;
  auto raiseSettledFrom(std::uint32_t slot, const GenerationId &id) -> bool;
  auto mergeSettledFrom(const PlacementState &s) -> bool;
  auto rebuild() -> void;
  auto trim() -> void;

  ServiceId Service;
  std::uint64_t Version = 0;
  std::vector<ChainEntry> Chain;
  GenerationId ActiveId;
  /// Generations before this have no live flow in the slot. Empty while the
  /// chain has one link.
  std::vector<GenerationId> SettledFrom;
  std::vector<UpstreamIndex> Choices;
  std::vector<UpstreamId> ActiveUpstreams;
  std::vector<std::uint16_t> Unsettled;
};

} // namespace boragebridge

#endif
