/// \file
/// The rules that the model checks while it runs, from the packets that
/// upstreams and callers get. A rule with a time bound applies only to
/// instances that no fault has affected for RuleLimits::RecoveryTime; the bound
/// counts from the store's acknowledgement of the change.
#ifndef BORAGEBRIDGE_EDGE_MODEL_RULES_H
#define BORAGEBRIDGE_EDGE_MODEL_RULES_H

#include "edge/forwarder.h"
#include "edge_model/fault_tracker.h"
#include "edge_model/model_upstream.h"

#include <array>
#include <deque>
#include <set>

namespace boragebridge::edge_model {

/// Each value names the rule; its comment says what violates the rule.
enum class Rule : std::uint8_t {
  /// A draining upstream gets a new flow after RuleLimits::Drain.
  Drain,
  /// An upstream of a withdrawn data centre gets a new flow after
  /// RuleLimits::Withdrawal.
  Withdrawal,
  /// A configured route is refused, a removed route is still served, or a route
  /// is served by its former service, after RuleLimits::Configuration.
  Configuration,
  /// A flow is opened at an upstream of a service that its route never had.
  Service,
  /// A cold upstream gets more than RuleLimits::ColdPerSecond new flows within
  /// one second.
  Cold,
  /// An instance resets an open flow whose upstream is running, unless the
  /// upstream's data centre is withdrawn or a fault has affected the upstream,
  /// the instance or the store during RuleLimits::RecoveryTime.
  Reset,
  /// Packets of an open flow reach other upstreams than the one that has the
  /// flow, unless a fault has affected that one during
  /// RuleLimits::RecoveryTime.
  FlowAffinity,
  /// A request that is not idempotent runs more than once.
  AtMostOnce,
  Count,
};

/// Returns the name of \p r, as reports print it.
auto toString(Rule r) -> std::string_view;

/// Bounds of the rules. All times count on the model's clock.
struct RuleLimits {
  Duration Drain = std::chrono::milliseconds(3000);
  Duration Withdrawal = std::chrono::milliseconds(5000);
  Duration Configuration = std::chrono::milliseconds(3000);
  /// A component counts as unaffected when no fault has affected it for this
  /// time.
  Duration RecoveryTime = std::chrono::milliseconds(4000);
  /// New flows that a cold upstream can handle in a second.
  std::size_t ColdPerSecond = 5;
  /// Rule::FlowAffinity is violated when at least MisroutedPackets packets of a
  /// flow reach other upstreams over at least this time.
  Duration FlowAffinity = std::chrono::milliseconds(2000);
  unsigned MisroutedPackets = 3;
};

/// One violation of a rule, for the report.
struct RuleViolation {
  Rule Broken = Rule::Count;
  TimePoint At;
  std::string Details;
};

/// Checks the rules and counts their violations. Not thread-safe.
class RuleChecker {
public:
  explicit RuleChecker(RuleLimits limits = {}) : Limits(limits) {}

  auto faults() -> FaultTracker & { return Faults; }
  /// Returns the name of the store in faults().
  static auto store() -> std::string { return "store"; }

  /// \p upstream starts again under its name, and does not drain.
  auto onUpstreamStarted(const std::string &upstream) -> void {
    DrainingSince.erase(upstream);
  }
  /// The store accepted these changes at \p now.
  auto onDrainAccepted(const std::string &upstream, TimePoint now) -> void;
  auto onWithdrawn(DataCentreId d, bool withdrawn, TimePoint now) -> void;
  auto onRoutes(const EdgeConfiguration &c, TimePoint now) -> void;

  /// \p u accepted the opening packet \p p, which \p instance had forwarded.
  auto checkOpening(const ModelUpstream &u, const CallerPacket &p,
                    const std::string &instance, TimePoint now) -> void;
  /// \p instance reset the flow of \p p for \p reason.
  auto checkReset(const CallerPacket &p, const std::string &instance,
                  EdgeReason reason, TimePoint now) -> void;
  /// \p u received \p p, a later packet of a flow. \p hasFlow says whether \p u
  /// has that flow.
  auto checkPacket(const ModelUpstream &u, const CallerPacket &p, bool hasFlow,
                   TimePoint now) -> void;
  /// An upstream began to work on \p r.
  auto checkRun(const Request &r, TimePoint now) -> void;

  auto count(Rule r) const -> std::uint64_t {
    return Counts.at(static_cast<std::size_t>(r));
  }
  auto total() const -> std::uint64_t;
  /// Returns the first violations, at most MaxViolations.
  auto violations() const -> const std::vector<RuleViolation> & {
    return Violations;
  }

private:
  static constexpr std::size_t MaxViolations = 20;
  /// The upstream that has an open flow, and the packets of the flow that have
  /// reached other upstreams since the last packet that reached it.
  struct OpenFlow {
    const ModelUpstream *Upstream = nullptr;
    unsigned Misrouted = 0;
    TimePoint FirstMisroutedAt;
  };
  struct Route {
    ServiceId Service{};
    std::set<ServiceId> FormerServices;
    std::optional<TimePoint> ServiceSince;
    std::optional<TimePoint> Added;
    std::optional<TimePoint> Removed;
  };

  /// Returns whether neither \p instance nor the store is affected by a fault.
  auto isInstanceUnaffected(const std::string &instance, TimePoint now) const
      -> bool;
  /// Returns whether \p since lies more than \p limit back and \p instance is
  /// unaffected, so that it must have applied the change.
  auto isOverdue(const std::optional<TimePoint> &since, Duration limit,
                 const std::string &instance, TimePoint now) const -> bool;
  /// Checks that the route of \p p allows its flow to be opened at \p u.
  auto checkRoute(const UpstreamRecord &u, const CallerPacket &p,
                  const std::string &instance, TimePoint now) -> void;
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
