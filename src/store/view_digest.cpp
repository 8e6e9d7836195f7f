#include "store/view_digest.h"

#include <xxhash.h>

namespace boragebridge {

auto digestOf(const StoredObject &o) -> ViewDigest {
  return XXH3_64bits_withSeed(o.Key.data(), o.Key.size(), o.Version);
}

auto digestOf(const ObjectList &l) -> ViewDigest {
  ViewDigest sum = 0;
  for (const auto &it : l.Events)
    if (!it.Removed)
      sum += digestOf(it.Object);
  return sum;
}

} // namespace boragebridge
