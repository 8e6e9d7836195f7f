#include "flow/stalled_flow_detector.h"

namespace boragebridge {

auto StalledFlowDetector::onSent(FlowHash h, const Endpoint &to, TimePoint now)
    -> bool {
  auto &e = Entries[raw(h) % TableSize];
  if (e.Flow != h || e.To != to) {
    const auto isFree = e.Packets == 0 || now - e.Last >= Options.StalledTime;
    if (isFree)
      e = {h, to, 1, now, now};
    return false;
  }
  if (e.Packets == 0)
    e.First = now;
  ++e.Packets;
  e.Last = now;
  if (e.Packets < Options.StalledPackets || now - e.First < Options.StalledTime)
    return false;
  auto it = LastAnswers.find(to);
  const auto othersAnswered =
      it != LastAnswers.end() && now - it->second < Options.StalledTime;
  if (othersAnswered)
    e = {};
  return othersAnswered;
}

auto StalledFlowDetector::onAnswer(FlowHash h, const Endpoint &from,
                                   TimePoint now) -> void {
  constexpr std::size_t UpstreamLimit = 262144;
  auto it = LastAnswers.find(from);
  if (it != LastAnswers.end())
    it->second = now;
  else if (LastAnswers.size() < UpstreamLimit)
    LastAnswers.emplace(from, now);
  auto &e = Entries[raw(h) % TableSize];
  if (e.Flow == h)
    e.Packets = 0;
}

} // namespace boragebridge
