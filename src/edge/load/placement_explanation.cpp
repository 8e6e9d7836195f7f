#include "edge/load/placement_explanation.h"

#include "net/url_target.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>
#include <tuple>

namespace boragebridge {

namespace {

using Previews =
    std::unordered_map<const UpstreamLifetime *, PreviewedUpstream>;

auto explainUpstream(const PlacementSources &from, const UpstreamLifetime &u,
                     ServiceId service, const PlacementPreview &preview,
                     const Previews &previews, TimePoint now)
    -> UpstreamExplanation {
  const auto &limits = from.Load.limits();
  UpstreamExplanation out;
  out.Name = u.Record.Name;
  out.IsRemote = from.Base.isRemote(u);
  out.IsChosen = preview.Chosen.Upstream == &u;
  out.Class = from.Base.classify(u, service, now);
  out.HasRoom = limits.hasRoom(u, now);
  out.InProgress = limits.inProgress(u, now);
  out.Limit = limits.limit(u);
  if (preview.IsPickers)
    out.Expected = from.Base.expectedTime(u, now);
  const auto it = previews.find(&u);
  if (it == previews.end())
    return out;
  out.IsUsedUnderPressure = it->second.IsUsed;
  out.IsReserved = it->second.IsReserved;
  if (!preview.IsPickers)
    out.Expected = it->second.Expected;
  return out;
}

/// Orders upstreams as the rules without pressure do.
auto isBetter(const UpstreamExplanation &a, const UpstreamExplanation &b)
    -> bool {
  const auto key = [](const auto &it) {
    return std::tuple(!it.IsChosen, it.Class, !it.Expected,
                      it.Expected.value_or(ExactTime::zero()));
  };
  return key(a) < key(b);
}

/// Orders upstreams as the rules for pressure do: those that the route may use
/// come first, and those with room among them.
auto isBetterUnderPressure(const UpstreamExplanation &a,
                           const UpstreamExplanation &b) -> bool {
  const auto rank = [](const auto &it) {
    const auto isCandidate = it.IsUsedUnderPressure && !it.IsReserved &&
                             it.Class == PickReason::Best;
    return std::tuple(!it.IsChosen, !isCandidate, isCandidate && !it.HasRoom);
  };
  return rank(a) == rank(b) ? isBetter(a, b) : rank(a) < rank(b);
}

auto explainService(const PlacementSources &from, const RouteRecord &route,
                    const WeightedService &service, TimePoint now)
    -> ServiceExplanation {
  const auto preview = from.Policy.preview(route, service.Service, now);
  Previews previews;
  for (const auto &it : preview.Upstreams)
    previews.emplace(it.Upstream, it);
  ServiceExplanation out;
  out.Service = service.Service;
  out.Weight = service.Weight;
  out.IsUnderPressure = preview.IsUnderPressure;
  out.IsDecidedByLoad = !preview.IsPickers;
  out.ReservedShare = preview.ReservedShare;
  out.IsTurnedAway = preview.Chosen.Reason == PickReason::Full;
  for (const auto *it : from.Directory.upstreamsOf(service.Service))
    out.Upstreams.push_back(
        explainUpstream(from, *it, service.Service, preview, previews, now));
  // Stable, because of equal upstreams the first one is chosen.
  std::stable_sort(out.Upstreams.begin(), out.Upstreams.end(),
                   out.IsDecidedByLoad ? isBetterUnderPressure : isBetter);
  return out;
}

auto inTenths(double x) -> std::string {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1) << x;
  return out.str();
}

auto inMillisecondTenths(ExactTime t) -> std::string {
  return inTenths(std::chrono::duration<double, std::milli>(t).count());
}

auto outcomeOf(const ServiceExplanation &s) -> std::string {
  if (s.IsTurnedAway)
    return "is turned away: no upstream that the route may use has room";
  if (s.Upstreams.empty())
    return "finds no upstream: none is registered";
  if (!s.Upstreams.front().IsChosen)
    return "finds no upstream: none can take it";
  const auto &first = s.Upstreams.front();
  return "goes to " + first.Name + " (" + std::string(toString(first.Class)) +
         ", " + (first.IsRemote ? "remote" : "local") + ")";
}

auto rulesOf(const ServiceExplanation &s) -> std::string_view {
  if (s.IsDecidedByLoad)
    return "limits and response times learned under load decide";
  return s.IsUnderPressure
             ? "no upstream that the route may use under pressure can take a "
               "request, so the rules without pressure decide"
             : "the rules without pressure decide";
}

auto renderUpstream(const UpstreamExplanation &u, bool hasLimits,
                    std::ostream &out) -> void {
  out << "    " << u.Name << ": " << toString(u.Class) << ", "
      << (u.IsRemote ? "remote" : "local") << ", expected ms "
      << (u.Expected ? inMillisecondTenths(*u.Expected) : "not compared");
  if (hasLimits)
    out << ", in progress " << inTenths(u.InProgress) << " of limit "
        << inTenths(u.Limit) << (u.HasRoom ? "" : " (no room)");
  out << (u.IsUsedUnderPressure ? ", used" : ", not used") << " under pressure";
  out << (u.IsReserved ? ", reserved for more urgent routes" : "")
      << (u.IsChosen ? ", chosen" : "") << '\n';
}

auto renderService(const ServiceExplanation &s, bool hasLimits,
                   std::ostream &out) -> void {
  out << "service " << raw(s.Service) << ", weight " << s.Weight << '\n'
      << "  pressure: " << (s.IsUnderPressure ? "on" : "off") << "; "
      << rulesOf(s) << '\n'
      << "  reserved for more urgent routes: "
      << std::lround(s.ReservedShare * 100) << "% of the upstreams\n"
      << "  a new request " << outcomeOf(s) << '\n'
      << "  upstreams: " << s.Upstreams.size() << ", best first\n";
  const auto listed = std::min(s.Upstreams.size(), MaxExplainedUpstreams);
  for (std::size_t i = 0; i < listed; ++i)
    renderUpstream(s.Upstreams[i], hasLimits, out);
  if (listed < s.Upstreams.size())
    out << "    and " << s.Upstreams.size() - listed << " more\n";
}

} // namespace

auto explainPlacement(const PlacementSources &from, const Endpoint &route,
                      Duration viewAge, TimePoint now)
    -> absl::StatusOr<PlacementExplanation> {
  const auto *r = from.Directory.route(route);
  if (r == nullptr)
    return absl::NotFoundError("no route is configured at " + toString(route));
  PlacementExplanation out;
  out.Route = r->Name;
  out.Address = r->Address;
  out.Priority = r->Priority;
  out.ViewAge = viewAge;
  out.HasLimits = from.Policy.parts().Limits;
  for (const auto &it : r->Services)
    out.Services.push_back(explainService(from, *r, it, now));
  return out;
}

auto isExplainTarget(std::string_view target) -> bool {
  return target.substr(0, target.find('?')) == ExplainPath;
}

auto parseExplainTarget(const std::string &target) -> absl::StatusOr<Endpoint> {
  Endpoint route;
  if (!parseEndpoint(parseUrlTarget(target).text("route"), route))
    return absl::InvalidArgumentError("expected " + std::string(ExplainPath) +
                                      "?route=ADDRESS:PORT, found " + target +
                                      "; nothing is explained");
  return route;
}

auto render(const PlacementExplanation &e) -> std::string {
  std::ostringstream out;
  out << "route " << e.Route << " at " << toString(e.Address) << ", priority "
      << e.Priority << "\nview of the store: "
      << std::chrono::duration_cast<std::chrono::milliseconds>(e.ViewAge)
             .count()
      << " ms old\n";
  for (const auto &it : e.Services)
    renderService(it, e.HasLimits, out);
  return out.str();
}

} // namespace boragebridge
