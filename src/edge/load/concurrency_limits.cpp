#include "edge/load/concurrency_limits.h"

#include "edge/decay.h"

#include <algorithm>

namespace boragebridge {

using Seconds = std::chrono::duration<double>;

auto ConcurrencyLimits::initialLimit(const UpstreamLifetime &u) -> double {
  return std::max(MinLimit, static_cast<double>(u.Record.Slots));
}

auto ConcurrencyLimits::entry(const UpstreamLifetime &u) -> Entry & {
  if (u.Index >= Entries.size())
    Entries.resize(u.Index + 1);
  auto &e = Entries[u.Index];
  if (e.Tag != u.Tag) {
    e = Entry{};
    e.Tag = u.Tag;
    e.Limit = initialLimit(u);
  }
  return e;
}

auto ConcurrencyLimits::find(const UpstreamLifetime &u) const -> const Entry * {
  if (u.Index >= Entries.size() || Entries[u.Index].Tag != u.Tag)
    return nullptr;
  return &Entries[u.Index];
}

auto ConcurrencyLimits::remaining(TimePoint sentAt, TimePoint now) const
    -> double {
  return decayFactor(now - sentAt, Options.InProgressRetention);
}

auto ConcurrencyLimits::inProgress(const UpstreamLifetime &u,
                                   TimePoint now) const -> double {
  const auto *e = find(u);
  if (e == nullptr || e->InProgress <= 0)
    return 0;
  return e->InProgress * remaining(e->InProgressAt, now);
}

auto ConcurrencyLimits::limit(const UpstreamLifetime &u) const -> double {
  const auto *e = find(u);
  return e == nullptr ? initialLimit(u) : e->Limit;
}

auto ConcurrencyLimits::meanOf(const UpstreamLifetime &u) const -> double {
  const auto it = MeanResponseSeconds.find(raw(u.Record.Service));
  return it == MeanResponseSeconds.end()
             ? Seconds(Options.InitialResponseTime).count()
             : it->second;
}

auto ConcurrencyLimits::responseTime(const UpstreamLifetime &u,
                                     TimePoint now) const -> Duration {
  const auto mean = meanOf(u);
  const auto *e = find(u);
  auto seconds = mean;
  if (e != nullptr && e->AnsweredAt != TimePoint{})
    seconds += (e->ResponseSeconds - mean) *
               decayFactor(now - e->AnsweredAt, Options.ResponseRetention);
  return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

auto ConcurrencyLimits::onSent(const UpstreamLifetime &u, TimePoint now)
    -> void {
  const auto before = inProgress(u, now);
  auto &e = entry(u);
  e.InProgress = before + 1;
  e.InProgressAt = now;
}

auto ConcurrencyLimits::finish(Entry &e, TimePoint sentAt, TimePoint now)
    -> void {
  const auto left = e.InProgress * remaining(e.InProgressAt, now);
  e.InProgress = std::max(0.0, left - remaining(sentAt, now));
  e.InProgressAt = now;
}

auto ConcurrencyLimits::decrease(Entry &e, double factor, TimePoint now)
    -> void {
  if (e.DecreasedAt != TimePoint{} &&
      now - e.DecreasedAt < Options.DecreaseInterval)
    return;
  e.DecreasedAt = now;
  e.Limit = std::max(MinLimit, e.Limit * factor);
}

auto ConcurrencyLimits::onAnswered(const UpstreamLifetime &u, TimePoint sentAt,
                                   Duration took, bool isSlow, TimePoint now)
    -> void {
  const auto expected = Seconds(responseTime(u, now)).count();
  const auto isLimited = inProgress(u, now) + 1 > limit(u);
  auto &e = entry(u);
  finish(e, sentAt, now);
  const auto seconds = Seconds(took).count();
  e.ResponseSeconds =
      expected + Options.ResponseSmoothing * (seconds - expected);
  e.AnsweredAt = now;
  auto &mean = MeanResponseSeconds.try_emplace(raw(u.Record.Service), seconds)
                   .first->second;
  // The mean of all upstreams moves more slowly than that of one.
  mean += Options.ResponseSmoothing / 4 * (seconds - mean);
  if (isSlow)
    decrease(e, Options.SlownessDecrease, now);
  else if (isLimited)
    e.Limit = std::min(Options.MaxLimit, e.Limit + Options.Increase / e.Limit);
}

auto ConcurrencyLimits::onRefused(const UpstreamLifetime &u, TimePoint sentAt,
                                  TimePoint now) -> void {
  auto &e = entry(u);
  finish(e, sentAt, now);
  decrease(e, Options.RefusalDecrease, now);
}

} // namespace boragebridge
