/// \file
/// The ten promises of "What must always hold", as checks of a SystemWorld.
#ifndef BORAGEBRIDGE_SCENARIO_INVARIANTS_H
#define BORAGEBRIDGE_SCENARIO_INVARIANTS_H

#include "scenario/system_world.h"

#include <span>

namespace boragebridge::scenario {

/// One promise.
struct Invariant {
  /// Its word in scenarios.
  std::string_view Name;
  std::string_view Meaning;
  /// How often it has been broken in this world.
  std::uint64_t (*CountViolations)(SystemWorld &);
};

auto allInvariants() -> std::span<const Invariant>;
/// Null for an unknown word.
auto findInvariant(std::string_view name) -> const Invariant *;

/// One figure that scenarios may put bounds on.
struct Measure {
  std::string_view Name;
  double (*Read)(SystemWorld &);
};

auto allMeasures() -> std::span<const Measure>;
auto findMeasure(std::string_view name) -> const Measure *;

/// "NAME: COUNT" for each broken promise.
auto findViolations(SystemWorld &world) -> std::vector<std::string>;

} // namespace boragebridge::scenario

#endif
