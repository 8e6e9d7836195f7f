/// \file
/// The tag that a flow carries in its packets. Caller and upstream repeat it,
/// so that any instance finds the upstream of a flow with no table of flows
/// and no message between instances.
///
/// A tag names one lifetime of an upstream: after a restart it has another.
/// Every instance derives it from what the store says of the upstream, so all
/// agree. Two upstreams may share a tag; Directory tells which one it means.
#ifndef BORAGEBRIDGE_EDGE_UPSTREAM_TAG_H
#define BORAGEBRIDGE_EDGE_UPSTREAM_TAG_H

#include "boragebridge/types.h"

namespace boragebridge {

/// None means that the packet carries no tag yet.
enum class UpstreamTag : std::uint32_t { None = 0 };

/// The tag of the upstream \p name that started \p startedAt after the Unix
/// epoch, by its own clock. Never None.
auto tagOf(std::string_view name, std::chrono::milliseconds startedAt)
    -> UpstreamTag;

} // namespace boragebridge

#endif
