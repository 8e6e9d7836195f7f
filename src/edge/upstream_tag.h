/// \file
/// The tag that a flow carries in its packets. Caller and upstream echo it, so
/// any instance finds the upstream of a flow without a table of flows and
/// without messages between instances.
///
/// A tag names one lifetime of an upstream and changes with each restart. Every
/// instance derives it from the upstream's record in the store, so all
/// instances agree. Two upstreams may share a tag; UpstreamDirectory resolves
/// which one it names.
///
/// The upper 24 bits, the name part, depend on the name of the upstream alone.
/// The store has the record of the latest lifetime only, but flows may be open
/// there with the tag of an earlier lifetime, which no instance may know any
/// more. The name part is enough to find their upstream.
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

/// The part of \p tag that all lifetimes of an upstream share.
auto namePartOf(UpstreamTag tag) -> std::uint32_t;

} // namespace boragebridge

#endif
