/// \file
/// A digest shows whether two copies of the objects below a prefix are the
/// same. The version of a copy does not: it only says up to which change the
/// copy should be complete.
///
/// A digest is a sum over the objects, so it can be kept up to date at a fixed
/// cost for each change, and their order does not matter. Thread-safe.
#ifndef BORAGEBRIDGE_STORE_VIEW_DIGEST_H
#define BORAGEBRIDGE_STORE_VIEW_DIGEST_H

#include "boragebridge/platform_client.h"

namespace boragebridge {

/// The digest of one object, by its key and version. A version names one value
/// of the object, so the value itself is not read.
auto digestOf(const StoredObject &o) -> ViewDigest;

/// The digest of the objects in \p l, without the removals.
auto digestOf(const ObjectList &l) -> ViewDigest;

} // namespace boragebridge

#endif
