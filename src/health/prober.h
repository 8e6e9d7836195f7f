/// \file
/// Probes the upstreams that are assigned to this instance, and derives
/// observations from their reports and from unanswered probes.
#ifndef BORAGEBRIDGE_HEALTH_PROBER_H
#define BORAGEBRIDGE_HEALTH_PROBER_H

#include "boragebridge/random.h"
#include "health/health_assessor.h"
#include "health/upstream_observer.h"

#include <optional>
#include <unordered_map>
#include <utility>

namespace boragebridge {

/// Schedules the probes and tracks their answers. Not thread-safe.
class Prober {
public:
  /// Time between two probes of one upstream.
  static constexpr Duration Interval = std::chrono::milliseconds(500);
  /// Number of unanswered probes in a row that make an upstream unresponsive.
  static constexpr std::uint32_t UnansweredLimit = 3;
  /// Number of upstreams examined, and at most probed, in one call of due().
  static constexpr std::size_t ScanLimit = 64;

  explicit Prober(RandomSource &random) : Random(random) {}

  /// Sets the upstreams to probe. Upstreams that were targets before keep their
  /// state.
  auto setTargets(const std::vector<UpstreamId> &ids, TimePoint now) -> void;
  /// Returns the upstreams to probe at \p now.
  auto due(TimePoint now) -> std::vector<UpstreamId>;
  /// Returns the upstreams that are to be reported as unresponsive, and clears
  /// the list. Only an upstream that has answered a probe before is listed, and
  /// again after each further UnansweredLimit unanswered probes.
  auto takeUnresponsive() -> std::vector<UpstreamId>;
  /// Records report \p r of \p id. Returns the kinds of observation that follow
  /// from the report.
  auto onReport(UpstreamId id, const UpstreamReport &r)
      -> std::vector<ObservationKind>;
  /// Returns true if \p id is a target and has answered a probe at least once.
  auto hasAnswered(UpstreamId id) const -> bool;
  /// Returns the latest report of \p id, or null if there is none.
  auto lastReport(UpstreamId id) const -> const UpstreamReport *;

private:
  struct Target {
    TimePoint NextProbe;
    std::uint32_t Unanswered = 0;
    std::optional<UpstreamReport> LastReport;
  };

  RandomSource &Random;
  std::vector<UpstreamId> Order;
  std::unordered_map<UpstreamId, Target> Targets;
  std::vector<UpstreamId> Unresponsive;
  std::size_t Cursor = 0;
};

} // namespace boragebridge

#endif
