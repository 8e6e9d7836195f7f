#include "flow_baselines.h"

#include <algorithm>
#include <utility>

namespace boragebridge::bench {

static constexpr std::uint32_t Slots = 1024;

static auto lookUp(const std::vector<UpstreamId> &upstreams,
                   const std::vector<UpstreamIndex> &table, std::uint64_t h)
    -> UpstreamId {
  return table.empty() ? UpstreamId{} : upstreams[table[h % Slots]];
}

auto BaselineRun::update(InstanceState &it, const Configuration &cfg) -> void {
  if (it.Seen == cfg.RevisionNumber)
    return;
  it.Seen = cfg.RevisionNumber;
  std::vector<WeightedUpstream> all;
  for (const auto &u : cfg.Upstreams)
    if (u.Mode == UpstreamMode::Active)
      all.push_back({u.Id, static_cast<std::uint16_t>(u.SpeedPercent)});
  std::sort(all.begin(), all.end(),
            [](const auto &a, const auto &b) { return a.Id < b.Id; });
  auto table = buildSlotTable(cfg.Services.front().Id, all, Slots);
  std::vector<UpstreamId> upstreams;
  upstreams.reserve(all.size());
  for (const auto &u : all)
    upstreams.push_back(u.Id);
  it.FormerTable = std::exchange(it.Table, std::move(table));
  it.FormerUpstreams = std::exchange(it.Upstreams, std::move(upstreams));
}

auto BaselineRun::choose(InstanceState &it, std::uint64_t h, PacketKind kind)
    -> UpstreamId {
  if (Kind == Baseline::Modulo)
    return it.Upstreams[h % it.Upstreams.size()];
  if (auto known = it.SeenFlows.find(h); known != it.SeenFlows.end())
    return known->second;
  auto choice = lookUp(it.Upstreams, it.Table, h);
  const auto former = lookUp(it.FormerUpstreams, it.FormerTable, h);
  if (Kind == Baseline::WithoutRelaying && kind != PacketKind::FlowOpen &&
      former != UpstreamId{})
    choice = former;
  return it.SeenFlows[h] = choice;
}

auto BaselineRun::onPacket(const std::string &name, const Configuration &cfg,
                           const FlowKey &k, PacketKind kind) -> void {
  auto &it = Instances[name];
  update(it, cfg);
  if (it.Upstreams.empty())
    return;
  const auto h = hashFlow(k);
  if (kind == PacketKind::FlowOpen) {
    if (!Owners.contains(h))
      Owners[h] = choose(it, h, kind);
    return;
  }
  auto owner = Owners.find(h);
  if (owner != Owners.end() && choose(it, h, kind) != owner->second)
    Broken.insert(h);
}

} // namespace boragebridge::bench
