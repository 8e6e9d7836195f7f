/// \file
/// What callers' packets tell of upstreams: how loaded they are, how fast they
/// answer, and whether they answer at all.
///
/// Two kinds of evidence speak against an upstream:
///  - an opening packet that no later packet of its flow followed in time. The
///    later packet may have gone through another instance, so this only turns
///    new flows away: the upstream is avoided for a while that doubles with
///    each further strike, then a single flow tries it;
///  - data that a caller sent again after this instance had sent it on. When
///    several flows get no answer for long, while others of this instance are
///    answered promptly and most upstreams have no such flow at all, their
///    upstream is dark.
/// Any progress of any flow of the upstream clears both.
///
/// Answers load of up to tens of thousands of openings a second: each call is
/// of constant time, but isUnresponsive() for an upstream with waiting flows,
/// which looks at all. Free of I/O; not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_UPSTREAM_ESTIMATES_H
#define BORAGEBRIDGE_EDGE_UPSTREAM_ESTIMATES_H

#include "edge/upstream_directory.h"

#include <array>

namespace boragebridge {

struct UpstreamEstimatesOptions {
  /// Time in which the load of a request fades to a third.
  Duration LoadDecayTime = std::chrono::milliseconds(400);
  /// Instances that are thought to send to an upstream as much as this one.
  double Senders = 3;
  /// Assumed of an upstream that has answered nothing yet.
  Duration InitialResponseTime = std::chrono::milliseconds(30);
  /// A longer one counts as this long.
  Duration MaxResponseTime = std::chrono::milliseconds(500);
  /// Share of a new response time in the mean.
  double ResponseSmoothing = 0.1;
  /// Avoidance after the first strike, and its limit.
  Duration InitialAvoidance = std::chrono::milliseconds(400);
  Duration MaxAvoidance = std::chrono::seconds(3);
  /// Strikes further back than this are forgotten.
  Duration FailureRetention = std::chrono::seconds(6);
  /// An upstream is dark when so many flows wait for longer than
  /// UnresponsiveTime within UnresponsiveWindow, with no sign of life.
  /// UnresponsiveTime is beyond the first repetition of a caller.
  unsigned UnresponsiveFlows = 3;
  Duration UnresponsiveTime = std::chrono::milliseconds(500);
  Duration UnresponsiveWindow = std::chrono::milliseconds(1500);
  /// A handshake of at most PromptAnswer is prompt. A flow that waits is
  /// evidence only after two prompt ones within PromptWindow: else it may wait
  /// for the link of this instance.
  Duration PromptAnswer = std::chrono::milliseconds(40);
  Duration PromptWindow = std::chrono::milliseconds(400);
  /// So many upstreams of one data centre with strikes make it suspected as a
  /// whole, when nothing has come from it since the first of them.
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
  /// An opening packet to \p u stayed unanswered.
  auto onUnanswered(const UpstreamLifetime &u, TimePoint now) -> void;
  /// A flow of \p u sent data again that it first sent at \p first. \p before
  /// is when the flow last did so, with this data or other.
  auto onRetransmission(const UpstreamLifetime &u, TimePoint first,
                        TimePoint before, TimePoint now) -> void;
  /// \p u is tried although it is avoided; no other flow tries it for a while.
  auto onTrial(const UpstreamLifetime &u, TimePoint now) -> void;
  /// This process did not run for a while: what it missed is no evidence.
  auto clearFailures() -> void;

  /// Upstreams that got their first strike since the last call, at most
  /// MaxSuspects; for the log.
  auto takeSuspects() -> std::vector<UpstreamTag>;

  /// Whether new flows should go elsewhere.
  auto isAvoided(const UpstreamLifetime &u, TimePoint now) const -> bool;
  /// Whether there are strikes against \p u itself.
  auto hasFailures(const UpstreamLifetime &u) const -> bool;
  /// Whether there is strong evidence that \p u answers nobody.
  auto isUnresponsive(const UpstreamLifetime &u, TimePoint now) const -> bool;
  /// Expected time to answer one more request.
  auto expectedTime(const UpstreamLifetime &u, TimePoint now) const -> Duration;
  /// Requests that this instance sent to \p u lately, faded.
  auto load(const UpstreamLifetime &u, TimePoint now) const -> double;
  auto failures(const UpstreamLifetime &u) const -> unsigned;

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
    /// When a flow last sent data again.
    TimePoint RetransmittedAt;
    /// Flows that waited for long since FirstWaitingAt.
    unsigned WaitingFlows = 0;
    TimePoint FirstWaitingAt;
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
  /// Whether flows of most upstreams had to send again within
  /// UnresponsiveWindow: then the trouble is this instance's own, or
  /// everybody's.
  auto isWidespread(TimePoint now) const -> bool;
  auto avoidance(unsigned failures) const -> Duration;

  UpstreamEstimatesOptions Options;
  std::vector<Entry> Entries;
  std::unordered_map<std::uint64_t, DataCentre> DataCentres;
  std::vector<UpstreamTag> Suspects;
  /// The last two prompt handshakes, the older one first.
  std::array<TimePoint, 2> PromptAnswers{};
};

} // namespace boragebridge

#endif
