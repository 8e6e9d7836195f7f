#include "edge/upstream_tag_index.h"

#include <algorithm>
#include <tuple>

namespace boragebridge {

auto UpstreamTagIndex::lifetimesOf(std::uint32_t namePart) const
    -> const Lifetimes & {
  static const Lifetimes none;
  const auto it = ByNamePart.find(namePart);
  return it == ByNamePart.end() ? none : it->second;
}

auto UpstreamTagIndex::add(const UpstreamRecord &r, UpstreamIndex i) -> void {
  const auto tag = tagOf(r.Name, r.StartedAt);
  ByNamePart[namePartOf(tag)].push_back({tag, r.Name, r.StartedAt, i});
}

auto UpstreamTagIndex::remove(const UpstreamRecord &r) -> void {
  const auto all = ByNamePart.find(namePartOf(tagOf(r.Name, r.StartedAt)));
  if (all == ByNamePart.end())
    return;
  std::erase_if(all->second, [&](const auto &it) { return describes(r, it); });
  if (all->second.empty())
    ByNamePart.erase(all);
}

auto UpstreamTagIndex::hasPrecedence(const Lifetime &a, const Lifetime &b)
    -> bool {
  const auto isEarlier =
      std::tie(a.StartedAt, a.Name) < std::tie(b.StartedAt, b.Name);
  return isEarlier != (a.Name == b.Name);
}

auto UpstreamTagIndex::find(UpstreamTag tag) const
    -> std::optional<UpstreamIndex> {
  const Lifetime *owner = nullptr;
  for (const auto &it : lifetimesOf(namePartOf(tag)))
    if (it.Tag == tag && (owner == nullptr || hasPrecedence(it, *owner)))
      owner = &it;
  if (owner == nullptr)
    return std::nullopt;
  return owner->Index;
}

auto UpstreamTagIndex::findLifetime(const UpstreamRecord &r) const
    -> std::optional<UpstreamIndex> {
  for (const auto &it : lifetimesOf(namePartOf(tagOf(r.Name, r.StartedAt))))
    if (describes(r, it))
      return it.Index;
  return std::nullopt;
}

auto UpstreamTagIndex::nameOf(UpstreamTag tag) const -> const std::string * {
  const auto &all = lifetimesOf(namePartOf(tag));
  if (all.empty())
    return nullptr;
  const auto &name = all.front().Name;
  const auto isShared = std::any_of(
      all.begin(), all.end(), [&](const auto &it) { return it.Name != name; });
  return isShared ? nullptr : &name;
}

} // namespace boragebridge
