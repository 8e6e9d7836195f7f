#include "flow_baselines.h"

#include <algorithm>
#include <utility>

namespace boragebridge::bench {

static constexpr std::uint32_t Slots = 1024;

static auto lookUp(const std::vector<UpstreamId> &upstreams,
                   const std::vector<UpstreamPosition> &table, std::uint64_t h)
    -> UpstreamId {
  return table.empty() ? UpstreamId{} : upstreams[table[h % Slots]];
}

auto BaselineRun::update(InstanceState &state, const Configuration &cfg)
    -> void {
  if (state.LastRevision == cfg.RevisionNumber)
    return;
  state.LastRevision = cfg.RevisionNumber;
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
  state.PreviousTable = std::exchange(state.Table, std::move(table));
  state.PreviousUpstreams =
      std::exchange(state.Upstreams, std::move(upstreams));
}

auto BaselineRun::choose(InstanceState &state, std::uint64_t h, PacketKind kind)
    -> UpstreamId {
  if (Method == BaselineMethod::Modulo)
    return state.Upstreams[h % state.Upstreams.size()];
  if (auto tracked = state.TrackedFlows.find(h);
      tracked != state.TrackedFlows.end())
    return tracked->second;
  auto choice = lookUp(state.Upstreams, state.Table, h);
  const auto previous = lookUp(state.PreviousUpstreams, state.PreviousTable, h);
  if (Method == BaselineMethod::WithoutRelaying &&
      kind != PacketKind::FlowOpen && previous != UpstreamId{})
    choice = previous;
  return state.TrackedFlows[h] = choice;
}

auto BaselineRun::onPacket(const std::string &name, const Configuration &cfg,
                           const FlowKey &k, PacketKind kind) -> void {
  auto &state = Instances[name];
  update(state, cfg);
  if (state.Upstreams.empty())
    return;
  const auto h = hashFlow(k);
  if (kind == PacketKind::FlowOpen) {
    if (!FlowUpstreams.contains(h))
      FlowUpstreams[h] = choose(state, h, kind);
    return;
  }
  auto opened = FlowUpstreams.find(h);
  if (opened != FlowUpstreams.end() && choose(state, h, kind) != opened->second)
    BrokenFlows.insert(h);
}

} // namespace boragebridge::bench
