/// \file
/// Troubles that the model plays: what begins, what ends, and how a seed draws
/// a run of them.
#ifndef BORAGEBRIDGE_EDGE_MODEL_TROUBLES_H
#define BORAGEBRIDGE_EDGE_MODEL_TROUBLES_H

#include "edge_model/edge_model.h"

namespace boragebridge::edge_model {

/// One kind of trouble.
struct Trouble {
  std::string_view Name;
  /// Begins it; \p pick chooses whom it strikes. Returns what ends it; empty
  /// when it ends by itself.
  std::function<void()> (*Begin)(EdgeModel &model, std::uint64_t pick);
};

auto allTroubles() -> std::span<const Trouble>;
/// Null for a name that is not known.
auto findTrouble(std::string_view name) -> const Trouble *;

/// One trouble at its time.
struct PlannedTrouble {
  const Trouble *Kind = nullptr;
  Duration At{};
  Duration For{};
  std::uint64_t Pick = 0;
};

/// Draws \p n troubles within \p length. With \p only, all of that kind.
auto drawTroubles(std::uint64_t seed, std::size_t n, Duration length,
                  const Trouble *only = nullptr) -> std::vector<PlannedTrouble>;
/// Lets \p all happen in \p model, from its time on.
auto planTroubles(EdgeModel &model, const std::vector<PlannedTrouble> &all)
    -> void;

} // namespace boragebridge::edge_model

#endif
