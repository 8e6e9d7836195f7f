#include "edge/upstream_estimates.h"

#include <algorithm>
#include <cmath>

namespace boragebridge {

using Seconds = std::chrono::duration<double>;

auto UpstreamEstimates::entry(const UpstreamLifetime &u) -> Entry & {
  if (u.Index >= Entries.size())
    Entries.resize(u.Index + 1);
  auto &e = Entries[u.Index];
  if (e.Tag != u.Tag) {
    e = Entry{};
    e.Tag = u.Tag;
    e.ResponseSeconds = Seconds(Options.FirstResponseTime).count();
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
  const auto faded = load(u, now);
  auto &e = entry(u);
  e.Load = faded + 1;
  e.LoadAt = now;
}

auto UpstreamEstimates::load(const UpstreamLifetime &u, TimePoint now) const
    -> double {
  const auto *e = find(u);
  if (e == nullptr || e->Load == 0)
    return 0;
  return e->Load *
         std::exp(-Seconds(now - e->LoadAt) / Seconds(Options.LoadMemory));
}

auto UpstreamEstimates::onAnswered(const UpstreamLifetime &u, Duration took,
                                   TimePoint now) -> void {
  if (took <= Options.PromptAnswer)
    Prompt = {Prompt.back(), now};
  onProgress(u, now);
}

auto UpstreamEstimates::onProgress(const UpstreamLifetime &u, TimePoint now)
    -> void {
  auto &e = entry(u);
  e.ProgressAt = now;
  e.Waiting = 0;
  if (e.Strikes == 0 && DataCentres.empty())
    return;
  e.Strikes = 0;
  e.AvoidUntil = {};
  DataCentres.erase(raw(u.Record.DataCentre));
}

auto UpstreamEstimates::onResponse(const UpstreamLifetime &u, Duration took)
    -> void {
  auto &e = entry(u);
  const auto seconds =
      Seconds(std::min(took, Options.LongestResponseTime)).count();
  e.ResponseSeconds += Options.ResponseShare * (seconds - e.ResponseSeconds);
}

auto UpstreamEstimates::avoidance(unsigned strikes) const -> Duration {
  auto d = Options.FirstAvoidance;
  for (unsigned i = 1; i < strikes && d < Options.MaxAvoidance; ++i)
    d *= 2;
  return std::min(d, Options.MaxAvoidance);
}

auto UpstreamEstimates::strike(const UpstreamLifetime &u, Entry &e,
                               TimePoint now) -> void {
  if (now - e.LastStrike > Options.StrikeMemory)
    e.Strikes = 0;
  ++e.Strikes;
  e.LastStrike = now;
  e.AvoidUntil = now + avoidance(e.Strikes);
  auto &d = DataCentres[raw(u.Record.DataCentre)];
  if (e.Strikes == 1) {
    ++d.Suspects;
    if (Suspects.size() < MaxSuspects)
      Suspects.push_back(u.Tag);
  }
  if (d.Suspects >= Options.SuspectsOfDataCentre)
    d.AvoidUntil = std::max(d.AvoidUntil, e.AvoidUntil);
}

auto UpstreamEstimates::onUnanswered(const UpstreamLifetime &u, TimePoint now)
    -> void {
  strike(u, entry(u), now);
}

auto UpstreamEstimates::onRepeat(const UpstreamLifetime &u, TimePoint first,
                                 TimePoint before, TimePoint now) -> void {
  auto &e = entry(u);
  e.RepeatedAt = now;
  // One strike for each flow as long as nothing makes progress.
  if (before <= e.ProgressAt)
    strike(u, e, now);
  const auto isFirstLateOne =
      now - first >= Options.DarkTime && before - first < Options.DarkTime;
  if (isFirstLateOne && now - Prompt.front() <= Options.PromptWindow)
    noteWaiting(e, now);
}

auto UpstreamEstimates::noteWaiting(Entry &e, TimePoint now) -> void {
  if (e.Waiting > 0 && now - e.FirstWaiting > Options.DarkWindow)
    e.Waiting = 0;
  if (++e.Waiting == 1)
    e.FirstWaiting = now;
}

auto UpstreamEstimates::onTrial(const UpstreamLifetime &u, TimePoint now)
    -> void {
  auto &e = entry(u);
  const auto until = now + avoidance(std::max(e.Strikes, 1U));
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

auto UpstreamEstimates::forgetStrikes() -> void {
  for (auto &it : Entries) {
    it.Strikes = 0;
    it.Waiting = 0;
    it.AvoidUntil = {};
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

auto UpstreamEstimates::hasStrikes(const UpstreamLifetime &u) const -> bool {
  return strikes(u) > 0;
}

auto UpstreamEstimates::strikes(const UpstreamLifetime &u) const -> unsigned {
  const auto *e = find(u);
  return e == nullptr ? 0 : e->Strikes;
}

auto UpstreamEstimates::isWidespread(TimePoint now) const -> bool {
  const auto since = now - Options.DarkWindow;
  std::size_t repeating = 0;
  std::size_t clean = 0;
  for (const auto &it : Entries) {
    if (it.RepeatedAt >= since)
      ++repeating;
    else if (it.ProgressAt >= since)
      ++clean;
  }
  return repeating > clean;
}

auto UpstreamEstimates::isDark(const UpstreamLifetime &u, TimePoint now) const
    -> bool {
  const auto *e = find(u);
  return e != nullptr && e->Waiting >= Options.DarkFlows &&
         now - e->FirstWaiting <= Options.MaxAvoidance && !isWidespread(now);
}

auto UpstreamEstimates::expectedTime(const UpstreamLifetime &u,
                                     TimePoint now) const -> Duration {
  const auto *e = find(u);
  const auto response = e == nullptr ? Seconds(Options.FirstResponseTime)
                                     : Seconds(e->ResponseSeconds);
  // The part of the recent requests that the upstream still works on.
  const auto working =
      load(u, now) * Options.Senders * (response / Seconds(Options.LoadMemory));
  const auto waiting = working / static_cast<double>(u.Record.Slots);
  return std::chrono::duration_cast<Duration>(response * (1 + waiting));
}

} // namespace boragebridge
