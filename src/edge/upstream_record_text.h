/// \file
/// The text form of an upstream's record, as instances exchange it.
///
/// Thread-safe.
#ifndef BORAGEBRIDGE_EDGE_UPSTREAM_RECORD_TEXT_H
#define BORAGEBRIDGE_EDGE_UPSTREAM_RECORD_TEXT_H

#include "edge/records.h"

#include "absl/status/statusor.h"

namespace boragebridge {

/// Returns \p r as a JSON object.
auto formatUpstreamRecord(const UpstreamRecord &r) -> std::string;
/// Parses the result of formatUpstreamRecord(). InvalidArgument if \p text has
/// another form.
auto parseUpstreamRecord(const std::string &text)
    -> absl::StatusOr<UpstreamRecord>;

} // namespace boragebridge

#endif
