/// \file
/// What callers' packets tell of upstreams: how loaded they are, how fast they
/// answer, and whether they answer at all.
///
/// A strike is an opening packet that no later packet of its flow followed in
/// time, or data that a caller had to send again; one a flow. Any progress of
/// any flow of the upstream clears its strikes. After a strike the upstream is
/// avoided for a while that doubles with each further one; then a single flow
/// tries it.
///
/// Answers load of up to tens of thousands of openings a second: each call is
/// of constant time. Free of I/O; not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_ESTIMATES_H
#define BORAGEBRIDGE_EDGE_ESTIMATES_H

#include "edge/directory.h"

namespace boragebridge {

struct EstimateOptions {
  /// Time in which the load of a request fades to a third.
  Duration LoadMemory = std::chrono::milliseconds(400);
  /// Instances that are thought to send to an upstream as much as this one.
  double Senders = 3;
  /// Assumed of an upstream that has answered nothing yet.
  Duration FirstResponseTime = std::chrono::milliseconds(30);
  /// A longer one counts as this long.
  Duration LongestResponseTime = std::chrono::milliseconds(500);
  /// Share of a new response time in the mean.
  double ResponseShare = 0.1;
  /// Avoidance after the first strike, and its limit.
  Duration FirstAvoidance = std::chrono::milliseconds(400);
  Duration MaxAvoidance = std::chrono::seconds(3);
  /// An upstream is dark after strikes of so many flows and so long a time
  /// since the first of them, with no sign of life.
  unsigned DarkStrikes = 3;
  Duration DarkTime = std::chrono::milliseconds(350);
  /// So many upstreams of one data centre with strikes make it suspected as a
  /// whole, when nothing has come from it since the first of them.
  unsigned SuspectsOfDataCentre = 2;
};

class Estimates {
public:
  explicit Estimates(EstimateOptions opt = {}) : Options(opt) {}

  /// A request or a flow was sent to \p u.
  auto onWork(const Upstream &u, TimePoint now) -> void;
  /// A flow of \p u made progress.
  auto onProgress(const Upstream &u, TimePoint now) -> void;
  /// A request to \p u took \p took.
  auto onResponse(const Upstream &u, Duration took) -> void;
  /// A flow of \p u got no answer; it last said so at \p struckAt. Counts
  /// once for each flow as long as nothing of \p u makes progress.
  auto onStrike(const Upstream &u, TimePoint struckAt, TimePoint now) -> void;
  /// \p u is tried although it is avoided; no other flow tries it for a while.
  auto onTrial(const Upstream &u, TimePoint now) -> void;
  /// This process did not run for a while: what it missed is no evidence.
  auto forgetStrikes() -> void;

  /// Whether new flows should go elsewhere.
  auto isAvoided(const Upstream &u, TimePoint now) const -> bool;
  /// Whether there are strikes against \p u itself.
  auto hasStrikes(const Upstream &u) const -> bool;
  /// Whether there is strong evidence that \p u answers nobody.
  auto isDark(const Upstream &u, TimePoint now) const -> bool;
  /// Expected time to answer one more request.
  auto expectedTime(const Upstream &u, TimePoint now) const -> Duration;
  /// Requests that this instance sent to \p u lately, faded.
  auto load(const Upstream &u, TimePoint now) const -> double;
  auto strikes(const Upstream &u) const -> unsigned;

private:
  struct Entry {
    UpstreamTag Tag = UpstreamTag::None;
    double Load = 0;
    TimePoint LoadAt;
    double ResponseSeconds = 0;
    unsigned Strikes = 0;
    TimePoint ProgressAt;
    TimePoint FirstStrike;
    TimePoint AvoidUntil;
  };
  struct DataCentre {
    unsigned Suspects = 0;
    TimePoint AvoidUntil;
  };

  auto entry(const Upstream &u) -> Entry &;
  auto find(const Upstream &u) const -> const Entry *;
  auto avoidance(unsigned strikes) const -> Duration;

  EstimateOptions Options;
  std::vector<Entry> Entries;
  std::unordered_map<std::uint64_t, DataCentre> DataCentres;
};

} // namespace boragebridge

#endif
