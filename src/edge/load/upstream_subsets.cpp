#include "edge/load/upstream_subsets.h"

#include <algorithm>
#include <map>

namespace boragebridge {

using Upstreams = std::vector<const UpstreamLifetime *>;

static auto tagNumber(const UpstreamLifetime &u) -> std::uint64_t {
  return static_cast<std::uint32_t>(u.Tag);
}

/// Puts \p all into an order that depends on their tags and \p seed alone.
static auto shuffle(Upstreams &all, std::uint64_t seed) -> void {
  const auto key = [seed](const auto *u) {
    return hashPair(tagNumber(*u), seed);
  };
  std::sort(all.begin(), all.end(),
            [&](const auto *a, const auto *b) { return key(a) < key(b); });
}

auto subsetOf(Upstreams all, std::size_t index, std::size_t senders,
              std::size_t targetSenders, std::size_t minUpstreams)
    -> Upstreams {
  const auto wanted = std::max(
      minUpstreams, (targetSenders * all.size() + senders - 1) / senders);
  if (wanted >= all.size())
    return all;
  // The senders form rounds. Those of one round divide the upstreams among
  // them; each round divides them differently.
  const auto parts = all.size() / wanted;
  const auto round = index / parts;
  const auto part = index % parts;
  shuffle(all, round + 1);
  const auto begin = part * all.size() / parts;
  const auto end = (part + 1) * all.size() / parts;
  return {all.begin() + static_cast<std::ptrdiff_t>(begin),
          all.begin() + static_cast<std::ptrdiff_t>(end)};
}

auto UpstreamSubsets::setMembers(const std::vector<MemberRecord> &all) -> void {
  Members = all;
  std::sort(Members.begin(), Members.end(),
            [](const auto &a, const auto &b) { return a.Name < b.Name; });
  Cache.clear();
}

auto UpstreamSubsets::of(ServiceId service, TimePoint now)
    -> const ServiceSubset & {
  auto &c = Cache[raw(service)];
  if (isStale(c, now))
    c = {make(service, now), Directory.serviceRevision(), now};
  return c.Subset;
}

auto UpstreamSubsets::preview(ServiceId service, TimePoint now) const
    -> ServiceSubset {
  const auto it = Cache.find(raw(service));
  return it == Cache.end() || isStale(it->second, now) ? make(service, now)
                                                       : it->second.Subset;
}

auto UpstreamSubsets::isStale(const CachedSubset &c, TimePoint now) const
    -> bool {
  return c.MadeAt == TimePoint{} || c.Revision != Directory.serviceRevision() ||
         now - c.MadeAt > Options.MaxAge;
}

auto UpstreamSubsets::make(ServiceId service, TimePoint now) const
    -> ServiceSubset {
  std::map<DataCentreId, Upstreams> byDataCentre;
  for (const auto *it : Directory.upstreamsOf(service))
    if (Directory.mayOpen(*it, now))
      byDataCentre[it->Record.DataCentre].push_back(it);
  ServiceSubset out;
  for (const auto &[dataCentre, all] : byDataCentre)
    addDataCentre(all, dataCentre != DataCentre, out);
  return out;
}

auto UpstreamSubsets::addDataCentre(const Upstreams &all, bool isRemote,
                                    ServiceSubset &out) const -> void {
  // Instances of other data centres than the upstreams' share the remote part.
  const auto sends = [&](const MemberRecord &m) {
    const auto isLocal = m.DataCentre == all.front()->Record.DataCentre;
    return isRemote ? !isLocal : isLocal;
  };
  std::size_t index = 0;
  std::size_t senders = 0;
  auto isMember = false;
  for (const auto &it : Members) {
    if (!sends(it))
      continue;
    isMember = isMember || it.Name == Self;
    index += it.Name < Self ? 1 : 0;
    ++senders;
  }
  // An instance that is not registered yet is counted as one sender more.
  senders += isMember ? 0 : 1;
  const auto target =
      isRemote ? Options.TargetRemoteSenders : Options.TargetSenders;
  auto ordered = all;
  shuffle(ordered, 0);
  std::unordered_map<const UpstreamLifetime *, double> positions;
  const auto n = static_cast<double>(ordered.size());
  for (std::size_t i = 0; i < ordered.size(); ++i)
    positions[ordered[i]] = static_cast<double>(i + 1) / n;
  const auto used = subsetOf(all, index, senders, target, Options.MinUpstreams);
  const auto sendersOfOne =
      std::max(1.0, static_cast<double>(senders * used.size()) / n);
  for (const auto *it : used)
    out.Used.push_back({it, positions[it], sendersOfOne, isRemote});
  if (isRemote)
    return;
  for (const auto *it : ordered)
    out.Local.push_back(
        {it, positions[it], static_cast<double>(senders), isRemote});
}

} // namespace boragebridge
