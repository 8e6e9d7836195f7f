/// \file
/// Derives the fitness of one upstream from observations of it.
///
/// Observations have an order of precedence: an answer or a refusal on the
/// packet path outranks a timeout on the packet path, which outranks probes and
/// the upstream's own reports. A report that the packet path contradicts is
/// ignored.
#ifndef BORAGEBRIDGE_HEALTH_HEALTH_ASSESSOR_H
#define BORAGEBRIDGE_HEALTH_HEALTH_ASSESSOR_H

#include "boragebridge/blackboard.h"

namespace boragebridge {

/// The health of one upstream, as agreed in the fleet.
struct HealthStatus {
  /// Incremented with each change by the instance that assesses the upstream.
  std::uint32_t Version = 0;
  UpstreamFitness Fitness = UpstreamFitness::Cold;
  /// Share of full load that the upstream may get, in whole percent.
  std::uint8_t RampPercent = 0;
  /// Mean latency of answers when the upstream is warm; zero if not measured.
  std::chrono::microseconds Latency{};
  /// Whether the upstream is unfit because of timeouts on the packet path and
  /// not because of unanswered probes.
  bool UnfitByTimeouts = false;
  auto operator==(const HealthStatus &) const -> bool = default;
};

/// Returns true if \p a supersedes \p b: the higher version wins; at equal
/// versions the more cautious fitness and then the lower ramp win.
auto replaces(const HealthStatus &a, const HealthStatus &b) -> bool;

/// Returns true if the fitness changed to Cold or Unfit, so that the upstream
/// may get less work.
auto isWorse(UpstreamFitness after, UpstreamFitness before) -> bool;

/// The kinds of observation. The values are part of the peer protocol.
enum class ObservationKind : std::uint8_t {
  /// Count answers with the mean latency Latency. A zero latency stands for
  /// packets of flows, whose latency is not measured.
  Answers = 1,
  ColdRefusals = 2,   ///< The upstream refused work as cold.
  Unavailable = 3,    ///< A host that has crashed or drains refused work.
  Shed = 4,           ///< The upstream refused work to shed load.
  Timeouts = 5,       ///< Work got no answer before its deadline.
  NewIncarnation = 6, ///< A report shows that the upstream was restarted.
  ReportedCold = 7,   ///< The upstream reports that it is cold.
  /// The upstream, which has answered probes before, no longer answers them.
  ProbesUnanswered = 8,
  ProbeAnswered = 9, ///< The upstream answered a probe.
};

/// The last valid value of ObservationKind.
inline constexpr ObservationKind LastObservationKind =
    ObservationKind::ProbeAnswered;

/// An observation of one upstream by one instance.
struct Observation {
  ObservationKind Kind = ObservationKind::Answers;
  std::uint16_t Count = 1;
  /// Mean latency; set for Answers only.
  std::chrono::microseconds Latency{};
};

/// Assesses the health of one upstream. Only the instance that owns the
/// upstream applies observations; the others adopt its status. Not thread-safe.
class HealthAssessor {
public:
  /// Number of good answers in a row after which a cold upstream becomes
  /// Warming, and Ready.
  static constexpr std::uint32_t AnswersToWarming = 5;
  static constexpr std::uint32_t AnswersToReady = 32;
  /// Highest rates at which answers raise the ramp and at which shedding lowers
  /// it, in percent of full load per second.
  static constexpr double RampRisePerSecond = 25;
  static constexpr double ShedFallPerSecond = 20;
  /// Shedding does not lower the ramp below this percentage of full load.
  static constexpr double ShedFloorPercent = 10;
  /// Highest relative change of the measured latency per second.
  static constexpr double MaxLatencyChangePerSecond = 0.1;
  /// Number of timeouts without an answer between them that make an upstream
  /// unfit.
  static constexpr std::uint32_t TimeoutsToUnfit = 3;
  /// For this time after an answer, timeouts, unanswered probes and reports
  /// that the upstream is cold are ignored.
  static constexpr Duration RecentAnswerTime = std::chrono::seconds(2);
  /// An upstream is considered cold if its mean latency over SlowAnswers
  /// answers exceeds SlowFactor times its long-term latency.
  static constexpr double SlowFactor = 3;
  static constexpr std::uint32_t SlowAnswers = 10;
  /// Number of answers before the measured latency is published.
  static constexpr std::uint32_t AnswersToMeasure = 100;
  /// Time before the next trial of an upstream that refused work as cold or has
  /// crashed. The time doubles with each refusal, up to MaxTrialBackoff, until
  /// the upstream answers.
  static constexpr Duration InitialTrialBackoff =
      std::chrono::milliseconds(250);
  static constexpr Duration MaxTrialBackoff = std::chrono::seconds(8);
  /// Time before one more trial of an unfit upstream that has never answered a
  /// probe. Only a trial can show that such an upstream has recovered.
  static constexpr Duration UnprobedTrialDelay = std::chrono::seconds(30);

  /// Applies \p o at time \p now. Returns true if the status changed.
  auto apply(const Observation &o, TimePoint now) -> bool;
  /// Replaces the status by \p other, which came from another instance.
  auto adopt(const HealthStatus &other, TimePoint now) -> void;
  /// Resets the upstream to cold, with a version above every earlier one.
  auto reset(TimePoint now) -> void;

  /// Turns an unfit upstream that answers no probes cold again after
  /// UnprobedTrialDelay, so that it gets one more trial. Returns true if the
  /// status changed.
  auto retryUnprobed(TimePoint now) -> bool;

  auto status() const -> const HealthStatus & { return Current; }
  /// Returns true while a cold upstream waits for its next trial.
  auto isBackingOff(TimePoint now) const -> bool { return now < NextTrial; }

private:
  auto onAnswers(const Observation &o, TimePoint now) -> void;
  auto onColdObservation(const Observation &o, TimePoint now) -> void;
  auto onShed(const Observation &o, TimePoint now) -> void;
  auto onTimeouts(const Observation &o, TimePoint now) -> void;
  auto onReportedCold(const Observation &o, TimePoint now) -> void;
  auto onProbesUnanswered(const Observation &o, TimePoint now) -> void;
  auto onProbeAnswered(const Observation &o, TimePoint now) -> void;

  auto answeredRecently(TimePoint now) const -> bool;
  auto markCold(TimePoint now) -> void;
  auto startTrialBackoff(TimePoint now) -> void;
  auto markUnfit(TimePoint now, bool byTimeouts) -> void;
  auto raiseRamp(std::uint32_t answers, TimePoint now) -> void;
  auto updateLatency(const Observation &o, TimePoint now) -> void;
  auto publishLatency() -> void;

  HealthStatus Current;
  double ExactRampPercent = 0;
  double LongTermLatency = 0;
  double ShortTermLatency = 0;
  std::uint32_t LongTermSamples = 0;
  std::uint32_t ShortTermSamples = 0;
  std::uint32_t GoodAnswers = 0;
  std::uint32_t ConsecutiveTimeouts = 0;
  bool HasAnswered = false;
  TimePoint LastAnswer;
  TimePoint LastRamp;
  TimePoint LastLatency;
  TimePoint UnfitSince;
  TimePoint NextTrial;
  Duration TrialBackoff = InitialTrialBackoff;
};

} // namespace boragebridge

#endif
