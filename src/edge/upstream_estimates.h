/// \file
/// Estimates of each upstream's load, response time and health, derived from
/// callers' packets.
///
/// Two kinds of observations count against an upstream:
///  - An opening packet that no later packet of its flow followed in time. The
///    later packet may have gone through another instance, so this only diverts
///    new flows: the upstream is avoided for a time that doubles with each
///    further failure, after which a single flow is sent to it as a trial.
///  - Data that a caller retransmitted after this instance had forwarded it. If
///    several flows get no answer for long, while other flows of this instance
///    are answered promptly and most upstreams have no such flow at all, the
///    upstream is unresponsive.
///
/// An upstream with failures is a suspect. Any progress of any of its flows
/// clears both kinds of observations, and the suspicion of its data centre.
///
/// Where an upstream is doubtful for another reason, such as a missing record,
/// less is enough: it is silent if one flow retransmits data that has waited
/// for long, and no flow of it has made progress since the data was sent.
///
/// Handles tens of thousands of openings per second: each call takes constant
/// time, except clearFailures(), and isUnresponsive() and isSilent() for an
/// upstream with waiting flows, which scan all upstreams. Free of I/O; not
/// thread-safe.
#ifndef BORAGEBRIDGE_EDGE_UPSTREAM_ESTIMATES_H
#define BORAGEBRIDGE_EDGE_UPSTREAM_ESTIMATES_H

#include "edge/upstream_directory.h"

#include <array>

namespace boragebridge {

struct UpstreamEstimatesOptions {
  /// Time in which the load of a request decays to 1/e.
  Duration LoadDecayTime = std::chrono::milliseconds(400);
  /// Assumed number of instances that send as much to an upstream as this one.
  double Senders = 3;
  /// Assumed for an upstream that has not answered yet.
  Duration InitialResponseTime = std::chrono::milliseconds(30);
  /// Longer response times count as this one.
  Duration MaxResponseTime = std::chrono::milliseconds(500);
  /// Weight of a new response time in the moving average.
  double ResponseSmoothing = 0.1;
  /// Duration of avoidance after the first failure, and its maximum.
  Duration InitialAvoidance = std::chrono::milliseconds(400);
  Duration MaxAvoidance = std::chrono::seconds(3);
  /// Failures are forgotten when the last one is longer ago than this.
  Duration FailureRetention = std::chrono::seconds(6);
  /// An upstream is unresponsive if at least UnresponsiveFlows flows wait for
  /// longer than UnresponsiveTime within UnresponsiveWindow and no flow makes
  /// progress, until MaxAvoidance after the first of these flows was found
  /// waiting. UnresponsiveTime is longer than a caller's first retransmission
  /// time-out.
  unsigned UnresponsiveFlows = 3;
  Duration UnresponsiveTime = std::chrono::milliseconds(500);
  Duration UnresponsiveWindow = std::chrono::milliseconds(1500);
  /// An observation of a silent upstream is valid for this long. A flow that
  /// still waits retransmits sooner, and renews it.
  Duration SilenceRetention = std::chrono::seconds(2);
  /// A handshake that takes at most PromptAnswer is prompt. A waiting flow
  /// counts against its upstream only after two prompt handshakes within
  /// PromptWindow; otherwise the link of this instance may be the cause.
  Duration PromptAnswer = std::chrono::milliseconds(40);
  Duration PromptWindow = std::chrono::milliseconds(400);
  /// This many upstreams with failures in one data centre make the whole data
  /// centre suspected, if no flow to it has made progress since the first
  /// of these failures.
  unsigned SuspectsPerDataCentre = 2;
};

class UpstreamEstimates {
public:
  static constexpr std::size_t MaxSuspects = 64;

  explicit UpstreamEstimates(UpstreamEstimatesOptions opt = {}) : Options(opt) {
    Suspects.reserve(MaxSuspects);
  }

  /// A request or a flow was sent to \p u.
  auto onRequestSent(const UpstreamLifetime &u, TimePoint now) -> void;
  /// \p u answered an opening packet after \p took.
  auto onAnswered(const UpstreamLifetime &u, Duration took, TimePoint now)
      -> void;
  /// A flow of \p u made progress.
  auto onProgress(const UpstreamLifetime &u, TimePoint now) -> void;
  /// A request to \p u took \p took.
  auto onResponse(const UpstreamLifetime &u, Duration took) -> void;
  /// An opening packet to \p u was not answered in time.
  auto onUnanswered(const UpstreamLifetime &u, TimePoint now) -> void;
  /// A flow of \p u retransmitted data that it first sent at \p firstSentAt.
  /// \p previousAt is the time of the flow's previous retransmission, of this
  /// or of other data.
  auto onRetransmission(const UpstreamLifetime &u, TimePoint firstSentAt,
                        TimePoint previousAt, TimePoint now) -> void;
  /// A flow is sent to \p u as a trial although \p u is avoided; no other flow
  /// is sent to it for a while.
  auto onTrial(const UpstreamLifetime &u, TimePoint now) -> void;
  /// This process was paused. Answers that it missed must not count as
  /// failures.
  auto clearFailures() -> void;

  /// Upstreams with a first failure since the last call, at most MaxSuspects;
  /// for the log.
  auto takeSuspects() -> std::vector<UpstreamTag>;

  /// Whether new flows should go to other upstreams.
  auto isAvoided(const UpstreamLifetime &u, TimePoint now) const -> bool;
  /// Whether there are failures of \p u itself.
  auto hasFailures(const UpstreamLifetime &u) const -> bool;
  /// Whether there is strong evidence that \p u does not respond to any flow.
  auto isUnresponsive(const UpstreamLifetime &u, TimePoint now) const -> bool;
  /// Whether no flow of \p u makes progress, although data to it is waiting.
  /// Too weak to reset flows of an upstream that is not doubtful otherwise.
  auto isSilent(const UpstreamLifetime &u, TimePoint now) const -> bool;
  /// Expected time until one more request is answered.
  auto expectedTime(const UpstreamLifetime &u, TimePoint now) const -> Duration;
  /// Recent requests of this instance to \p u, with exponential decay.
  auto load(const UpstreamLifetime &u, TimePoint now) const -> double;
  auto failures(const UpstreamLifetime &u) const -> unsigned;
  /// When a flow of \p u last made progress, if that is known.
  auto lastProgress(const UpstreamLifetime &u) const
      -> std::optional<TimePoint>;

private:
  struct Entry {
    UpstreamTag Tag = UpstreamTag::None;
    double Load = 0;
    TimePoint LoadAt;
    double ResponseSeconds = 0;
    unsigned Failures = 0;
    TimePoint LastFailure;
    TimePoint AvoidUntil;
    TimePoint ProgressAt;
    /// When a flow last retransmitted data.
    TimePoint RetransmittedAt;
    /// Flows found waiting for UnresponsiveTime since FirstWaitingAt.
    unsigned WaitingFlows = 0;
    TimePoint FirstWaitingAt;
    /// When the upstream was last found to be silent.
    TimePoint SilentAt;
  };
  struct DataCentre {
    unsigned Suspects = 0;
    TimePoint AvoidUntil;
  };

  auto entry(const UpstreamLifetime &u) -> Entry &;
  auto find(const UpstreamLifetime &u) const -> const Entry *;
  auto recordFailure(const UpstreamLifetime &u, Entry &e, TimePoint now)
      -> void;
  auto recordWaiting(Entry &e, TimePoint now) -> void;
  /// Whether flows of most upstreams, not counting \p except, had to retransmit
  /// within UnresponsiveWindow. The cause is then local to this instance, or
  /// affects all upstreams.
  auto isWidespread(TimePoint now, const Entry *except = nullptr) const -> bool;
  auto avoidance(unsigned failures) const -> Duration;

  UpstreamEstimatesOptions Options;
  std::vector<Entry> Entries;
  std::unordered_map<std::uint64_t, DataCentre> DataCentres;
  std::vector<UpstreamTag> Suspects;
  /// Times of the last two prompt handshakes, the older one first.
  std::array<TimePoint, 2> PromptAnswers{};
};

} // namespace boragebridge

#endif
