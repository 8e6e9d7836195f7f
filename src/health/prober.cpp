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
    if (now < t.NextProbe)
      continue;
    t.NextProbe = now + Random.jitter(Interval);
    if (t.Unanswered > 0 && t.Unanswered % UnansweredLimit == 0 &&
        t.LastReport.has_value())
      Unresponsive.push_back(id);
    ++t.Unanswered;
    ids.push_back(id);
  }
  return ids;
}

auto Prober::takeUnresponsive() -> std::vector<UpstreamId> {
  return std::exchange(Unresponsive, {});
}

auto Prober::onReport(UpstreamId id, const UpstreamReport &r)
    -> std::vector<ObservationKind> {
  auto it = Targets.find(id);
  if (it == Targets.end())
    return {};
  auto &t = it->second;
  std::vector<ObservationKind> kinds{ObservationKind::ProbeAnswered};
  if (t.LastReport.has_value() &&
      t.LastReport->IncarnationNumber != r.IncarnationNumber)
    kinds.push_back(ObservationKind::NewIncarnation);
  else if (r.Cold)
    kinds.push_back(ObservationKind::ReportedCold);
  t.Unanswered = 0;
  t.LastReport = r;
  return kinds;
}

auto Prober::hasAnswered(UpstreamId id) const -> bool {
  return lastReport(id) != nullptr;
}

auto Prober::lastReport(UpstreamId id) const -> const UpstreamReport * {
  auto it = Targets.find(id);
  if (it == Targets.end() || !it->second.LastReport.has_value())
    return nullptr;
  return &*it->second.LastReport;
}

} // namespace boragebridge
