#include "edge/upstream_lookup.h"

#include "edge/edge_events.h"

#include <algorithm>
#include <charconv>

namespace boragebridge {

static constexpr std::string_view TargetPrefix = "/v1/upstreams/";

auto lookupTarget(UpstreamTag tag) -> std::string {
  return std::string(TargetPrefix) +
         std::to_string(static_cast<std::uint32_t>(tag));
}

auto parseLookupTarget(std::string_view target) -> UpstreamTag {
  if (!target.starts_with(TargetPrefix))
    return UpstreamTag::None;
  target.remove_prefix(TargetPrefix.size());
  std::uint32_t n = 0;
  const auto *const end = target.data() + target.size();
  const auto r = std::from_chars(target.data(), end, n);
  return r.ec == std::errc() && r.ptr == end ? UpstreamTag{n}
                                             : UpstreamTag::None;
}

auto UpstreamLookup::onUnknownTag(UpstreamTag tag, TimePoint now) -> void {
  while (!Lookups.empty() &&
         now - Lookups.front().StartedAt >= Options.RetryInterval)
    Lookups.pop_front();
  const auto isRunning =
      std::any_of(Lookups.begin(), Lookups.end(),
                  [&](const auto &it) { return it.Tag == tag; });
  if (isRunning || Lookups.size() == Options.MaxTags)
    return;
  Lookups.push_back({tag, now});
  askFrom(tag, std::make_shared<const std::vector<Endpoint>>(List()), 0);
}

auto UpstreamLookup::askFrom(
    UpstreamTag tag, const std::shared_ptr<const std::vector<Endpoint>> &peers,
    std::size_t n) -> void {
  if (n == std::min(peers->size(), Options.MaxPeers))
    return;
  const auto &peer = (*peers)[n];
  Ask(peer, tag,
      [this, tag, peers, n, alive = std::weak_ptr<bool>(Alive)](const auto &r) {
        if (alive.expired())
          return;
        if (!r.ok() || !onRecord(tag, (*peers)[n], *r))
          askFrom(tag, peers, n + 1);
      });
}

auto UpstreamLookup::onRecord(UpstreamTag tag, const Endpoint &from,
                              const UpstreamRecord &r) -> bool {
  if (tagOf(r.Name, r.StartedAt) != tag)
    return false;
  Directory.addUnregistered(r, Time.now());
  Log.write(events::UpstreamLookedUp,
            {{"upstream", r.Name},
             {"address", toString(r.Address)},
             {"from", toString(from)},
             {"tag", std::to_string(static_cast<std::uint32_t>(tag))}});
  return true;
}

} // namespace boragebridge
