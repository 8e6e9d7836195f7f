#include "edge/load/load_control.h"

#include "edge/decay.h"

#include <algorithm>
#include <utility>

namespace boragebridge {

auto LoadControl::valueOf(const DecayingCount &c, TimePoint now) const
    -> double {
  return c.Value * decayFactor(now - c.At, Options.DemandWindow);
}

auto LoadControl::add(DecayingCount &c, TimePoint now) const -> void {
  c = {valueOf(c, now) + 1, now};
}

auto LoadControl::loadOf(ServiceId s) -> ServiceLoad & {
  const auto it = Services.find(raw(s));
  if (it != Services.end())
    return it->second;
  ServiceLoad load;
  load.State = Pressure(Options.PressureThresholds);
  return Services.emplace(raw(s), std::move(load)).first->second;
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
  add(loadOf(u.Record.Service).SentByPriority[r.Priority], now);
}

auto LoadControl::exceedsTarget(const RouteRecord &r, Duration took,
                                double share) -> bool {
  return r.ResponseTimeTarget > Duration::zero() &&
         took > r.ResponseTimeTarget * share;
}

auto LoadControl::onAnswered(const RouteRecord &r, const UpstreamLifetime &u,
                             TimePoint sentAt, TimePoint now, Duration ackDelay)
    -> void {
  const auto took = std::max(now - sentAt - ackDelay, Duration::zero());
  Limits.onAnswered(u, sentAt, took, exceedsTarget(r, took, Options.SlowShare),
                    now);
  auto &load = loadOf(u.Record.Service);
  add(load.Answered, now);
  ++Counts.Answered;
  if (exceedsTarget(r, took)) {
    ++Counts.Late;
    add(load.Unserved, now);
    load.State.onMissed(now);
  } else {
    load.State.onMet(now);
  }
  noteChange(u.Record.Service, load);
}

auto LoadControl::onAnsweredBefore(const RouteRecord &r,
                                   const UpstreamLifetime &u, TimePoint sentAt,
                                   TimePoint now) -> void {
  Limits.onEnded(u, sentAt, now);
  if (exceedsTarget(r, now - sentAt))
    return;
  auto &load = loadOf(u.Record.Service);
  add(load.Answered, now);
  ++Counts.Answered;
  load.State.onMet(now);
  noteChange(u.Record.Service, load);
}

auto LoadControl::onRefused(const UpstreamLifetime &u, TimePoint sentAt,
                            TimePoint now) -> void {
  Limits.onRefused(u, sentAt, now);
  ++Counts.Refused;
  auto &load = loadOf(u.Record.Service);
  add(load.Unserved, now);
  load.State.onMissed(now);
  noteChange(u.Record.Service, load);
}

auto LoadControl::onTurnedAway(const RouteRecord &r, ServiceId s, TimePoint now)
    -> void {
  ++Counts.TurnedAway;
  auto &load = loadOf(s);
  add(load.TurnedAwayByPriority[r.Priority], now);
  load.State.onMissed(now);
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

auto LoadControl::areUpstreamsKeepingUp(ServiceId s, TimePoint now) const
    -> bool {
  const auto *load = find(s);
  return load != nullptr &&
         valueOf(load->Unserved, now) <
             Options.KeepingUpShare * valueOf(load->Answered, now);
}

auto LoadControl::missedShare(ServiceId s) const -> double {
  const auto *load = find(s);
  return load == nullptr ? 0 : load->State.missedShare();
}

auto LoadControl::reservedShare(ServiceId s, unsigned priority,
                                TimePoint now) const -> double {
  const auto *load = find(s);
  if (load == nullptr || !load->State.isOn())
    return 0;
  auto urgent = 0.0;
  for (const auto &[other, sent] : load->SentByPriority)
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
    return RouteRecord::LeastUrgent;
  // A route that asks only now and then is recent for some seconds.
  constexpr double MinRecent = 0.1;
  std::optional<unsigned> least;
  for (const auto *counts :
       {&load->SentByPriority, &load->TurnedAwayByPriority})
    for (const auto &[priority, n] : *counts)
      if (valueOf(n, now) > MinRecent)
        least = std::max(least.value_or(0), priority);
  return least.value_or(RouteRecord::LeastUrgent);
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
