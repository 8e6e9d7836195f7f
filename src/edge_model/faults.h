/// \file
/// The faults and operator actions that a run of the model injects, and the
/// random choice of a plan of them from a seed.
#ifndef BORAGEBRIDGE_EDGE_MODEL_FAULTS_H
#define BORAGEBRIDGE_EDGE_MODEL_FAULTS_H

#include "edge_model/edge_model.h"

namespace boragebridge::edge_model {

/// One kind of fault, or of operator action that changes the installation.
struct FaultKind {
  std::string_view Name;
  /// Begins the fault; \p selector chooses the components that it affects.
  /// Returns the function that ends the fault, empty if the fault ends by
  /// itself.
  std::function<void()> (*Begin)(EdgeModel &model, std::uint64_t selector);
};

/// Returns all kinds, in a fixed order.
auto allFaultKinds() -> std::span<const FaultKind>;
/// Returns null for an unknown name.
auto findFaultKind(std::string_view name) -> const FaultKind *;

/// One fault with the time at which it begins, counted from the start of the
/// plan.
struct PlannedFault {
  const FaultKind *Kind = nullptr;
  Duration At{};
  /// Time until the fault is ended, if it does not end by itself.
  Duration ActiveTime{};
  std::uint64_t Selector = 0;
};

/// Draws \p n faults that begin within \p length. With \p only, all are of that
/// kind. The same arguments give the same plan.
auto drawFaults(std::uint64_t seed, std::size_t n, Duration length,
                const FaultKind *only = nullptr) -> std::vector<PlannedFault>;
/// Adds \p n restores of the store, at times drawn from \p seed, to \p plan.
auto addRestores(std::vector<PlannedFault> &plan, std::uint64_t seed,
                 std::size_t n, Duration length) -> void;
/// Adds \p n faults of the kinds that drawFaults() leaves out, but for restores
/// and missing records, to \p plan, drawn from \p seed.
auto addLaterFaults(std::vector<PlannedFault> &plan, std::uint64_t seed,
                    std::size_t n, Duration length) -> void;
/// Schedules \p all in \p model, counted from the model's current time.
auto planFaults(EdgeModel &model, const std::vector<PlannedFault> &all) -> void;

} // namespace boragebridge::edge_model

#endif
