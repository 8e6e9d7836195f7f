/// \file
/// How the fitness of one upstream follows from what is seen of it.
///
/// The order of trust: an answer or refusal seen on the packet path, then the
/// silence of the packet path, then probes and reports. A report that the
/// packet path contradicts is ignored.
#ifndef BORAGEBRIDGE_HEALTH_HEALTH_ASSESSOR_H
#define BORAGEBRIDGE_HEALTH_HEALTH_ASSESSOR_H

#include "boragebridge/blackboard.h"

namespace boragebridge {

/// The fleet's agreed opinion on one upstream.
struct HealthStatus {
  /// Raised with each change by the instance that assesses the upstream.
  std::uint32_t Version = 0;
  UpstreamFitness Fitness = UpstreamFitness::Cold;
  /// Share of full load, in whole percent.
  std::uint8_t RampPercent = 0;
  /// Mean time of an answer when warm; zero: not measured.
  std::chrono::microseconds Latency{};
  /// Unfit, and it was silence of the packet path, not a probe, that said so.
  bool UnfitByTimeouts = false;
  auto operator==(const HealthStatus &) const -> bool = default;
};

/// True when \p a replaces \p b: the higher version, then the more cautious.
auto replaces(const HealthStatus &a, const HealthStatus &b) -> bool;

/// True when an upstream that went from \p before to \p after may get less.
auto isWorse(UpstreamFitness after, UpstreamFitness before) -> bool;

/// One kind of evidence. The values are part of the peer protocol.
enum class ObservationKind : std::uint8_t {
  /// Count answers of mean latency Latency; zero: packets of flows.
  Answers = 1,
  ColdRefusals = 2,     ///< Refused as cold.
  Unavailable = 3,      ///< Refused by a host that fell over or drains.
  Shed = 4,             ///< Refused to take less load.
  Timeouts = 5,         ///< Work that got no answer before its deadline.
  NewIncarnation = 6,   ///< A report shows that the upstream was restarted.
  ReportedCold = 7,     ///< A report says that it is cold.
  ProbesUnanswered = 8, ///< Probes that used to be answered no longer are.
  ProbeAnswered = 9,    ///< A probe is answered again.
};

/// The last valid value of Sign.
inline constexpr ObservationKind LastObservationKind =
    ObservationKind::ProbeAnswered;

/// Evidence that one instance gathered on one upstream.
struct Observation {
  ObservationKind Kind = ObservationKind::Answers;
  std::uint16_t Count = 1;
  /// Set for Answers.
  std::chrono::microseconds Latency{};
};

/// Assesses one upstream. Only the instance that owns the upstream feeds one;
/// the others copy its opinion. Not thread-safe.
class HealthAssessor {
public:
  /// Good answers in a row that take a cold upstream to Warming, and to Ready.
  static constexpr std::uint32_t AnswersToWarming = 5;
  static constexpr std::uint32_t AnswersToReady = 32;
  /// The fastest that the ramp rises, and that shedding lowers it, in percent
  /// of full load a second.
  static constexpr double RampRisePerSecond = 25;
  static constexpr double ShedFallPerSecond = 20;
  /// Shedding never lowers the ramp below this.
  static constexpr double ShedFloorPercent = 10;
  /// The fastest that the measured latency moves, as a share a second.
  static constexpr double MaxLatencyChangePerSecond = 0.1;
  /// Timeouts with no answer between them that make an upstream unfit.
  static constexpr std::uint32_t TimeoutsToUnfit = 3;
  /// An answer this recent outranks timeouts, probes and reports.
  static constexpr Duration RecentAnswerTime = std::chrono::seconds(2);
  /// Latency over this many times the history, over SlowAnswers answers, is a
  /// sign of a cold upstream.
  static constexpr double SlowFactor = 3;
  static constexpr std::uint32_t SlowAnswers = 10;
  /// Answers before the measured latency is used.
  static constexpr std::uint32_t AnswersToMeasure = 100;
  /// Wait before the next trial of an upstream that refused as cold or fell
  /// over; doubles with each refusal until it answers.
  static constexpr Duration InitialTrialBackoff =
      std::chrono::milliseconds(250);
  static constexpr Duration MaxTrialBackoff = std::chrono::seconds(8);
  /// Wait before one more trial of an unfit upstream that never answered a
  /// probe, so that nothing else can show its return.
  static constexpr Duration UnprobedTrialDelay = std::chrono::seconds(30);

  /// Takes \p s in at time \p now. True when the opinion changed.
  auto apply(const Observation &o, TimePoint now) -> bool;
  /// Copies an opinion that came from another instance.
  auto adopt(const HealthStatus &other, TimePoint now) -> void;
  /// Starts over as cold, with a version above every earlier one.
  auto reset(TimePoint now) -> void;

  /// Gives an unfit upstream that answers no probes one more trial when it is
  /// time. True when the opinion changed.
  auto retryUnprobed(TimePoint now) -> bool;

  auto status() const -> const HealthStatus & { return Current; }
  /// True while a cold upstream waits for its next trial.
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
