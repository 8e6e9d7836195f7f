#include "edge/flow_log.h"

#include "edge/edge_events.h"
#include "logging/stream_log.h"

namespace boragebridge {

auto inMilliseconds(Duration d) -> std::string {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

/// How long ago \p at was, or "never".
static auto timeSince(const std::optional<TimePoint> &at, TimePoint now)
    -> std::string {
  return at ? inMilliseconds(now - *at) : "never";
}

auto FlowLog::onOpened(const FlowPacket &p, const EdgeDecision &d,
                       Duration viewAge, TimePoint now) -> void {
  if (!Log.wouldWrite(events::FlowOpened))
    return;
  Log.write(
      events::FlowOpened,
      {{"caller", toString(p.Flow.Caller)},
       {"service", toString(p.Flow.Service)},
       {"copy", std::to_string(p.Acknowledged)},
       {"upstream", d.Upstream->Record.Name},
       {"why", std::string(toString(d.Reason))},
       {"chosen", std::string(toString(d.Choice))},
       {"expected_ms",
        inMilliseconds(Estimates.expectedTime(*d.Upstream, now))},
       {"strikes", std::to_string(Estimates.failures(*d.Upstream))},
       {"missing_ms", timeSince(d.Upstream->MissingSince, now)},
       {"configuration", std::to_string(Directory.configuration().Version)},
       {"view_age_ms", inMilliseconds(viewAge)}});
}

auto FlowLog::onReset(const FlowPacket &p, const EdgeDecision &d,
                      Duration viewAge, TimePoint now) -> void {
  if (!Log.wouldWrite(events::FlowReset))
    return;
  // An opening carries no tag.
  const auto *u = p.Opens ? d.Upstream : Directory.find(p.Tag);
  const auto gone =
      u == nullptr ? GoneReason::None : Directory.goneReason(*u, now);
  const auto progress =
      u == nullptr ? std::nullopt : Estimates.lastProgress(*u);
  Log.write(
      events::FlowReset,
      {{"caller", toString(p.Flow.Caller)},
       {"service", toString(p.Flow.Service)},
       {"why", std::string(toString(d.Reason))},
       {"copy", p.Opens ? std::to_string(p.Acknowledged) : "none"},
       {"upstream", u == nullptr ? "unknown" : u->Record.Name},
       {"gone", std::string(toString(gone))},
       {"missing_ms",
        timeSince(u == nullptr ? std::nullopt : u->MissingSince, now)},
       {"progress_ms", timeSince(progress, now)},
       {"tag", std::to_string(static_cast<std::uint32_t>(p.Tag))},
       {"configuration", std::to_string(Directory.configuration().Version)},
       {"view_age_ms", inMilliseconds(viewAge)}});
}

} // namespace boragebridge
