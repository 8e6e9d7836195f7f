/// \file
/// How many requests of this instance each upstream takes well at present.
///
/// Each upstream has a limit of requests in progress, learned from how it
/// answers. The limit falls at once when the upstream refuses a request or
/// answers slowly, and rises slowly while it answers in time and the limit is
/// reached. The slots that the upstream registered are only the first guess,
/// with which each lifetime of an upstream starts.
/// The response time of an upstream that is not used drifts to the mean of all;
/// its limit stays.
///
/// Requests whose answers are never seen, for example because another instance
/// forwards the rest of their flow, stop counting after a while.
///
/// Constant time for each call; allocates only when an upstream is first used.
/// Free of I/O; not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_LOAD_CONCURRENCY_LIMITS_H
#define BORAGEBRIDGE_EDGE_LOAD_CONCURRENCY_LIMITS_H

#include "edge/upstream_directory.h"

namespace boragebridge {

struct ConcurrencyLimitsOptions {
  /// Time in which the weight of a request without an answer decays to 1/e.
  Duration InProgressRetention = std::chrono::milliseconds(1000);
  /// Weight of a new response time in the moving average.
  double ResponseSmoothing = 0.25;
  /// Assumed for an upstream that has not answered yet.
  Duration InitialResponseTime = std::chrono::milliseconds(30);
  /// Time in which the difference between the response time of an upstream that
  /// is not used and the mean of all decays to 1/e.
  Duration ResponseRetention = std::chrono::seconds(4);
  /// The limit rises by this after as many answers as the limit allows
  /// requests.
  double Increase = 0.15;
  /// The limit is multiplied by these when a request was refused or slow.
  double RefusalDecrease = 0.7;
  double SlownessDecrease = 0.9;
  /// The limit falls at most once within this time, so that requests that were
  /// in progress together count once.
  Duration DecreaseInterval = std::chrono::milliseconds(100);
  double MaxLimit = 64;
};

class ConcurrencyLimits {
public:
  /// An upstream always takes one request, or its state would never be known.
  static constexpr double MinLimit = 1;

  explicit ConcurrencyLimits(ConcurrencyLimitsOptions opt = {})
      : Options(opt) {}

  /// A request was sent to \p u.
  auto onSent(const UpstreamLifetime &u, TimePoint now) -> void;
  /// \p u answered a request that was sent at \p sentAt, after \p took. \p
  /// isSlow: callers of its route want answers sooner.
  auto onAnswered(const UpstreamLifetime &u, TimePoint sentAt, Duration took,
                  bool isSlow, TimePoint now) -> void;
  /// \p u refused a request that was sent at \p sentAt.
  auto onRefused(const UpstreamLifetime &u, TimePoint sentAt, TimePoint now)
      -> void;
  /// A request that was sent at \p sentAt has ended in a way that tells nothing
  /// of \p u.
  auto onEnded(const UpstreamLifetime &u, TimePoint sentAt, TimePoint now)
      -> void {
    finish(entry(u), sentAt, now);
  }

  /// Requests of this instance that \p u has not answered. Fractional, as
  /// requests whose answers are never seen decay. An opening counts as one.
  auto inProgress(const UpstreamLifetime &u, TimePoint now) const -> double;
  /// How many requests of this instance \p u processes at a time without
  /// refusals or late answers, as far as it is known; may be fractional.
  auto limit(const UpstreamLifetime &u) const -> double;
  /// Whether \p u takes one more request well.
  auto hasRoom(const UpstreamLifetime &u, TimePoint now) const -> bool {
    return inProgress(u, now) + 1 <= limit(u) + RoomTolerance;
  }
  /// Response time to expect if \p u has no more requests in progress than of
  /// late.
  auto responseTime(const UpstreamLifetime &u, TimePoint now) const -> Duration;

private:
  /// A request that is all but forgotten does not take the room of another.
  static constexpr double RoomTolerance = 0.25;

  struct Entry {
    UpstreamTag Tag = UpstreamTag::None;
    double InProgress = 0;
    TimePoint InProgressAt;
    double Limit = 0;
    TimePoint DecreasedAt;
    double ResponseSeconds = 0;
    TimePoint AnsweredAt;
  };

  auto entry(const UpstreamLifetime &u) -> Entry &;
  auto find(const UpstreamLifetime &u) const -> const Entry *;
  /// Mean response time of the service of \p u, in seconds.
  auto meanOf(const UpstreamLifetime &u) const -> double;
  /// Share of a request in progress since \p sentAt that still counts.
  auto remaining(TimePoint sentAt, TimePoint now) const -> double;
  auto finish(Entry &e, TimePoint sentAt, TimePoint now) -> void;
  auto decrease(Entry &e, double factor, TimePoint now) -> void;
  /// The first guess, from the registered slots.
  static auto initialLimit(const UpstreamLifetime &u) -> double;

  ConcurrencyLimitsOptions Options;
  std::vector<Entry> Entries;
  /// Moving averages over all upstreams of a service.
  std::unordered_map<std::uint64_t, double> MeanResponseSeconds;
};

} // namespace boragebridge

#endif
