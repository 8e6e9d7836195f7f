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
  PressureOptions PressureLimits;
  /// An answer is late if it takes more than this share of the target of its
  /// route. A caller whose first attempt fails needs time for a second one.
  double LateShare = 0.5;
  /// Requests count e^-1 after this time when the share of urgent routes is
  /// computed.
  Duration DemandWindow = std::chrono::seconds(2);
  /// Upstreams kept for urgent routes, relative to what their requests need.
  double ReservedHeadroom = 1.3;
  /// Never more than this share of the upstreams is kept for urgent routes.
  double MaxReservedShare = 0.5;
};

/// Requests and openings of a service since the start of the process.
struct LoadCounts {
  std::uint64_t Answered = 0;
  /// Answered requests that were late.
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
  /// \p u answered a request that was sent at \p sentAt.
  auto onAnswered(const RouteRecord &r, const UpstreamLifetime &u,
                  TimePoint sentAt, TimePoint now) -> void;
  /// \p u refused a request that was sent at \p sentAt.
  auto onRefused(const UpstreamLifetime &u, TimePoint sentAt, TimePoint now)
      -> void;
  /// A request that was sent at \p sentAt has ended in a way that does not show
  /// when it was answered.
  auto onEnded(const UpstreamLifetime &u, TimePoint sentAt, TimePoint now)
      -> void {
    Limits.onEnded(u, sentAt, now);
  }
  /// A new flow for \p s was turned away, because no upstream had room.
  auto onTurnedAway(ServiceId s, TimePoint now) -> void;
  /// Call about once per second.
  auto tick(TimePoint now) -> void;

  auto isUnderPressure(ServiceId s) const -> bool;
  /// Share of the recent requests for \p s that were refused or late.
  auto failedShare(ServiceId s) const -> double;
  /// Share of the upstreams of \p s that routes of \p priority leave to more
  /// urgent ones; 0 without pressure.
  auto reservedShare(ServiceId s, unsigned priority, TimePoint now) const
      -> double;
  /// The priority of the least urgent route that had recent requests for \p s;
  /// 0 if there were none.
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
    /// Requests sent, by priority.
    std::map<unsigned, DecayingCount> Sent;
    bool WasUnderPressure = false;
  };

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
