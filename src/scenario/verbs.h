/// \file
/// The verbs of the scenario language. A verb is the action of one event.
#ifndef BORAGEBRIDGE_SCENARIO_VERBS_H
#define BORAGEBRIDGE_SCENARIO_VERBS_H

#include "scenario/system_world.h"

#include <span>

namespace boragebridge::scenario {

/// The kind of object that an argument names.
enum class ArgumentKind : std::uint8_t {
  Instance,
  NewInstance, ///< NAME@DATA-CENTRE
  Upstream,
  DataCentre,
  DataCentrePair, ///< A/B
  PlatformState,  ///< up, down, slow, losing
};

/// One verb. Precondition of Act: isValidArgument() holds for the argument.
struct Verb {
  std::string_view Name;
  ArgumentKind Argument;
  void (*Act)(SystemWorld &, const std::string &argument);
};

auto allVerbs() -> std::span<const Verb>;
/// Returns null for an unknown name.
auto findVerb(std::string_view name) -> const Verb *;
/// Describes the expected argument for an error message.
auto describe(ArgumentKind kind) -> std::string_view;
/// Returns true if \p argument has the form that \p kind requires and, for
/// names that the topology defines, exists in \p t.
auto isValidArgument(ArgumentKind kind, const std::string &argument,
                     const Topology &t) -> bool;
/// Returns the names of the initial instances and upstreams of a topology.
auto instancesOf(const Topology &t) -> std::vector<std::string>;
auto upstreamsOf(const Topology &t) -> std::vector<std::string>;

} // namespace boragebridge::scenario

#endif
