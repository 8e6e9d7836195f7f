#include "health/health_assessor.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace boragebridge {

constexpr double FullRamp = 100;
/// Answers that the long average remembers.
constexpr std::uint32_t LongMemory = 400;
/// Answers in the history before a slow answer means anything.
constexpr std::uint32_t SlowHistory = 30;
/// Change of the measured latency that is worth a new opinion.
constexpr double LatencyHysteresis = 0.04;
/// Time that one sign of shedding may account for.
constexpr Duration LongestShedStep = std::chrono::milliseconds(100);
/// Change of the ramp that is worth a new opinion, in percent.
constexpr double RampStep = 5;

auto replaces(const Opinion &a, const Opinion &b) -> bool {
  constexpr std::array<int, 4> Caution{1, 2, 3, 0};
  auto caution = [&](const Opinion &o) {
    return std::pair(Caution.at(static_cast<std::size_t>(o.Fitness)),
                     o.RampPercent);
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

auto Assessment::apply(const Sighting &s, TimePoint now) -> bool {
  using Handler = void (Assessment::*)(const Sighting &, TimePoint);
  static constexpr std::array<Handler, 9> Handlers{
      &Assessment::onAnswers,      &Assessment::onColdSign,
      &Assessment::onColdSign,     &Assessment::onShed,
      &Assessment::onTimeouts,     &Assessment::onColdSign,
      &Assessment::onReportedCold, &Assessment::onProbeSilence,
      &Assessment::onProbeAnswered};
  const auto before = Current;
  const auto handler = Handlers.at(static_cast<std::size_t>(s.Kind) - 1);
  (this->*handler)(s, now);
  if (Current == before)
    return false;
  ++Current.Version;
  return true;
}

auto Assessment::adopt(const Opinion &o, TimePoint now) -> void {
  const auto sameLatency = o.Latency == Current.Latency;
  Current = o;
  Ramp = o.RampPercent;
  GoodAnswers =
      static_cast<std::uint32_t>(std::lround(Ramp / FullRamp * AnswersToReady));
  SilentTimeouts = 0;
  UnfitSince = now;
  LastRamp = now;
  if (sameLatency)
    return;
  LongLatency = static_cast<double>(o.Latency.count());
  LongSamples = o.Latency.count() > 0 ? LongMemory : 0;
  ShortSamples = 0;
  LastLatency = now;
}

auto Assessment::reset(TimePoint now) -> void {
  turnCold(now);
  LongSamples = 0;
  Current.Latency = {};
  HasAnswered = false;
  NextTrial = now;
  TrialWait = FirstTrialWait;
  ++Current.Version;
}

auto Assessment::retryBlindly(TimePoint now) -> bool {
  if (Current.Fitness != UpstreamFitness::Unfit ||
      now - UnfitSince < BlindTrialWait)
    return false;
  turnCold(now);
  SilentTimeouts = TimeoutsToUnfit - 1;
  ++Current.Version;
  return true;
}

auto Assessment::answeredLately(TimePoint now) const -> bool {
  return HasAnswered && now - LastAnswer < AnswerOutranks;
}

auto Assessment::turnCold(TimePoint now) -> void {
  Current.Fitness = UpstreamFitness::Cold;
  Current.RampPercent = 0;
  Current.PathSilent = false;
  Ramp = 0;
  GoodAnswers = 0;
  ShortSamples = 0;
  SilentTimeouts = 0;
  LastRamp = now;
}

auto Assessment::turnUnfit(TimePoint now, bool pathSilent) -> void {
  Current.Fitness = UpstreamFitness::Unfit;
  Current.RampPercent = 0;
  Ramp = 0;
  GoodAnswers = 0;
  Current.PathSilent = pathSilent;
  UnfitSince = now;
}

auto Assessment::onAnswers(const Sighting &s, TimePoint now) -> void {
  HasAnswered = true;
  LastAnswer = now;
  SilentTimeouts = 0;
  if (Current.Fitness == UpstreamFitness::Unfit)
    turnCold(now);
  const auto hasLatency = s.Latency.count() > 0;
  if (Current.Fitness == UpstreamFitness::Ready && hasLatency)
    learnLatency(s, now);
  if (Current.Fitness != UpstreamFitness::Ready || Ramp < FullRamp)
    raiseRamp(s.Count, now);
}

auto Assessment::raiseRamp(std::uint32_t answers, TimePoint now) -> void {
  TrialWait = FirstTrialWait;
  GoodAnswers = std::min(GoodAnswers + answers, AnswersToReady);
  const auto earned = FullRamp * GoodAnswers / AnswersToReady;
  const auto allowed = Ramp + (seconds(now - LastRamp) * RampRisePerSecond);
  Ramp = std::max(Ramp, std::min({earned, allowed, FullRamp}));
  LastRamp = now;
  const auto shown = Current.RampPercent;
  if (Ramp >= FullRamp || Ramp - shown >= RampStep)
    Current.RampPercent = static_cast<std::uint8_t>(Ramp);
  if (Current.Fitness == UpstreamFitness::Ready)
    return;
  if (Ramp >= FullRamp)
    Current.Fitness = UpstreamFitness::Ready;
  else if (GoodAnswers >= AnswersToWarming)
    Current.Fitness = UpstreamFitness::Warming;
}

auto Assessment::learnLatency(const Sighting &s, TimePoint now) -> void {
  const auto sample = static_cast<double>(s.Latency.count());
  ShortSamples += s.Count;
  const auto shortShare = std::min(
      1.0, static_cast<double>(s.Count) / std::min(ShortSamples, SlowAnswers));
  ShortLatency += shortShare * (sample - ShortLatency);
  if (LongSamples >= SlowHistory && ShortSamples >= SlowAnswers &&
      ShortLatency > SlowFactor * LongLatency) {
    turnCold(now);
    LongSamples = 0;
    return;
  }
  const auto first = LongSamples < LongMemory;
  LongSamples = std::min(LongSamples + s.Count, LongMemory);
  const auto share = std::min(1.0, static_cast<double>(s.Count) / LongSamples);
  const auto wanted = LongLatency + (share * (sample - LongLatency));
  const auto limit = first ? std::abs(wanted - LongLatency)
                           : LongLatency * LatencyMovePerSecond *
                                 std::min(1.0, seconds(now - LastLatency));
  LongLatency = std::clamp(wanted, LongLatency - limit, LongLatency + limit);
  LastLatency = now;
  publishLatency();
}

auto Assessment::publishLatency() -> void {
  const auto shown = static_cast<double>(Current.Latency.count());
  if (LongSamples < AnswersToMeasure ||
      std::abs(LongLatency - shown) <= LatencyHysteresis * shown)
    return;
  Current.Latency = std::chrono::microseconds(std::llround(LongLatency));
}

auto Assessment::onColdSign(const Sighting &, TimePoint now) -> void {
  turnCold(now);
  waitForTrial(now);
}

auto Assessment::waitForTrial(TimePoint now) -> void {
  if (isWaiting(now))
    return;
  NextTrial = now + TrialWait;
  TrialWait = std::min(2 * TrialWait, LongestTrialWait);
}

auto Assessment::onShed(const Sighting &, TimePoint now) -> void {
  if (Current.Fitness != UpstreamFitness::Ready)
    return;
  const auto passed = std::min(LongestShedStep, now - LastRamp);
  const auto step = ShedFallPerSecond * seconds(passed);
  Ramp = std::max(ShedFloorPercent, Ramp - step);
  LastRamp = now;
  GoodAnswers = static_cast<std::uint32_t>(Ramp / FullRamp * AnswersToReady);
  if (Current.RampPercent - Ramp >= RampStep || Ramp <= ShedFloorPercent)
    Current.RampPercent = static_cast<std::uint8_t>(Ramp);
}

auto Assessment::onTimeouts(const Sighting &s, TimePoint now) -> void {
  if (answeredLately(now) || Current.Fitness == UpstreamFitness::Unfit)
    return;
  SilentTimeouts += s.Count;
  if (SilentTimeouts >= TimeoutsToUnfit)
    turnUnfit(now, true);
}

auto Assessment::onReportedCold(const Sighting &, TimePoint now) -> void {
  if (Current.Fitness == UpstreamFitness::Ready && !answeredLately(now))
    turnCold(now);
}

auto Assessment::onProbeSilence(const Sighting &, TimePoint now) -> void {
  if (!answeredLately(now) && Current.Fitness != UpstreamFitness::Unfit)
    turnUnfit(now, false);
}

auto Assessment::onProbeAnswered(const Sighting &, TimePoint now) -> void {
  if (Current.Fitness == UpstreamFitness::Unfit)
    turnCold(now);
}

} // namespace boragebridge
