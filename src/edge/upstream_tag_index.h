/// \file
/// Finds the lifetimes of upstreams by tag, and upstreams by the name part of a
/// tag.
///
/// If two upstreams share a tag, it names the one that started first: flows to
/// it may already be open, and every instance reaches the same decision. Of
/// several lifetimes of one upstream it names the latest, as the others have
/// ended.
///
/// Free of I/O. Not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_UPSTREAM_TAG_INDEX_H
#define BORAGEBRIDGE_EDGE_UPSTREAM_TAG_INDEX_H

#include "edge/records.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace boragebridge {

/// Index of an upstream's lifetime in this process; below MaxUpstreams. An
/// index is reused after its upstream has been removed from the directory.
using UpstreamIndex = std::uint32_t;

class UpstreamTagIndex {
public:
  /// Adds the lifetime that \p r describes. Precondition: it is not there.
  auto add(const UpstreamRecord &r, UpstreamIndex i) -> void;
  /// Removes the lifetime that \p r describes, if it is there.
  auto remove(const UpstreamRecord &r) -> void;
  /// The lifetime that \p tag names.
  auto find(UpstreamTag tag) const -> std::optional<UpstreamIndex>;
  /// The lifetime that \p r describes, whichever one its tag names.
  auto findLifetime(const UpstreamRecord &r) const
      -> std::optional<UpstreamIndex>;
  /// The name of the upstream with the name part of \p tag. Null if there is
  /// none, or if several upstreams share the name part.
  auto nameOf(UpstreamTag tag) const -> const std::string *;

private:
  struct Lifetime {
    UpstreamTag Tag = UpstreamTag::None;
    std::string Name;
    std::chrono::milliseconds StartedAt{};
    UpstreamIndex Index = 0;
  };
  using Lifetimes = std::vector<Lifetime>;

  static auto describes(const UpstreamRecord &r, const Lifetime &it) -> bool {
    return it.StartedAt == r.StartedAt && it.Name == r.Name;
  }
  /// Whether a tag that \p a and \p b share names \p a.
  static auto hasPrecedence(const Lifetime &a, const Lifetime &b) -> bool;
  auto lifetimesOf(std::uint32_t namePart) const -> const Lifetimes &;

  std::unordered_map<std::uint32_t, Lifetimes> ByNamePart;
};

} // namespace boragebridge

#endif
