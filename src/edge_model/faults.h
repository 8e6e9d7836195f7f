/// \file
/// Troubles that the model plays: what begins, what ends, and how a seed draws
/// a run of them.
#ifndef BORAGEBRIDGE_EDGE_MODEL_FAULTS_H
#define BORAGEBRIDGE_EDGE_MODEL_FAULTS_H

#include "edge_model/edge_model.h"

namespace boragebridge::edge_model {

/// One kind of trouble.
struct FaultKind {
  std::string_view Name;
  /// Begins it; \p selector chooses whom it strikes. Returns what ends it;
  /// empty when it ends by itself.
  std::function<void()> (*Begin)(EdgeModel &model, std::uint64_t selector);
};

auto allFaultKinds() -> std::span<const FaultKind>;
/// Null for a name that is not known.
auto findFaultKind(std::string_view name) -> const FaultKind *;

/// One trouble at its time.
struct PlannedFault {
  const FaultKind *Kind = nullptr;
  Duration At{};
  Duration ActiveTime{};
  std::uint64_t Selector = 0;
};

/// Draws \p n troubles within \p length. With \p only, all of that kind.
auto drawFaults(std::uint64_t seed, std::size_t n, Duration length,
                const FaultKind *only = nullptr) -> std::vector<PlannedFault>;
/// Lets \p all happen in \p model, from its time on.
auto planFaults(EdgeModel &model, const std::vector<PlannedFault> &all) -> void;

} // namespace boragebridge::edge_model

#endif
