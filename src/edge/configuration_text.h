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

/// The texts of all routes, or of all services.
struct PartTexts {
  std::vector<std::string_view> Texts;
  /// The member that identifies a part.
  std::string_view Id;
};

/// The parts of a configuration. Their texts refer to the text that was split.
struct ConfigurationText {
  /// A JSON object with all members but the routes and services.
  std::string Head;
  PartTexts Routes;
  PartTexts Services;
};

/// Splits the JSON object \p text, which outlives the result. Returns
/// InvalidArgument if it is not an object or an array is missing. The parts
/// themselves are not checked.
auto splitConfigurationText(std::string_view text, const PartArray &routes,
                            const PartArray &services)
    -> absl::StatusOr<ConfigurationText>;

/// The value of the member \p id of the JSON object \p part, as it is spelled
/// there, a string without its quotes. Returns InvalidArgument if there is
/// none.
auto idOfPart(std::string_view part, std::string_view id)
    -> absl::StatusOr<std::string>;

} // namespace boragebridge

#endif
