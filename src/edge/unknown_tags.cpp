#include "edge/unknown_tags.h"

#include <algorithm>

namespace boragebridge {

auto UnknownTags::isOverdue(UpstreamTag tag, TimePoint now) -> bool {
  while (!Tags.empty() && now - Tags.front().Since > Options.RetentionTime)
    Tags.pop_front();
  const auto it = std::find_if(Tags.begin(), Tags.end(),
                               [&](const auto &t) { return t.Tag == tag; });
  if (it != Tags.end())
    return now - it->Since >= Options.ReadLimit;
  if (Tags.size() == Options.MaxTags)
    Tags.pop_front();
  Tags.push_back({tag, now});
  return false;
}

} // namespace boragebridge
