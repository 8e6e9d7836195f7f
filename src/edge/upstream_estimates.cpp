#include "edge/upstream_estimates.h"

#include "edge/decay.h"

#include <algorithm>

namespace boragebridge {

using Seconds = std::chrono::duration<double>;

auto UpstreamEstimates::entry(const UpstreamLifetime &u) -> Entry & {
  if (u.Index >= Entries.size())
    Entries.resize(u.Index + 1);
  auto &e = Entries[u.Index];
  if (e.Tag != u.Tag) {
    e = Entry{};
    e.Tag = u.Tag;
    e.ResponseSeconds = Seconds(Options.InitialResponseTime).count();
  }
  return e;
}

auto UpstreamEstimates::find(const UpstreamLifetime &u) const -> const Entry * {
  if (u.Index >= Entries.size() || Entries[u.Index].Tag != u.Tag)
    return nullptr;
  return &Entries[u.Index];
}

auto UpstreamEstimates::onRequestSent(const UpstreamLifetime &u, TimePoint now)
    -> void {
  const auto decayed = load(u, now);
  auto &e = entry(u);
  e.Load = decayed + 1;
  e.LoadAt = now;
}

auto UpstreamEstimates::load(const UpstreamLifetime &u, TimePoint now) const
    -> double {
  const auto *e = find(u);
  if (e == nullptr || e->Load == 0)
    return 0;
  return e->Load * decayFactor(now - e->LoadAt, Options.LoadDecayTime);
}

auto UpstreamEstimates::onAnswered(const UpstreamLifetime &u, Duration took,
                                   TimePoint now) -> void {
  if (took <= Options.PromptAnswer)
    PromptAnswers = {PromptAnswers.back(), now};
  onProgress(u, now);
}

auto UpstreamEstimates::onProgress(const UpstreamLifetime &u, TimePoint now)
    -> void {
  auto &e = entry(u);
  e.ProgressAt = now;
  e.WaitingFlows = 0;
  e.SilentAt = {};
  if (e.Failures == 0 && DataCentres.empty())
    return;
  e.Failures = 0;
  e.AvoidUntil = {};
  DataCentres.erase(raw(u.Record.DataCentre));
}

auto UpstreamEstimates::onResponse(const UpstreamLifetime &u, Duration took)
    -> void {
  auto &e = entry(u);
  const auto seconds = Seconds(std::min(took, Options.MaxResponseTime)).count();
  e.ResponseSeconds +=
      Options.ResponseSmoothing * (seconds - e.ResponseSeconds);
}

auto UpstreamEstimates::avoidance(unsigned failures) const -> Duration {
  auto d = Options.InitialAvoidance;
  for (unsigned i = 1; i < failures && d < Options.MaxAvoidance; ++i)
    d *= 2;
  return std::min(d, Options.MaxAvoidance);
}

auto UpstreamEstimates::recordFailure(const UpstreamLifetime &u, Entry &e,
                                      TimePoint now) -> void {
  if (now - e.LastFailure > Options.FailureRetention)
    e.Failures = 0;
  ++e.Failures;
  e.LastFailure = now;
  e.AvoidUntil = now + avoidance(e.Failures);
  auto &d = DataCentres[raw(u.Record.DataCentre)];
  if (e.Failures == 1) {
    ++d.Suspects;
    if (Suspects.size() < MaxSuspects)
      Suspects.push_back(u.Tag);
  }
  if (d.Suspects >= Options.SuspectsPerDataCentre)
    d.AvoidUntil = std::max(d.AvoidUntil, e.AvoidUntil);
}

auto UpstreamEstimates::onUnanswered(const UpstreamLifetime &u, TimePoint now)
    -> void {
  recordFailure(u, entry(u), now);
}

auto UpstreamEstimates::onRetransmission(const UpstreamLifetime &u,
                                         TimePoint firstSentAt,
                                         TimePoint previousAt, TimePoint now)
    -> void {
  auto &e = entry(u);
  e.RetransmittedAt = now;
  // One failure per flow until there is progress.
  if (previousAt <= e.ProgressAt)
    recordFailure(u, e, now);
  const auto isLate = now - firstSentAt >= Options.UnresponsiveTime;
  if (isLate && e.ProgressAt <= firstSentAt)
    e.SilentAt = now;
  const auto isFirstLate =
      isLate && previousAt - firstSentAt < Options.UnresponsiveTime;
  if (isFirstLate && now - PromptAnswers.front() <= Options.PromptWindow)
    recordWaiting(e, now);
}

auto UpstreamEstimates::recordWaiting(Entry &e, TimePoint now) -> void {
  if (e.WaitingFlows > 0 && now - e.FirstWaitingAt > Options.UnresponsiveWindow)
    e.WaitingFlows = 0;
  if (++e.WaitingFlows == 1)
    e.FirstWaitingAt = now;
}

auto UpstreamEstimates::onTrial(const UpstreamLifetime &u, TimePoint now)
    -> void {
  auto &e = entry(u);
  const auto until = now + avoidance(std::max(e.Failures, 1U));
  e.AvoidUntil = until;
  const auto it = DataCentres.find(raw(u.Record.DataCentre));
  if (it != DataCentres.end() && it->second.AvoidUntil != TimePoint{})
    it->second.AvoidUntil = until;
}

auto UpstreamEstimates::takeSuspects() -> std::vector<UpstreamTag> {
  auto out = Suspects;
  Suspects.clear();
  return out;
}

auto UpstreamEstimates::clearFailures() -> void {
  for (auto &it : Entries) {
    it.Failures = 0;
    it.WaitingFlows = 0;
    it.AvoidUntil = {};
    it.SilentAt = {};
  }
  DataCentres.clear();
}

auto UpstreamEstimates::isAvoided(const UpstreamLifetime &u,
                                  TimePoint now) const -> bool {
  if (const auto *e = find(u); e != nullptr && now < e->AvoidUntil)
    return true;
  const auto it = DataCentres.find(raw(u.Record.DataCentre));
  return it != DataCentres.end() && now < it->second.AvoidUntil;
}

auto UpstreamEstimates::hasFailures(const UpstreamLifetime &u) const -> bool {
  return failures(u) > 0;
}

auto UpstreamEstimates::failures(const UpstreamLifetime &u) const -> unsigned {
  const auto *e = find(u);
  return e == nullptr ? 0 : e->Failures;
}

auto UpstreamEstimates::lastProgress(const UpstreamLifetime &u) const
    -> std::optional<TimePoint> {
  const auto *e = find(u);
  if (e == nullptr || e->ProgressAt == TimePoint{})
    return std::nullopt;
  return e->ProgressAt;
}

auto UpstreamEstimates::isWidespread(TimePoint now, const Entry *except) const
    -> bool {
  const auto since = now - Options.UnresponsiveWindow;
  std::size_t retransmitting = 0;
  std::size_t clean = 0;
  for (const auto &it : Entries) {
    if (&it == except)
      continue;
    if (it.RetransmittedAt >= since)
      ++retransmitting;
    else if (it.ProgressAt >= since)
      ++clean;
  }
  return retransmitting > clean;
}

auto UpstreamEstimates::isUnresponsive(const UpstreamLifetime &u,
                                       TimePoint now) const -> bool {
  const auto *e = find(u);
  return e != nullptr && e->WaitingFlows >= Options.UnresponsiveFlows &&
         now - e->FirstWaitingAt <= Options.MaxAvoidance && !isWidespread(now);
}

auto UpstreamEstimates::isSilent(const UpstreamLifetime &u, TimePoint now) const
    -> bool {
  const auto *e = find(u);
  return e != nullptr && e->SilentAt != TimePoint{} &&
         now - e->SilentAt <= Options.SilenceRetention && !isWidespread(now, e);
}

auto UpstreamEstimates::expectedTime(const UpstreamLifetime &u,
                                     TimePoint now) const -> Duration {
  const auto *e = find(u);
  const auto response = e == nullptr ? Seconds(Options.InitialResponseTime)
                                     : Seconds(e->ResponseSeconds);
  // The recent requests that the upstream is still processing.
  const auto working = load(u, now) * Options.Senders *
                       (response / Seconds(Options.LoadDecayTime));
  const auto waiting = working / static_cast<double>(u.Record.Slots);
  return std::chrono::duration_cast<Duration>(response * (1 + waiting));
}

} // namespace boragebridge
