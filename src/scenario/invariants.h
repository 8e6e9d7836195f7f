/// \file
/// The ten invariants that the system guarantees to callers, upstreams and
/// operators in every run, as checks of a SystemWorld.
#ifndef BORAGEBRIDGE_SCENARIO_INVARIANTS_H
#define BORAGEBRIDGE_SCENARIO_INVARIANTS_H

#include "scenario/system_world.h"

#include <span>

namespace boragebridge::scenario {

/// One invariant.
struct Invariant {
  /// Its name in scenarios.
  std::string_view Name;
  std::string_view Meaning;
  /// Returns how often the invariant has been violated in the world.
  std::uint64_t (*CountViolations)(SystemWorld &);
};

auto allInvariants() -> std::span<const Invariant>;
/// Returns null for an unknown name.
auto findInvariant(std::string_view name) -> const Invariant *;

/// One value that scenarios may set bounds for.
struct Measure {
  std::string_view Name;
  double (*Read)(SystemWorld &);
};

auto allMeasures() -> std::span<const Measure>;
auto findMeasure(std::string_view name) -> const Measure *;

/// Returns "NAME: COUNT" for each violated invariant.
auto findViolations(SystemWorld &world) -> std::vector<std::string>;

} // namespace boragebridge::scenario

#endif
