#include "health/prober.h"

#include <algorithm>

namespace boragebridge {

auto Prober::setTargets(const std::vector<UpstreamId> &ids, TimePoint now)
    -> void {
  std::unordered_map<UpstreamId, Target> kept;
  for (auto id : ids) {
    auto it = Targets.find(id);
    if (it != Targets.end())
      kept.emplace(id, it->second);
    else
      kept.emplace(id, Target{now + Random.jitter(Interval) / 2, 0, {}});
  }
  Targets = std::move(kept);
  Order = ids;
  Cursor = 0;
}

auto Prober::due(TimePoint now) -> std::vector<UpstreamId> {
  std::vector<UpstreamId> ids;
  const auto n = std::min(ScanLimit, Order.size());
  for (std::size_t i = 0; i < n; ++i) {
    const auto id = Order[Cursor];
    Cursor = (Cursor + 1) % Order.size();
    auto &t = Targets.at(id);
    if (now < t.Next)
      continue;
    t.Next = now + Random.jitter(Interval);
    if (t.Misses > 0 && t.Misses % MissesToSilence == 0 && t.Last.has_value())
      Silent.push_back(id);
    ++t.Misses;
    ids.push_back(id);
  }
  return ids;
}

auto Prober::takeSilent() -> std::vector<UpstreamId> {
  return std::exchange(Silent, {});
}

auto Prober::onReport(UpstreamId id, const UpstreamReport &r)
    -> std::vector<Sign> {
  auto it = Targets.find(id);
  if (it == Targets.end())
    return {};
  auto &t = it->second;
  std::vector<Sign> signs{Sign::ProbeAnswered};
  if (t.Last.has_value() && t.Last->Number != r.Number)
    signs.push_back(Sign::NewIncarnation);
  else if (r.Cold)
    signs.push_back(Sign::ReportedCold);
  t.Misses = 0;
  t.Last = r;
  return signs;
}

auto Prober::hasAnswered(UpstreamId id) const -> bool {
  return lastReport(id) != nullptr;
}

auto Prober::lastReport(UpstreamId id) const -> const UpstreamReport * {
  auto it = Targets.find(id);
  if (it == Targets.end() || !it->second.Last.has_value())
    return nullptr;
  return &*it->second.Last;
}

} // namespace boragebridge
