/// \file
/// Splits the text of a configuration into parts that change independently: one
/// for each route and each service, and a head with everything else. Free of
/// I/O; thread-safe.
#ifndef BORAGEBRIDGE_EDGE_CONFIGURATION_TEXT_H
#define BORAGEBRIDGE_EDGE_CONFIGURATION_TEXT_H

#include "absl/status/statusor.h"

#include <string>
#include <string_view>
#include <vector>

namespace boragebridge {

/// A member of a JSON document that is an array of objects.
struct PartArray {
  std::string_view Member;
  /// The member that identifies an element of the array.
  std::string_view Id;
};

/// The text of one route or service.
struct ConfigurationPart {
  /// Unique among the parts of its kind; spelled as in the text.
  std::string Id;
  std::string_view Text;
};

/// The parts of a configuration. Their texts refer to the text that was split.
struct ConfigurationText {
  /// A JSON object with all members but the routes and services.
  std::string Head;
  std::vector<ConfigurationPart> Routes;
  std::vector<ConfigurationPart> Services;
};

/// Splits the JSON object \p text, which outlives the result. Returns
/// InvalidArgument if it is not an object, an array is missing, or an element
/// has no identity. The parts themselves are not checked.
auto splitConfigurationText(std::string_view text, const PartArray &routes,
                            const PartArray &services)
    -> absl::StatusOr<ConfigurationText>;

} // namespace boragebridge

#endif
