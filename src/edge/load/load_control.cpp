#include "edge/load/load_control.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace boragebridge {

using Seconds = std::chrono::duration<double>;

auto LoadControl::valueOf(const DecayingCount &c, TimePoint now) const
    -> double {
  return c.Value *
         std::exp(-Seconds(now - c.At) / Seconds(Options.DemandWindow));
}

auto LoadControl::add(DecayingCount &c, TimePoint now) const -> void {
  c = {valueOf(c, now) + 1, now};
}

auto LoadControl::loadOf(ServiceId s) -> ServiceLoad & {
  const auto it = Services.find(raw(s));
  if (it != Services.end())
    return it->second;
  return Services
      .emplace(raw(s), ServiceLoad{Pressure(Options.PressureLimits), {}, {}})
      .first->second;
}

auto LoadControl::find(ServiceId s) const -> const ServiceLoad * {
  const auto it = Services.find(raw(s));
  return it == Services.end() ? nullptr : &it->second;
}

auto LoadControl::noteChange(ServiceId s, ServiceLoad &load) -> void {
  if (std::exchange(load.WasUnderPressure, load.State.isOn()) !=
      load.State.isOn())
    Changes.push_back(s);
}

auto LoadControl::onSent(const RouteRecord &r, const UpstreamLifetime &u,
                         TimePoint now) -> void {
  Limits.onSent(u, now);
  add(loadOf(u.Record.Service).Sent[r.Priority], now);
}

auto LoadControl::onAnswered(const RouteRecord &r, const UpstreamLifetime &u,
                             TimePoint sentAt, TimePoint now) -> void {
  const auto isLate = r.ResponseTimeTarget > Duration::zero() &&
                      now - sentAt > r.ResponseTimeTarget * Options.LateShare;
  Limits.onAnswered(u, sentAt, isLate, now);
  auto &load = loadOf(u.Record.Service);
  add(load.Answered, now);
  ++Counts.Answered;
  if (isLate) {
    ++Counts.Late;
    load.State.onFailed(now);
  } else {
    load.State.onServed(now);
  }
  noteChange(u.Record.Service, load);
}

auto LoadControl::onRefused(const UpstreamLifetime &u, TimePoint sentAt,
                            TimePoint now) -> void {
  Limits.onRefused(u, sentAt, now);
  ++Counts.Refused;
  auto &load = loadOf(u.Record.Service);
  load.State.onFailed(now);
  noteChange(u.Record.Service, load);
}

auto LoadControl::onTurnedAway(ServiceId s, TimePoint now) -> void {
  ++Counts.TurnedAway;
  loadOf(s).State.onFailed(now);
}

auto LoadControl::tick(TimePoint now) -> void {
  for (auto &[id, load] : Services) {
    load.State.tick(now);
    noteChange(ServiceId{id}, load);
  }
}

auto LoadControl::isUnderPressure(ServiceId s) const -> bool {
  const auto *load = find(s);
  return load != nullptr && load->State.isOn();
}

auto LoadControl::failedShare(ServiceId s) const -> double {
  const auto *load = find(s);
  return load == nullptr ? 0 : load->State.failedShare();
}

auto LoadControl::reservedShare(ServiceId s, unsigned priority,
                                TimePoint now) const -> double {
  const auto *load = find(s);
  if (load == nullptr || !load->State.isOn())
    return 0;
  auto urgent = 0.0;
  for (const auto &[other, sent] : load->Sent)
    if (other < priority)
      urgent += valueOf(sent, now);
  // Under pressure the upstreams answer as much as they can.
  const auto capacity = std::max(1.0, valueOf(load->Answered, now));
  return std::min(Options.MaxReservedShare,
                  Options.ReservedHeadroom * urgent / capacity);
}

auto LoadControl::leastUrgentPriority(ServiceId s, TimePoint now) const
    -> unsigned {
  const auto *load = find(s);
  if (load == nullptr)
    return 0;
  auto least = 0U;
  for (const auto &[priority, sent] : load->Sent)
    if (valueOf(sent, now) > 1)
      least = priority;
  return least;
}

auto LoadControl::takeChanges() -> std::vector<ServiceId> {
  return std::exchange(Changes, {});
}

auto LoadControl::pressedServices() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Services.begin(), Services.end(),
                    [](const auto &it) { return it.second.State.isOn(); }));
}

} // namespace boragebridge
