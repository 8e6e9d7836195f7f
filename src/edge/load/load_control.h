/// \file
/// What this instance knows of the load of services and upstreams: whether a
/// service is under pressure, what each upstream takes well, and how much of a
/// service its urgent routes need.
///
/// Learned from the requests that this instance forwards alone; no other
/// instance, and not the store, can make it wrong. Free of I/O; not
/// thread-safe.
#ifndef BORAGEBRIDGE_EDGE_LOAD_LOAD_CONTROL_H
#define BORAGEBRIDGE_EDGE_LOAD_LOAD_CONTROL_H

#include "edge/load/concurrency_limits.h"
#include "edge/load/pressure.h"

#include <map>

namespace boragebridge {

struct LoadControlOptions {
  ConcurrencyLimitsOptions Limits;
  PressureOptions PressureThresholds;
  /// An answer is slow, and lowers the limit, if it takes more than this share
  /// of the target of its route. A caller whose first attempt fails needs time
  /// for a second one.
  double SlowShare = 0.5;
  /// Time in which a request's weight in the demand of routes decays to 1/e.
  Duration DemandWindow = std::chrono::seconds(2);
  /// Upstreams reserved for urgent routes, relative to what their requests
  /// need.
  double ReservedHeadroom = 1.6;
  /// Never more than this share of the upstreams is reserved for urgent routes.
  double MaxReservedShare = 0.5;
  /// Upstreams keep up if the requests that they refused, or answered after the
  /// target, are fewer than this share of the answers.
  double KeepingUpShare = 0.05;
};

/// Requests and openings of a service since the start of the process.
struct LoadCounts {
  std::uint64_t Answered = 0;
  /// Answered requests that took longer than the target of their route.
  std::uint64_t Late = 0;
  /// Requests that an upstream refused.
  std::uint64_t Refused = 0;
  /// Openings that this instance turned away.
  std::uint64_t TurnedAway = 0;
};

class LoadControl {
public:
  explicit LoadControl(LoadControlOptions opt = {})
      : Options(opt), Limits(opt.Limits) {}

  /// A request of a caller of \p r was sent to \p u.
  auto onSent(const RouteRecord &r, const UpstreamLifetime &u, TimePoint now)
      -> void;
  /// \p u answered a request that was sent at \p sentAt. \p ackDelay is the
  /// part of the time since then that the caller may have taken to acknowledge
  /// the answer.
  auto onAnswered(const RouteRecord &r, const UpstreamLifetime &u,
                  TimePoint sentAt, TimePoint now,
                  Duration ackDelay = Duration::zero()) -> void;
  /// \p u refused a request that was sent at \p sentAt.
  auto onRefused(const UpstreamLifetime &u, TimePoint sentAt, TimePoint now)
      -> void;
  /// \p u answered a request that was sent at \p sentAt, at some time before
  /// now.
  auto onAnsweredBefore(const RouteRecord &r, const UpstreamLifetime &u,
                        TimePoint sentAt, TimePoint now) -> void;
  /// A request that was sent at \p sentAt has ended in a way that does not show
  /// whether or when it was answered.
  auto onEnded(const UpstreamLifetime &u, TimePoint sentAt, TimePoint now)
      -> void {
    Limits.onEnded(u, sentAt, now);
  }
  /// A new flow of \p r for \p s was turned away, because no upstream had
  /// room.
  auto onTurnedAway(const RouteRecord &r, ServiceId s, TimePoint now) -> void;
  /// Pressure of \p s does not end soon: it would return if the choices that it
  /// calls for were not made.
  auto holdPressure(ServiceId s, TimePoint now) -> void {
    loadOf(s).State.hold(now);
  }
  /// Call about once per second.
  auto tick(TimePoint now) -> void;

  auto isUnderPressure(ServiceId s) const -> bool;
  /// Whether the upstreams of \p s refused hardly any of the recent requests,
  /// and answered hardly any after its target.
  auto areUpstreamsKeepingUp(ServiceId s, TimePoint now) const -> bool;
  /// Share of the recent requests for \p s that were refused, turned away by
  /// this instance, or answered late.
  auto missedShare(ServiceId s) const -> double;
  /// Share of the upstreams of \p s that routes of \p priority leave to more
  /// urgent ones; 0 without pressure.
  auto reservedShare(ServiceId s, unsigned priority, TimePoint now) const
      -> double;
  /// The priority of the least urgent route whose callers recently asked for
  /// \p s; RouteRecord::LeastUrgent if there were none.
  auto leastUrgentPriority(ServiceId s, TimePoint now) const -> unsigned;
  auto limits() const -> const ConcurrencyLimits & { return Limits; }
  /// Sums over all services.
  auto counts() const -> const LoadCounts & { return Counts; }
  /// The services whose pressure began or ended since the last call.
  auto takeChanges() -> std::vector<ServiceId>;
  /// Number of services under pressure.
  auto pressedServices() const -> std::size_t;

private:
  /// An exponentially decaying number of requests.
  struct DecayingCount {
    double Value = 0;
    TimePoint At;
  };
  struct ServiceLoad {
    Pressure State;
    DecayingCount Answered;
    /// Refused, or answered after the target of the route.
    DecayingCount Unserved;
    /// Requests sent, by priority.
    std::map<unsigned, DecayingCount> SentByPriority;
    /// Flows turned away, by priority.
    std::map<unsigned, DecayingCount> TurnedAwayByPriority;
    bool WasUnderPressure = false;
  };

  /// Whether \p took is more than \p share of the target of \p r.
  static auto exceedsTarget(const RouteRecord &r, Duration took,
                            double share = 1) -> bool;
  auto valueOf(const DecayingCount &c, TimePoint now) const -> double;
  auto add(DecayingCount &c, TimePoint now) const -> void;
  auto loadOf(ServiceId s) -> ServiceLoad &;
  auto find(ServiceId s) const -> const ServiceLoad *;
  /// Records a change of the pressure of \p s for takeChanges().
  auto noteChange(ServiceId s, ServiceLoad &load) -> void;

  LoadControlOptions Options;
  ConcurrencyLimits Limits;
  std::unordered_map<std::uint64_t, ServiceLoad> Services;
  std::vector<ServiceId> Changes;
  LoadCounts Counts;
};

} // namespace boragebridge

#endif
