/// \file
/// Bodies of the administration API: problems, configuration, changes.
#ifndef BORAGEBRIDGE_ADMIN_ADMIN_JSON_H
#define BORAGEBRIDGE_ADMIN_ADMIN_JSON_H

#include "admin/administration_api.h"
#include "config/change.h"
#include "config/configuration_controller.h"

#include "absl/status/statusor.h"

#include <boost/json.hpp>

namespace boragebridge {

/// A response with a JSON body.
auto jsonResponse(unsigned status, const boost::json::value &body)
    -> AdminResponse;
/// A problem (RFC 9457) of \p type, with further members \p more.
auto problem(unsigned status, std::string_view type, std::string_view detail,
             boost::json::object more = {}) -> AdminResponse;
/// The faults of a sheet as a problem.
auto sheetProblem(const std::vector<SheetError> &errors) -> AdminResponse;
/// The response to a change that ended with \p o.
auto changeResponse(const std::string &id, const ChangeOutcome &o)
    -> AdminResponse;

auto toJson(const Configuration &cfg) -> boost::json::object;
auto toJson(const ChangeRecord &r) -> boost::json::object;
auto toJson(const SheetDiff &d) -> boost::json::object;
auto toJson(const Holders &h) -> boost::json::object;
auto toJson(const MembershipView &v) -> boost::json::array;

/// The operations of a change body; InvalidArgument says what is wrong.
auto parseOperations(const std::string &body)
    -> absl::StatusOr<std::vector<Operation>>;

} // namespace boragebridge

#endif
