/// \file
/// Conversion of problems, configurations and changes to and from the JSON
/// bodies of the administration API.
#ifndef BORAGEBRIDGE_ADMIN_ADMIN_JSON_H
#define BORAGEBRIDGE_ADMIN_ADMIN_JSON_H

#include "admin/administration_api.h"
#include "config/change.h"
#include "config/configuration_controller.h"

#include "absl/status/statusor.h"

#include <boost/json.hpp>

namespace boragebridge {

/// Makes a response with a JSON body.
auto jsonResponse(unsigned status, const boost::json::value &body)
    -> AdminResponse;
/// Makes a problem response (RFC 9457) of \p type. \p more holds additional
/// members of the body.
auto problem(unsigned status, std::string_view type, std::string_view detail,
             boost::json::object more = {}) -> AdminResponse;
/// Makes the problem response that lists the errors of a sheet.
auto sheetProblem(const std::vector<SheetError> &errors) -> AdminResponse;
/// Makes the response to the change \p id, whose outcome is \p o.
auto changeResponse(const std::string &id, const ChangeOutcome &o)
    -> AdminResponse;

auto toJson(const Configuration &cfg) -> boost::json::object;
auto toJson(const ChangeRecord &r) -> boost::json::object;
auto toJson(const SheetDiff &d) -> boost::json::object;
auto toJson(const Holders &h) -> boost::json::object;
auto toJson(const MembershipView &v) -> boost::json::array;

/// Parses the operations in the body of a change. Returns InvalidArgument with
/// the reason for a malformed body.
auto parseOperations(const std::string &body)
    -> absl::StatusOr<std::vector<Operation>>;

} // namespace boragebridge

#endif
