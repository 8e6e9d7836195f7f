/// \file
/// Tags that name no known upstream, and since when. Instances do not read a
/// record at the same time, so such a tag may name an upstream that other
/// instances know already. It names one that is gone only after the time in
/// which every instance reads a record.
///
/// Example:
/// \code
///   UnknownTags unknown;
///   if (unknown.isOverdue(packet.Tag, now))
///     ...  // reset the flow
/// \endcode
#ifndef BORAGEBRIDGE_EDGE_UNKNOWN_TAGS_H
#define BORAGEBRIDGE_EDGE_UNKNOWN_TAGS_H

#include "edge/upstream_tag.h"

#include <deque>

namespace boragebridge {

struct UnknownTagsOptions {
  /// Longer than the view of an instance can be behind that of another one
  /// while both are confirmed: its parent may have stopped responding, and its
  /// parent's parent.
  Duration ReadLimit = std::chrono::milliseconds(2500);
  /// A tag that was first seen longer ago starts anew.
  Duration RetentionTime = std::chrono::seconds(75);
  /// Tags that are remembered; beyond it the oldest one is forgotten.
  std::size_t MaxTags = 256;
};

/// Not thread-safe.
class UnknownTags {
public:
  explicit UnknownTags(UnknownTagsOptions opt = {}) : Options(opt) {}

  /// Records that \p tag is unknown at \p now. Returns whether it was already
  /// unknown ReadLimit ago.
  auto isOverdue(UpstreamTag tag, TimePoint now) -> bool;

private:
  struct Seen {
    UpstreamTag Tag = UpstreamTag::None;
    TimePoint Since;
  };

  UnknownTagsOptions Options;
  /// The tag that was seen first is at the front.
  std::deque<Seen> Tags;
};

} // namespace boragebridge

#endif
