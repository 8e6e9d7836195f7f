#include "edge/load/upstream_subsets.h"

#include <algorithm>
#include <map>
#include <utility>

namespace boragebridge {

using Upstreams = std::vector<SubsetUpstream>;

/// A number that each lifetime of an upstream has of its own.
static auto hashOf(const UpstreamRecord &r) -> std::uint64_t {
  const auto hash = hashPair(hashName(r.Name),
                             static_cast<std::uint64_t>(r.StartedAt.count()));
  return static_cast<std::uint32_t>(hash ^ (hash >> 32));
}

/// Puts \p all into an order that depends on their lifetimes and \p seed alone.
static auto shuffle(Upstreams &all, std::uint64_t seed) -> void {
  std::vector<std::pair<std::uint64_t, std::size_t>> keys;
  keys.reserve(all.size());
  for (std::size_t i = 0; i < all.size(); ++i) {
    keys.emplace_back(hashPair(hashOf(all[i].Upstream->Record), seed), i);
  }
  std::sort(keys.begin(), keys.end());
  Upstreams ordered;
  ordered.reserve(all.size());
  for (const auto &[key, i] : keys)
    ordered.push_back(all[i]);
  all = std::move(ordered);
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
      byDataCentre[it->Record.DataCentre].push_back({it});
  ServiceSubset out;
  for (auto &[dataCentre, all] : byDataCentre)
    addDataCentre(std::move(all), dataCentre != DataCentre, out);
  return out;
}

auto UpstreamSubsets::rankOfSelf(DataCentreId dataCentre, bool isRemote) const
    -> SenderRank {
  SenderRank out;
  auto isMember = false;
  for (const auto &it : Members) {
    if ((it.DataCentre != dataCentre) != isRemote)
      continue;
    isMember = isMember || it.Name == Self;
    out.Index += it.Name < Self ? 1 : 0;
    ++out.Senders;
  }
  // An instance that is not registered yet is counted as one sender more.
  out.Senders += isMember ? 0 : 1;
  return out;
}

auto UpstreamSubsets::addDataCentre(Upstreams all, bool isRemote,
                                    ServiceSubset &out) const -> void {
  const auto rank =
      rankOfSelf(all.front().Upstream->Record.DataCentre, isRemote);
  const auto n = static_cast<double>(all.size());
  shuffle(all, 0);
  for (std::size_t i = 0; i < all.size(); ++i) {
    all[i].Position = static_cast<double>(i + 1) / n;
    all[i].Senders = static_cast<double>(rank.Senders);
    all[i].IsRemote = isRemote;
  }
  auto used =
      subsetOf(all, rank.Index, rank.Senders,
               isRemote ? Options.TargetRemoteSenders : Options.TargetSenders,
               Options.MinUpstreams);
  const auto senders =
      std::max(1.0, static_cast<double>(rank.Senders * used.size()) / n);
  for (auto &it : used) {
    it.Senders = senders;
    out.Used.push_back(it);
  }
  if (!isRemote)
    out.Local = std::move(all);
}

} // namespace boragebridge
