/// \file
/// The promises that the model checks while it runs, from what upstreams and
/// callers see. A promise with a time bound holds for instances that have been
/// calm for a while, and counts from the store's acknowledgement.
#ifndef BORAGEBRIDGE_EDGE_MODEL_RULES_H
#define BORAGEBRIDGE_EDGE_MODEL_RULES_H

#include "edge/forwarder.h"
#include "edge_model/fault_tracker.h"
#include "edge_model/model_upstream.h"

#include <array>
#include <deque>
#include <set>

namespace boragebridge::edge_model {

enum class Rule : std::uint8_t {
  /// An upstream that leaves gets a new flow too late.
  Drain,
  /// An upstream of a withdrawn data centre gets a new flow too late.
  Withdrawal,
  /// A route that is there is refused, or one that was dropped is served.
  Configuration,
  /// A flow is opened at an upstream of another service.
  Service,
  /// A cold upstream gets more new flows in a second than it bears.
  Cold,
  /// An instance resets an open flow whose upstream lives.
  Reset,
  /// Packets of an open flow go to other upstreams.
  FlowAffinity,
  /// A request that may not be repeated ran twice.
  AtMostOnce,
  Count,
};

auto toString(Rule r) -> std::string_view;

struct RuleLimits {
  Duration Drain = std::chrono::milliseconds(3000);
  Duration Withdrawal = std::chrono::milliseconds(5000);
  Duration Configuration = std::chrono::milliseconds(3000);
  /// A part is calm when it was not disturbed for so long.
  Duration RecoveryTime = std::chrono::milliseconds(4000);
  /// New flows that a cold upstream bears in a second.
  std::size_t ColdPerSecond = 5;
  Duration FlowAffinity = std::chrono::milliseconds(2000);
  unsigned MisroutedPackets = 3;
};

/// One breach, for the report.
struct RuleViolation {
  Rule Broken = Rule::Count;
  TimePoint At;
  std::string Details;
};

/// Not thread-safe.
class RuleChecker {
public:
  explicit RuleChecker(RuleLimits limits = {}) : Limits(limits) {}

  auto faults() -> FaultTracker & { return Faults; }
  /// Name of the store among the disturbances.
  static auto store() -> std::string { return "store"; }

  /// The store accepted these at \p now.
  auto onDrainAccepted(const std::string &upstream, TimePoint now) -> void;
  auto onWithdrawn(DataCentreId d, bool withdrawn, TimePoint now) -> void;
  auto onRoutes(const EdgeConfiguration &c, TimePoint now) -> void;

  /// \p u took the opening packet of a flow that \p instance sent on.
  auto checkOpening(const ModelUpstream &u, const CallerPacket &p,
                    const std::string &instance, TimePoint now) -> void;
  /// \p instance reset the flow of \p p for \p reason.
  auto checkReset(const CallerPacket &p, const std::string &instance,
                  EdgeReason reason, TimePoint now) -> void;
  /// \p u got a later packet of a flow; \p hasFlow: it holds that flow.
  auto checkPacket(const ModelUpstream &u, const CallerPacket &p, bool hasFlow,
                   TimePoint now) -> void;
  auto checkRun(const Request &r, TimePoint now) -> void;

  auto count(Rule r) const -> std::uint64_t {
    return Counts.at(static_cast<std::size_t>(r));
  }
  auto total() const -> std::uint64_t;
  /// The first breaches, at most MaxViolations.
  auto violations() const -> const std::vector<RuleViolation> & {
    return Violations;
  }

private:
  static constexpr std::size_t MaxViolations = 20;
  /// Who holds an open flow, and its packets that went elsewhere since.
  struct OpenFlow {
    const ModelUpstream *Upstream = nullptr;
    unsigned Misrouted = 0;
    TimePoint FirstMisroutedAt;
  };
  struct Route {
    ServiceId Service{};
    std::optional<TimePoint> Added;
    std::optional<TimePoint> Removed;
  };

  auto isInstanceUnaffected(const std::string &instance, TimePoint now) const
      -> bool;
  /// Whether \p since lies further back than \p limit, seen by an instance in
  /// touch.
  auto isOverdue(const std::optional<TimePoint> &since, Duration limit,
                 const std::string &instance, TimePoint now) const -> bool;
  auto checkCold(const ModelUpstream &u, TimePoint now) -> void;
  auto recordViolation(Rule r, std::string what, TimePoint now) -> void;

  RuleLimits Limits;
  FaultTracker Faults;
  std::map<std::string, TimePoint> DrainingSince;
  std::map<DataCentreId, TimePoint> WithdrawnSince;
  std::unordered_map<Endpoint, Route> Routes;
  std::unordered_map<FlowKey, OpenFlow> OpenFlows;
  std::map<std::string, std::deque<TimePoint>> RecentColdOpenings;
  std::array<std::uint64_t, static_cast<std::size_t>(Rule::Count)> Counts{};
  std::vector<RuleViolation> Violations;
};

} // namespace boragebridge::edge_model

#endif
