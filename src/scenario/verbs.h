/// \file
/// The verbs of the scenario language.
#ifndef BORAGEBRIDGE_SCENARIO_VERBS_H
#define BORAGEBRIDGE_SCENARIO_VERBS_H

#include "scenario/system_world.h"

#include <span>

namespace boragebridge::scenario {

/// What an argument names.
enum class ArgumentKind : std::uint8_t {
  Instance,
  NewInstance, ///< NAME@DATA-CENTRE
  Upstream,
  DataCentre,
  DataCentrePair, ///< A/B
  PlatformState,  ///< up, down, slow, losing
};

/// One verb. Precondition of Act: isValidArgument().
struct Verb {
  std::string_view Name;
  ArgumentKind Argument;
  void (*Act)(SystemWorld &, const std::string &argument);
};

auto allVerbs() -> std::span<const Verb>;
/// Null for an unknown word.
auto findVerb(std::string_view name) -> const Verb *;
/// What is expected, in words.
auto describe(ArgumentKind kind) -> std::string_view;
/// True when \p argument has the form that \p kind wants; for names that the
/// topology fixes, also that they exist in \p t.
auto isValidArgument(ArgumentKind kind, const std::string &argument,
                     const Topology &t) -> bool;
/// The names that a topology starts with.
auto instancesOf(const Topology &t) -> std::vector<std::string>;
auto upstreamsOf(const Topology &t) -> std::vector<std::string>;

} // namespace boragebridge::scenario

#endif
