/// \file
/// Asks the upstreams of this instance's share for reports and turns answers
/// and silence into signs.
#ifndef BORAGEBRIDGE_HEALTH_PROBER_H
#define BORAGEBRIDGE_HEALTH_PROBER_H

#include "boragebridge/random.h"
#include "health/health_assessor.h"
#include "health/upstream_observer.h"

#include <optional>
#include <unordered_map>
#include <utility>

namespace boragebridge {

/// Schedule and memory of the probes. Not thread-safe.
class Prober {
public:
  /// Time between two probes of one upstream.
  static constexpr Duration Interval = std::chrono::milliseconds(500);
  /// Unanswered probes in a row that count as silence.
  static constexpr std::uint32_t UnansweredLimit = 3;
  /// Upstreams looked at, and at most probed, in one call of due().
  static constexpr std::size_t ScanLimit = 64;

  explicit Prober(RandomSource &random) : Random(random) {}

  /// Probes \p ids from now on; what is known of those kept is kept.
  auto setTargets(const std::vector<UpstreamId> &ids, TimePoint now) -> void;
  /// The upstreams to probe at \p now.
  auto due(TimePoint now) -> std::vector<UpstreamId>;
  /// The upstreams whose silence is to be told, each once a few probes.
  auto takeUnresponsive() -> std::vector<UpstreamId>;
  /// Takes the report of \p id; the signs that it is evidence of.
  auto onReport(UpstreamId id, const UpstreamReport &r)
      -> std::vector<ObservationKind>;
  /// True when \p id is a target and has answered a probe at least once.
  auto hasAnswered(UpstreamId id) const -> bool;
  /// The newest report of \p id; null when there is none.
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
