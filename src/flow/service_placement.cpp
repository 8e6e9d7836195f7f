#include "flow/service_placement.h"

#include <algorithm>

namespace boragebridge {

auto ServicePlacement::find(const GenerationId &id) const -> std::size_t {
  auto it = std::find_if(Chain.begin(), Chain.end(), [&](const ChainEntry &e) {
    return e.Content.Id == id;
  });
  return static_cast<std::size_t>(it - Chain.begin());
}

auto ServicePlacement::newest() const -> const Generation * {
  return Chain.empty() ? nullptr : &Chain.back().Content;
}

auto ServicePlacement::upstreamAt(const ChainEntry &e, std::uint32_t slot) const
    -> UpstreamId {
  return e.Table.empty() ? UpstreamId{} : e.Content.Upstreams[e.Table[slot]].Id;
}

auto ServicePlacement::add(const Generation &g) -> bool {
  if (find(g.Id) < Chain.size())
    return false;
  if (!Chain.empty() && (g.Id < Chain.front().Content.Id ||
                         g.Slots != Chain.front().Content.Slots))
    return false;
  auto at = std::find_if(Chain.begin(), Chain.end(), [&](const ChainEntry &e) {
    return g.Id < e.Content.Id;
  });
  Chain.insert(at, {g, buildSlotTable(Service, g.Upstreams, g.Slots), {}});
  if (Chain.size() > MaxChain)
    Chain.erase(Chain.begin() + (Chain.front().Content.Id == ActiveId ? 1 : 0));
  if (Chain.size() > 1 && SettledFrom.empty())
    SettledFrom.resize(g.Slots);
  rebuild();
  return true;
}

auto ServicePlacement::activate(const GenerationId &id, TimePoint now) -> bool {
  const auto i = find(id);
  if (i == Chain.size() || id <= ActiveId)
    return false;
  ActiveId = id;
  Chain[i].ActiveSince = now;
  Chain[i].WasActive = true;
  rebuild();
  trim();
  return true;
}

auto ServicePlacement::raiseSettledFrom(std::uint32_t slot,
                                        const GenerationId &id) -> bool {
  if (slot >= SettledFrom.size() || SettledFrom[slot] >= id)
    return false;
  SettledFrom[slot] = id;
  return true;
}

auto ServicePlacement::settle(std::span<const std::uint16_t> slots,
                              const GenerationId &id) -> void {
  bool changed = false;
  for (auto slot : slots)
    changed |= raiseSettledFrom(slot, id);
  if (!changed)
    return;
  rebuild();
  trim();
}

auto ServicePlacement::mergeSettledFrom(const PlacementState &s) -> bool {
  bool changed = false;
  // When both chains contain the first generation of the peer, a generation
  // that is missing at the peer has been dropped there because all its slots
  // were settled.
  const auto &front = s.Chain.front().Id;
  const auto shared = find(front) < Chain.size();
  for (std::uint32_t slot = 0; slot < SettledFrom.size(); ++slot) {
    const auto position =
        slot < s.SettledFrom.size() ? s.SettledFrom[slot] : 0U;
    if (position != 0 && position <= s.Chain.size())
      changed |= raiseSettledFrom(slot, s.Chain[position - 1].Id);
    else if (shared)
      changed |= raiseSettledFrom(slot, front);
  }
  return changed;
}

auto ServicePlacement::merge(const PlacementState &s, TimePoint now) -> bool {
  if (s.Chain.empty())
    return false;
  const auto known = !Chain.empty() && find(s.Chain.front().Id) < Chain.size();
  bool changed = false;
  for (const auto &g : s.Chain)
    changed |= add(g);
  if (!s.Active.isNone())
    changed |= activate(s.Active, now);
  if ((known || changed) && mergeSettledFrom(s)) {
    changed = true;
    rebuild();
    trim();
  }
  return changed;
}

auto ServicePlacement::state() const -> PlacementState {
  PlacementState s{Service, {}, ActiveId, {}};
  for (const auto &e : Chain)
    s.Chain.push_back(e.Content);
  const auto anySettled =
      std::any_of(SettledFrom.begin(), SettledFrom.end(),
                  [](const GenerationId &id) { return !id.isNone(); });
  if (!anySettled)
    return s;
  for (const auto &id : SettledFrom) {
    const auto i = find(id);
    s.SettledFrom.push_back(i < Chain.size() ? static_cast<std::uint8_t>(i + 1)
                                             : 0);
  }
  return s;
}

auto ServicePlacement::stateHash() const -> std::uint64_t {
  auto add = [](std::uint64_t h, const GenerationId &id) {
    h = hashPair(h, raw(id.Config));
    h = hashPair(h, id.Counter);
    return hashPair(h, raw(id.Proposer));
  };
  auto h = add(raw(Service), ActiveId);
  if (!Chain.empty())
    h = add(h, Chain.back().Content.Id);
  return hashPair(h, Unsettled.size());
}

auto ServicePlacement::rebuild() -> void {
  ++Version;
  const auto slots = Chain.front().Content.Slots;
  Choices.assign(slots, 0);
  Unsettled.clear();
  ActiveUpstreams.clear();
  const auto active = find(ActiveId);
  if (active == Chain.size())
    return;
  const auto &activeEntry = Chain[active];
  for (const auto &it : activeEntry.Content.Upstreams)
    ActiveUpstreams.push_back(it.Id);
  if (ActiveUpstreams.empty())
    ActiveUpstreams.push_back(UpstreamId{});
  for (std::uint32_t slot = 0; slot < slots; ++slot) {
    Choices[slot] = activeEntry.Table.empty() ? 0 : activeEntry.Table[slot];
    const auto upstream = upstreamAt(activeEntry, slot);
    const auto from = SettledFrom.empty() ? GenerationId{} : SettledFrom[slot];
    const auto same = [&](const ChainEntry &e) {
      return e.Content.Id < from || upstreamAt(e, slot) == upstream;
    };
    if (std::all_of(Chain.begin(), Chain.end(), same))
      continue;
    Choices[slot] |= UnsettledBit;
    Unsettled.push_back(static_cast<std::uint16_t>(slot));
  }
}

auto ServicePlacement::trim() -> void {
  if (!Unsettled.empty() || !isNewestActive() || Chain.size() == 1)
    return;
  Chain.erase(Chain.begin(), Chain.end() - 1);
  SettledFrom.clear();
}

auto ServicePlacement::activeSince() const -> TimePoint {
  const auto i = find(ActiveId);
  return i < Chain.size() ? Chain[i].ActiveSince : TimePoint{};
}

auto ServicePlacement::isNewestActive() const -> bool {
  return !Chain.empty() && Chain.back().Content.Id == ActiveId;
}

auto ServicePlacement::candidates(std::uint32_t slot, TimePoint now,
                                  Duration idleTimeout) const
    -> std::vector<UpstreamId> {
  std::vector<const ChainEntry *> used;
  const auto from = SettledFrom.empty() ? GenerationId{} : SettledFrom[slot];
  for (const auto &e : Chain)
    if (e.Content.Id >= from && e.Content.Id <= ActiveId)
      used.push_back(&e);
  std::vector<UpstreamId> all;
  auto append = [&](UpstreamId id) {
    if (id != UpstreamId{} &&
        std::find(all.begin(), all.end(), id) == all.end())
      all.push_back(id);
  };
  // Once a generation has been active for the idle time-out, all older flows
  // that are open have been recorded, so that an unknown flow was opened under
  // this generation. Before that, new flows are the recorded ones and an
  // unknown flow is an older one.
  std::size_t likely = 0;
  for (std::size_t i = 1; i < used.size(); ++i) {
    const auto until = i + 1 < used.size() ? used[i + 1]->ActiveSince : now;
    if (used[i]->WasActive && until - used[i]->ActiveSince >= idleTimeout)
      likely = i;
  }
  if (!used.empty())
    append(upstreamAt(*used[likely], slot));
  for (auto it = used.rbegin(); it != used.rend(); ++it)
    append(upstreamAt(**it, slot));
  return all;
}

} // namespace boragebridge
