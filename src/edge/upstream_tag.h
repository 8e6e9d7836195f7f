/// \file
/// The tag that a flow carries in its packets. Caller and upstream echo it, so
/// any instance finds the upstream of a flow without a table of flows and
/// without messages between instances.
///
/// A tag names one lifetime of an upstream and changes with each restart. Every
/// instance derives it from the upstream's record in the store, so all
/// instances agree. Two upstreams may share a tag; UpstreamDirectory resolves
/// which one it names.
#ifndef BORAGEBRIDGE_EDGE_UPSTREAM_TAG_H
#define BORAGEBRIDGE_EDGE_UPSTREAM_TAG_H

#include "boragebridge/types.h"

namespace boragebridge {

/// None: the packet carries no tag yet.
enum class UpstreamTag : std::uint32_t { None = 0 };

/// The tag of the upstream \p name that started at \p startedAt after the Unix
/// epoch, by its own clock. Never None.
auto tagOf(std::string_view name, std::chrono::milliseconds startedAt)
    -> UpstreamTag;

} // namespace boragebridge

#endif
