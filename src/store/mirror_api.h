/// \file
/// The HTTP face of an ObjectMirror, for other instances.
#ifndef BORAGEBRIDGE_STORE_MIRROR_API_H
#define BORAGEBRIDGE_STORE_MIRROR_API_H

#include "boragebridge/clock.h"
#include "net/http.h"
#include "store/object_mirror.h"

namespace boragebridge {

/// Answers lists and watches of the object API from \p mirror. Both references
/// outlive the handler and every request that it was given. Not thread-safe.
auto makeMirrorApi(ObjectMirror &mirror, const Clock &time) -> HttpHandler;

} // namespace boragebridge

#endif
