/// \file
/// Explains to operators where a new request of a route would go now, and why.
///
/// The explanation comes from the code that decides (LoadAwarePolicy::preview()
/// and Picker::classify()), with equal random factors. Asking sends nothing,
/// accounts for nothing and draws no random number. Free of I/O.
#ifndef BORAGEBRIDGE_EDGE_LOAD_PLACEMENT_EXPLANATION_H
#define BORAGEBRIDGE_EDGE_LOAD_PLACEMENT_EXPLANATION_H

#include "edge/load/load_aware_policy.h"

#include "absl/status/statusor.h"

namespace boragebridge {

/// How an upstream stands in the choice for a new request.
struct UpstreamExplanation {
  std::string Name;
  /// It is in another data centre than the instance.
  bool IsRemote = false;
  /// A new request would go to it now.
  bool IsChosen = false;
  /// How good a choice it is; None if it must not be chosen.
  PickReason Class = PickReason::None;
  /// The instance uses it while the service is under pressure.
  bool IsUsedUnderPressure = false;
  /// It is reserved for routes that are more urgent than the one asked for.
  bool IsReserved = false;
  /// It takes one more request of this instance well.
  bool HasRoom = true;
  /// Expected response time with the penalty of another data centre, without
  /// jitter. Empty if the instance does not compare this upstream.
  std::optional<ExactTime> Expected;
  /// Requests of the instance that the upstream is processing.
  double InProgress = 0;
  /// How many requests of the instance the upstream takes well at a time.
  double Limit = 0;

  auto operator==(const UpstreamExplanation &) const -> bool = default;
};

/// The choice among the upstreams of one service of a route.
struct ServiceExplanation {
  ServiceId Service{};
  /// New requests are divided among the services of the route by weight.
  unsigned Weight = 1;
  bool IsUnderPressure = false;
  /// Limits and response times learned under load decide. If not although the
  /// service is under pressure, none of the upstreams that the route may use
  /// under pressure can take a request, and the rules without pressure decide.
  bool IsDecidedByLoad = false;
  /// Share of the upstreams that the route leaves to more urgent routes.
  double ReservedShare = 0;
  /// A new request would be turned away now.
  bool IsTurnedAway = false;
  /// Best first. The first one is chosen, if one is.
  std::vector<UpstreamExplanation> Upstreams;

  auto operator==(const ServiceExplanation &) const -> bool = default;
};

/// A plain value.
struct PlacementExplanation {
  std::string Route;
  Endpoint Address;
  /// 0 is the most urgent.
  unsigned Priority = 0;
  /// Age of the instance's oldest view of the store.
  Duration ViewAge{};
  /// Requests in progress and limits are counted. If not, those of the
  /// upstreams mean nothing.
  bool HasLimits = true;
  std::vector<ServiceExplanation> Services;

  auto operator==(const PlacementExplanation &) const -> bool = default;
};

/// The parts of an instance that decide about new flows. They are not owned and
/// must outlive the object.
struct PlacementSources {
  const UpstreamDirectory &Directory;
  const Picker &Base;
  const LoadControl &Load;
  const LoadAwarePolicy &Policy;
};

/// Upstreams of a service that render() lists at most; further ones are
/// counted.
inline constexpr std::size_t MaxExplainedUpstreams = 200;

/// Explains the choice for the route at \p route; NotFound if none is
/// configured there. \p viewAge is passed on. Takes time in proportion to
/// n log n for n upstreams. Call from the thread that uses the sources.
auto explainPlacement(const PlacementSources &from, const Endpoint &route,
                      Duration viewAge, TimePoint now)
    -> absl::StatusOr<PlacementExplanation>;

/// Path at which an instance explains a route.
inline constexpr std::string_view ExplainPath = "/explain";

/// Whether the HTTP request target \p target asks for an explanation, in a
/// valid form or not. Safe to call from any thread.
auto isExplainTarget(std::string_view target) -> bool;

/// The route that \p target asks for, as in "/explain?route=ADDRESS:PORT";
/// InvalidArgument if it names none. Safe to call from any thread.
auto parseExplainTarget(const std::string &target) -> absl::StatusOr<Endpoint>;

/// \p e as text for operators, in lines that end with a newline. Times are in
/// milliseconds. Safe to call from any thread.
auto render(const PlacementExplanation &e) -> std::string;

} // namespace boragebridge

#endif
