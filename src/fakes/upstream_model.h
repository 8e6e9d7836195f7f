/// \file
/// One upstream host as a model on a given time, free of I/O. Tests and benches
/// drive it directly; the stand-in daemon wraps it in sockets.
///
/// It counts every breach of what an upstream is promised, so that a test needs
/// no judgement of its own.
///
/// Example:
/// \code
///   UpstreamModel host({.Service = booking}, clock.now());
///   host.execute(clock.now(), {.Key = {caller, 1}, .Service = booking});
///   clock.advance(std::chrono::milliseconds(50));
///   for (const auto &it : host.poll(clock.now())) ...
/// \endcode
#ifndef BORAGEBRIDGE_FAKES_UPSTREAM_MODEL_H
#define BORAGEBRIDGE_FAKES_UPSTREAM_MODEL_H

#include "boragebridge/packet.h"
#include "health/upstream_observer.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace boragebridge::fakes {

/// One request as its caller numbers it; retries keep it.
struct ModelRequestKey {
  CallerId Caller{};
  std::uint64_t Number = 0;
  auto operator<=>(const ModelRequestKey &) const = default;
};

/// Work for an upstream.
struct ExecuteRequest {
  ModelRequestKey Key;
  std::uint32_t Attempt = 0;
  ServiceId Service{};
  /// Time that an ordinary host takes for it.
  Duration Work = std::chrono::milliseconds(50);
  /// From arrival; zero: none.
  Duration Deadline{};
  /// Where to answer; given back in the result.
  std::uint64_t Route = 0;
};

enum class ResultKind : std::uint8_t {
  Answer,
  Refused,          ///< None of it was run.
  DeadlineExceeded, ///< Stopped at the deadline, partly run.
  Cancelled,        ///< Stopped by a cancellation, partly run.
};

/// The end of one attempt.
struct ExecuteResult {
  ModelRequestKey Key;
  std::uint32_t Attempt = 0;
  ResultKind Kind = ResultKind::Answer;
  /// Set for Refused.
  RefusalReason Reason = RefusalReason::Overloaded;
  std::uint64_t Route = 0;
};

/// What an upstream answers to a flow packet.
enum class FlowAnswer : std::uint8_t { Accepted, Reset, NoAnswer };

/// Faults of the answers, in effect until set again.
struct AnswerFaults {
  /// Delay of every answer besides its work.
  Duration Late{};
  bool Duplicate = false;
  /// Each answer waits for the next one, which is delivered before it.
  bool Swapped = false;
};

/// Faults of the reports, in effect until set again.
struct ReportFaults {
  Duration Lag{};
  bool Missing = false;
  /// Says idle and warm, whatever the truth is.
  bool ClaimsIdle = false;
  /// Says full and cold, whatever the truth is.
  bool ClaimsFull = false;
};

/// What a model is made with.
struct UpstreamOptions {
  ServiceId Service{};
  /// The service address that its flows carry.
  Endpoint ServiceAddress;
  std::uint32_t Slots = 2;
  std::uint32_t Connections = 2000;
  /// Relative to an ordinary host, in percent.
  std::uint32_t SpeedPercent = 100;
  bool StartsCold = true;
  std::uint64_t Seed = 1;
};

/// Counts that promises are checked against.
struct UpstreamCounts {
  std::uint64_t Answered = 0;
  std::uint64_t Refused = 0;
  /// Work time done, on an ordinary host's scale.
  Duration WorkDone{};
  /// Arrivals beyond Slots while warm, or beyond Connections.
  std::uint64_t OverLimit = 0;
  /// Arrivals beyond what a cold upstream bears.
  std::uint64_t ColdOverLimit = 0;
  /// Times that overload while cold made it fall over.
  std::uint64_t Crashes = 0;
  /// Packets of another service.
  std::uint64_t Misdelivered = 0;
  /// Requests that ran more than once.
  std::uint64_t RepeatedRuns = 0;
  std::uint64_t PacketsAfterWithdrawal = 0;
  std::uint64_t NewWorkAfterDrain = 0;
};

/// The model. Not thread-safe; times given to it never go down.
class UpstreamModel {
public:
  /// Good answers that warm a cold upstream up.
  static constexpr std::uint32_t AnswersToWarm = 20;
  /// New flows a second that a cold upstream bears.
  static constexpr std::uint32_t ColdFlowsPerSecond = 5;
  /// Arrivals over the cold limit within a second that make it fall over.
  static constexpr std::uint32_t ColdTolerance = 6;
  /// How long it refuses everything after a fall.
  static constexpr Duration CrashRecoveryTime = std::chrono::seconds(3);
  /// Speed of a cold upstream relative to its own when warm.
  static constexpr double ColdSpeedShare = 0.5;

  UpstreamModel(UpstreamOptions opt, TimePoint now);

  /// Takes or refuses work; the refusal comes out of poll().
  auto execute(TimePoint now, const ExecuteRequest &r) -> void;
  /// Stops the work of \p key if it runs. False when it does not.
  auto cancel(TimePoint now, const ModelRequestKey &key) -> bool;
  /// Takes a flow packet of \p flow.
  auto onFlow(TimePoint now, PacketKind kind, const FlowKey &flow)
      -> FlowAnswer;
  /// The results that are due.
  auto poll(TimePoint now) -> std::vector<ExecuteResult>;
  /// The answer to a probe; empty when it goes missing.
  auto report(TimePoint now) -> std::optional<UpstreamReport>;

  /// Becomes cold with no notice; what runs goes on.
  auto turnCold(TimePoint now) -> void;
  /// Warm at once; for set-ups that do not study cold start.
  auto warmUp() -> void { Warmth = 1; }
  /// The host dies: flows and running work are lost, nothing is answered.
  auto kill(TimePoint now) -> void;
  /// The host is back at the same address: new incarnation, cold.
  auto restart(TimePoint now) -> void;
  /// Refuses new work as Draining; keeps what it has.
  auto setDraining(bool on) -> void { Draining = on; }
  /// Refuses every new request as Shedding.
  auto setShedding(bool on) -> void { Shedding = on; }
  /// Takes packets and answers none of them.
  auto setUnresponsive(bool on) -> void { Unresponsive = on; }
  auto setSpeed(std::uint32_t percent) -> void {
    Options.SpeedPercent = percent;
  }
  auto setFaults(const AnswerFaults &f) -> void { Answers = f; }
  auto setFaults(const ReportFaults &f) -> void { Reports = f; }
  /// From \p from on, every packet counts as one after withdrawal.
  auto expectNoPackets(std::optional<TimePoint> from) -> void {
    NoPacketsFrom = from;
  }
  /// From \p from on, new work counts as work after leaving.
  auto expectNoNewWork(std::optional<TimePoint> from) -> void {
    NoNewWorkFrom = from;
  }

  auto isCold() const -> bool { return Warmth < 1; }
  auto isAlive() const -> bool { return Alive; }
  auto activeRequests() const -> std::size_t { return Running.size(); }
  auto connections() const -> std::size_t { return Flows.size(); }
  auto holdsFlow(const FlowKey &flow) const -> bool {
    return Flows.contains(flow);
  }
  auto counts() const -> const UpstreamCounts & { return Counts; }
  auto options() const -> const UpstreamOptions & { return Options; }
  /// How often \p key was run, wholly or partly.
  auto runs(const ModelRequestKey &key) const -> std::uint64_t;

private:
  struct Work {
    ExecuteRequest Request;
    TimePoint End;
    bool MeetsDeadline = true;
  };
  struct TimedReport {
    TimePoint Taken;
    UpstreamReport Content;
  };

  auto advance(TimePoint now) -> void;
  auto recordPacket(TimePoint now, bool isNewWork) -> void;
  auto finish(const Work &w, ResultKind kind) -> void;
  auto refuse(TimePoint now, const ExecuteRequest &r, RefusalReason why)
      -> void;
  auto emit(TimePoint at, const ExecuteResult &r) -> void;
  auto refusalFor(TimePoint now, const ExecuteRequest &r)
      -> std::optional<RefusalReason>;
  auto openFlow(TimePoint now, const FlowKey &flow) -> FlowAnswer;
  auto recordColdOverload(TimePoint now) -> void;
  auto addWarmth(double share) -> void;
  auto crash(TimePoint now) -> void;
  auto currentReport() const -> UpstreamReport;
  auto speed() const -> double;

  UpstreamOptions Options;
  std::uint64_t IncarnationNumber;
  double Warmth;
  bool Alive = true;
  bool Draining = false;
  bool Shedding = false;
  bool Unresponsive = false;
  AnswerFaults Answers;
  ReportFaults Reports;
  std::optional<TimePoint> CrashedUntil;
  std::optional<TimePoint> NoPacketsFrom;
  std::optional<TimePoint> NoNewWorkFrom;
  std::vector<Work> Running;
  std::multimap<TimePoint, ExecuteResult> Outgoing;
  std::optional<ExecuteResult> HeldForSwap;
  std::unordered_set<FlowKey> Flows;
  std::deque<TimePoint> RecentFlows;
  std::deque<TimePoint> RecentOverloads;
  std::deque<TimedReport> ReportHistory;
  std::map<ModelRequestKey, std::uint64_t> Runs;
  UpstreamCounts Counts;
};

} // namespace boragebridge::fakes

#endif
