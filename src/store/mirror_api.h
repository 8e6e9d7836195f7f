/// \file
/// The HTTP interface by which other instances read an ObjectMirror.
#ifndef BORAGEBRIDGE_STORE_MIRROR_API_H
#define BORAGEBRIDGE_STORE_MIRROR_API_H

#include "boragebridge/clock.h"
#include "net/http.h"
#include "store/object_mirror.h"

namespace boragebridge {

/// Makes a handler that answers the lists and watches of the object API from
/// \p mirror. Both references outlive the handler and all requests that it has
/// received. Not thread-safe.
auto makeMirrorApi(ObjectMirror &mirror, const Clock &time) -> HttpHandler;

} // namespace boragebridge

#endif
