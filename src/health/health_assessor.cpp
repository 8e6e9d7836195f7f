#include "health/health_assessor.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace boragebridge {

constexpr double FullRamp = 100;
/// Number of answers over which the long-term latency is averaged.
constexpr std::uint32_t LongTermWindow = 400;
/// Number of answers in the long-term average before the latency can show that
/// an upstream is cold.
constexpr std::uint32_t MinHistoryAnswers = 30;
/// Relative change of the measured latency that is published.
constexpr double LatencyHysteresis = 0.04;
/// Longest time for which one shedding observation lowers the ramp.
constexpr Duration MaxShedStep = std::chrono::milliseconds(100);
/// Change of the ramp that is published, in percent of full load.
constexpr double RampStep = 5;

auto replaces(const HealthStatus &a, const HealthStatus &b) -> bool {
  constexpr std::array<int, 4> Caution{1, 2, 3, 0};
  auto caution = [&](const HealthStatus &s) {
    return std::pair(Caution.at(static_cast<std::size_t>(s.Fitness)),
                     s.RampPercent);
  };
  if (a.Version != b.Version)
    return a.Version > b.Version;
  return caution(a) < caution(b);
}

auto isWorse(UpstreamFitness after, UpstreamFitness before) -> bool {
  const auto isLow =
      after == UpstreamFitness::Cold || after == UpstreamFitness::Unfit;
  return isLow && after != before;
}

static auto seconds(Duration d) -> double {
  return std::chrono::duration<double>(d).count();
}

auto HealthAssessor::apply(const Observation &o, TimePoint now) -> bool {
  using Handler = void (HealthAssessor::*)(const Observation &, TimePoint);
  static constexpr std::array<Handler, 9> Handlers{
      &HealthAssessor::onAnswers,         &HealthAssessor::onColdObservation,
      &HealthAssessor::onColdObservation, &HealthAssessor::onShed,
      &HealthAssessor::onTimeouts,        &HealthAssessor::onColdObservation,
      &HealthAssessor::onReportedCold,    &HealthAssessor::onProbesUnanswered,
      &HealthAssessor::onProbeAnswered};
  const auto before = Current;
  const auto handler = Handlers.at(static_cast<std::size_t>(o.Kind) - 1);
  (this->*handler)(o, now);
  if (Current == before)
    return false;
  ++Current.Version;
  return true;
}

auto HealthAssessor::adopt(const HealthStatus &other, TimePoint now) -> void {
  const auto sameLatency = other.Latency == Current.Latency;
  Current = other;
  ExactRampPercent = other.RampPercent;
  GoodAnswers = static_cast<std::uint32_t>(
      std::lround(ExactRampPercent / FullRamp * AnswersToReady));
  ConsecutiveTimeouts = 0;
  UnfitSince = now;
  LastRamp = now;
  if (sameLatency)
    return;
  LongTermLatency = static_cast<double>(other.Latency.count());
  LongTermSamples = other.Latency.count() > 0 ? LongTermWindow : 0;
  ShortTermSamples = 0;
  LastLatency = now;
}

auto HealthAssessor::reset(TimePoint now) -> void {
  markCold(now);
  LongTermSamples = 0;
  Current.Latency = {};
  HasAnswered = false;
  NextTrial = now;
  TrialBackoff = InitialTrialBackoff;
  ++Current.Version;
}

auto HealthAssessor::retryUnprobed(TimePoint now) -> bool {
  if (Current.Fitness != UpstreamFitness::Unfit ||
      now - UnfitSince < UnprobedTrialDelay)
    return false;
  markCold(now);
  ConsecutiveTimeouts = TimeoutsToUnfit - 1;
  ++Current.Version;
  return true;
}

auto HealthAssessor::answeredRecently(TimePoint now) const -> bool {
  return HasAnswered && now - LastAnswer < RecentAnswerTime;
}

auto HealthAssessor::markCold(TimePoint now) -> void {
  Current.Fitness = UpstreamFitness::Cold;
  Current.RampPercent = 0;
  Current.UnfitByTimeouts = false;
  ExactRampPercent = 0;
  GoodAnswers = 0;
  ShortTermSamples = 0;
  ConsecutiveTimeouts = 0;
  LastRamp = now;
}

auto HealthAssessor::markUnfit(TimePoint now, bool byTimeouts) -> void {
  Current.Fitness = UpstreamFitness::Unfit;
  Current.RampPercent = 0;
  ExactRampPercent = 0;
  GoodAnswers = 0;
  Current.UnfitByTimeouts = byTimeouts;
  UnfitSince = now;
}

auto HealthAssessor::onAnswers(const Observation &o, TimePoint now) -> void {
  HasAnswered = true;
  LastAnswer = now;
  ConsecutiveTimeouts = 0;
  if (Current.Fitness == UpstreamFitness::Unfit)
    markCold(now);
  const auto hasLatency = o.Latency.count() > 0;
  if (Current.Fitness == UpstreamFitness::Ready && hasLatency)
    updateLatency(o, now);
  if (Current.Fitness != UpstreamFitness::Ready || ExactRampPercent < FullRamp)
    raiseRamp(o.Count, now);
}

auto HealthAssessor::raiseRamp(std::uint32_t answers, TimePoint now) -> void {
  TrialBackoff = InitialTrialBackoff;
  GoodAnswers = std::min(GoodAnswers + answers, AnswersToReady);
  const auto earned = FullRamp * GoodAnswers / AnswersToReady;
  const auto allowed =
      ExactRampPercent + (seconds(now - LastRamp) * RampRisePerSecond);
  ExactRampPercent =
      std::max(ExactRampPercent, std::min({earned, allowed, FullRamp}));
  LastRamp = now;
  const auto published = Current.RampPercent;
  if (ExactRampPercent >= FullRamp || ExactRampPercent - published >= RampStep)
    Current.RampPercent = static_cast<std::uint8_t>(ExactRampPercent);
  if (Current.Fitness == UpstreamFitness::Ready)
    return;
  if (ExactRampPercent >= FullRamp)
    Current.Fitness = UpstreamFitness::Ready;
  else if (GoodAnswers >= AnswersToWarming)
    Current.Fitness = UpstreamFitness::Warming;
}

auto HealthAssessor::updateLatency(const Observation &o, TimePoint now)
    -> void {
  const auto sample = static_cast<double>(o.Latency.count());
  ShortTermSamples += o.Count;
  const auto shortTermShare =
      std::min(1.0, static_cast<double>(o.Count) /
                        std::min(ShortTermSamples, SlowAnswers));
  ShortTermLatency += shortTermShare * (sample - ShortTermLatency);
  if (LongTermSamples >= MinHistoryAnswers && ShortTermSamples >= SlowAnswers &&
      ShortTermLatency > SlowFactor * LongTermLatency) {
    markCold(now);
    LongTermSamples = 0;
    return;
  }
  const auto isInitial = LongTermSamples < LongTermWindow;
  LongTermSamples = std::min(LongTermSamples + o.Count, LongTermWindow);
  const auto share =
      std::min(1.0, static_cast<double>(o.Count) / LongTermSamples);
  const auto target = LongTermLatency + (share * (sample - LongTermLatency));
  const auto limit = isInitial ? std::abs(target - LongTermLatency)
                               : LongTermLatency * MaxLatencyChangePerSecond *
                                     std::min(1.0, seconds(now - LastLatency));
  LongTermLatency =
      std::clamp(target, LongTermLatency - limit, LongTermLatency + limit);
  LastLatency = now;
  publishLatency();
}

auto HealthAssessor::publishLatency() -> void {
  const auto published = static_cast<double>(Current.Latency.count());
  if (LongTermSamples < AnswersToMeasure ||
      std::abs(LongTermLatency - published) <= LatencyHysteresis * published)
    return;
  Current.Latency = std::chrono::microseconds(std::llround(LongTermLatency));
}

auto HealthAssessor::onColdObservation(const Observation &, TimePoint now)
    -> void {
  markCold(now);
  startTrialBackoff(now);
}

auto HealthAssessor::startTrialBackoff(TimePoint now) -> void {
  if (isBackingOff(now))
    return;
  NextTrial = now + TrialBackoff;
  TrialBackoff = std::min(2 * TrialBackoff, MaxTrialBackoff);
}

auto HealthAssessor::onShed(const Observation &, TimePoint now) -> void {
  if (Current.Fitness != UpstreamFitness::Ready)
    return;
  const auto elapsed = std::min(MaxShedStep, now - LastRamp);
  const auto step = ShedFallPerSecond * seconds(elapsed);
  ExactRampPercent = std::max(ShedFloorPercent, ExactRampPercent - step);
  LastRamp = now;
  GoodAnswers =
      static_cast<std::uint32_t>(ExactRampPercent / FullRamp * AnswersToReady);
  if (Current.RampPercent - ExactRampPercent >= RampStep ||
      ExactRampPercent <= ShedFloorPercent)
    Current.RampPercent = static_cast<std::uint8_t>(ExactRampPercent);
}

auto HealthAssessor::onTimeouts(const Observation &o, TimePoint now) -> void {
  if (answeredRecently(now) || Current.Fitness == UpstreamFitness::Unfit)
    return;
  ConsecutiveTimeouts += o.Count;
  if (ConsecutiveTimeouts >= TimeoutsToUnfit)
    markUnfit(now, true);
}

auto HealthAssessor::onReportedCold(const Observation &, TimePoint now)
    -> void {
  if (Current.Fitness == UpstreamFitness::Ready && !answeredRecently(now))
    markCold(now);
}

auto HealthAssessor::onProbesUnanswered(const Observation &, TimePoint now)
    -> void {
  if (!answeredRecently(now) && Current.Fitness != UpstreamFitness::Unfit)
    markUnfit(now, false);
}

auto HealthAssessor::onProbeAnswered(const Observation &, TimePoint now)
    -> void {
  if (Current.Fitness == UpstreamFitness::Unfit)
    markCold(now);
}

} // namespace boragebridge
