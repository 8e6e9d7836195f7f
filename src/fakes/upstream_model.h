/// \file
/// A model of one upstream host, free of I/O, that is given the time with each
/// call. Tests and benches call it directly; the stand-in daemon adds sockets.
///
/// The model counts every violation of the invariants that concern an upstream,
/// so that a test only has to compare the counts.
///
/// Example:
/// \code
///   UpstreamModel host({.Service = booking}, clock.now());
///   host.execute(clock.now(), {.Key = {caller, 1}, .Service = booking});
///   clock.advance(std::chrono::milliseconds(100)); // 50 ms of work, cold
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

/// Identifies one request by its caller and the caller's number for it. Retries
/// keep the key.
struct ModelRequestKey {
  CallerId Caller{};
  std::uint64_t Number = 0;
  auto operator<=>(const ModelRequestKey &) const = default;
};

/// A request to execute at an upstream.
struct ExecuteRequest {
  ModelRequestKey Key;
  std::uint32_t Attempt = 0;
  ServiceId Service{};
  /// Time that a warm host of 100 percent speed needs for the request.
  Duration Work = std::chrono::milliseconds(50);
  /// Measured from arrival; zero: no deadline.
  Duration Deadline{};
  /// Identifies where to send the answer; copied into the result.
  std::uint64_t Route = 0;
};

enum class ResultKind : std::uint8_t {
  Answer,
  Refused,          ///< Not run at all.
  DeadlineExceeded, ///< Stopped at the deadline, partly run.
  Cancelled,        ///< Stopped by a cancellation, partly run.
};

/// The result of one attempt.
struct ExecuteResult {
  ModelRequestKey Key;
  std::uint32_t Attempt = 0;
  ResultKind Kind = ResultKind::Answer;
  /// Set for Refused.
  RefusalReason Reason = RefusalReason::Overloaded;
  std::uint64_t Route = 0;
};

/// The answer of an upstream to a flow packet.
enum class FlowAnswer : std::uint8_t { Accepted, Reset, NoAnswer };

/// Faults of the answers. They stay in effect until they are set again.
struct AnswerFaults {
  /// Delay added to every result, refusals included.
  Duration Late{};
  bool Duplicate = false;
  /// The order of each pair of consecutive answers is swapped: the first is
  /// held until the second is sent, and follows it.
  bool Swapped = false;
};

/// Faults of the reports. They stay in effect until they are set again.
struct ReportFaults {
  Duration Lag{};
  bool Missing = false;
  /// Reports that the host is idle and warm, whatever its state.
  bool ClaimsIdle = false;
  /// Reports that the host is full and cold, whatever its state.
  bool ClaimsFull = false;
};

/// Options of an UpstreamModel.
struct UpstreamOptions {
  ServiceId Service{};
  /// Service address of the flows that the host serves.
  Endpoint ServiceAddress;
  std::uint32_t Slots = 2;
  std::uint32_t Connections = 2000;
  /// Speed in percent of an ordinary host's.
  std::uint32_t SpeedPercent = 100;
  bool StartsCold = true;
  std::uint64_t Seed = 1;
};

/// Counts that the invariants are checked against.
struct UpstreamCounts {
  std::uint64_t Answered = 0;
  std::uint64_t Refused = 0;
  /// Sum of ExecuteRequest::Work of the answered requests.
  Duration WorkDone{};
  /// Requests beyond Slots while warm, and flows beyond Connections.
  std::uint64_t OverLimit = 0;
  /// Requests and flows beyond what a cold upstream can handle.
  std::uint64_t ColdOverLimit = 0;
  /// Number of times that overload while cold crashed the host.
  std::uint64_t Crashes = 0;
  /// Packets that belong to another service.
  std::uint64_t Misdelivered = 0;
  /// Requests that ran more than once.
  std::uint64_t RepeatedRuns = 0;
  std::uint64_t PacketsAfterWithdrawal = 0;
  std::uint64_t NewWorkAfterDrain = 0;
};

/// The model. Not thread-safe. Precondition: times passed to it never decrease.
class UpstreamModel {
public:
  /// Number of answers and new flows after which a cold upstream is warm.
  static constexpr std::uint32_t AnswersToWarm = 20;
  /// New flows per second that a cold upstream can handle.
  static constexpr std::uint32_t ColdFlowsPerSecond = 5;
  /// Number of requests and flows over the cold limit within a second that
  /// crash the host.
  static constexpr std::uint32_t ColdTolerance = 6;
  /// Time for which the host refuses everything after a crash.
  static constexpr Duration CrashRecoveryTime = std::chrono::seconds(3);
  /// Speed of a cold upstream relative to the same upstream when warm.
  static constexpr double ColdSpeedShare = 0.5;

  UpstreamModel(UpstreamOptions opt, TimePoint now);

  /// Accepts or refuses \p r. poll() returns the result in both cases.
  auto execute(TimePoint now, const ExecuteRequest &r) -> void;
  /// Stops the request \p key. Returns false if it is not running.
  auto cancel(TimePoint now, const ModelRequestKey &key) -> bool;
  /// Handles a packet of flow \p flow.
  auto onFlow(TimePoint now, PacketKind kind, const FlowKey &flow)
      -> FlowAnswer;
  /// Returns the results that are due and removes them.
  auto poll(TimePoint now) -> std::vector<ExecuteResult>;
  /// Returns the answer to a probe, or nothing if the probe goes unanswered.
  auto report(TimePoint now) -> std::optional<UpstreamReport>;

  /// Makes the host cold without notice. Running work continues.
  auto turnCold(TimePoint now) -> void;
  /// Makes the host warm at once, for tests that do not concern cold start.
  auto warmUp() -> void { Warmth = 1; }
  /// Ends the host: flows and running work are lost, and no packet is answered.
  auto kill(TimePoint now) -> void;
  /// Starts the host again at the same address, cold and with a new
  /// incarnation.
  auto restart(TimePoint now) -> void;
  /// While on, new work is refused as Draining; existing work and flows
  /// continue.
  auto setDraining(bool on) -> void { Draining = on; }
  /// While on, every new request is refused as Shedding.
  auto setShedding(bool on) -> void { Shedding = on; }
  /// While on, packets that arrive are not answered. Results of work that
  /// already runs still come out of poll().
  auto setUnresponsive(bool on) -> void { Unresponsive = on; }
  auto setSpeed(std::uint32_t percent) -> void {
    Options.SpeedPercent = percent;
  }
  auto setFaults(const AnswerFaults &f) -> void { Answers = f; }
  auto setFaults(const ReportFaults &f) -> void { Reports = f; }
  /// Counts every packet from time \p from on as a packet after withdrawal;
  /// nullopt ends this.
  auto expectNoPackets(std::optional<TimePoint> from) -> void {
    NoPacketsFrom = from;
  }
  /// Counts new work from time \p from on as work after the start of a
  /// drain; nullopt ends this.
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
  /// Returns how often request \p key was run, wholly or partly.
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
