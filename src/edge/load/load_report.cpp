#include "edge/load/load_report.h"

#include "edge/edge_events.h"

#include <array>
#include <cmath>

namespace boragebridge {

static auto inPercent(double share) -> std::string {
  return std::to_string(std::lround(share * 100));
}

/// \p n with one decimal place.
static auto withOneDecimal(double n) -> std::string {
  const auto tenths = std::lround(n * 10);
  return std::to_string(tenths / 10) + '.' + std::to_string(tenths % 10);
}

auto toString(const LoadParts &p) -> std::string {
  struct Part {
    bool IsUsed;
    std::string_view Name;
  };
  std::string out;
  for (const auto &it :
       std::array{Part{p.Limits, "limits"}, Part{p.Admission, "admission"},
                  Part{p.Overflow, "overflow"}})
    if (it.IsUsed)
      out += (out.empty() ? "" : ",") + std::string(it.Name);
  return out.empty() ? "none" : out;
}

auto setLoadMetrics(MetricRegistry &out, const LoadControl &load,
                    const LoadParts &parts) -> void {
  const auto &n = load.counts();
  out.setTotal("edge_requests_answered_total",
               "Requests that upstreams answered", n.Answered);
  out.setTotal("edge_requests_late_total",
               "Answered requests that took longer than their route's target",
               n.Late);
  out.setTotal("edge_requests_refused_total", "Requests that upstreams refused",
               n.Refused);
  out.setTotal("edge_openings_turned_away_total",
               "New flows turned away because no upstream had room",
               n.TurnedAway);
  out.gauge("edge_pressed_services", "Services under pressure")
      .set(static_cast<double>(load.pressedServices()));
  const auto setPart = [&out](const std::string &name, bool isUsed) {
    out.gauge("edge_load_" + name + "_used", "Whether the part is in use")
        .set(isUsed ? 1 : 0);
  };
  setPart("limits", parts.Limits);
  setPart("admission", parts.Admission);
  setPart("overflow", parts.Overflow);
}

auto logPressureChanges(EventLog &log, LoadControl &load, TimePoint now)
    -> void {
  for (const auto it : load.takeChanges()) {
    const auto least = load.leastUrgentPriority(it, now);
    log.write(
        events::PressureChanged,
        {{"service_id", std::to_string(raw(it))},
         {"pressure", load.isUnderPressure(it) ? "on" : "off"},
         {"missed_percent", inPercent(load.missedShare(it))},
         {"reserved_percent", inPercent(load.reservedShare(it, least, now))}});
  }
}

auto logTurnedAway(EventLog &log, const FlowPacket &p,
                   const LoadAwarePolicy &policy, Duration viewAge) -> void {
  const auto &why = policy.lastTurnedAway();
  const auto viewAgeMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(viewAge).count();
  log.write(events::OpeningTurnedAway,
            {{"caller", toString(p.Flow.Caller)},
             {"service", toString(p.Flow.Service)},
             {"priority", std::to_string(why.Priority)},
             {"least_loaded", why.LeastLoaded},
             {"in_progress", withOneDecimal(why.InProgress)},
             {"limit", withOneDecimal(why.Limit)},
             {"missed_percent", inPercent(why.MissedShare)},
             {"reserved_percent", inPercent(why.ReservedShare)},
             {"view_age_ms", std::to_string(viewAgeMs)}});
}

} // namespace boragebridge
