#include "edge_model/baseline_placement.h"

#include <algorithm>
#include <array>

namespace boragebridge::edge_model {

namespace {

using Candidates = std::vector<const UpstreamLifetime *>;

class BaselinePolicy final : public PlacementPolicy {
public:
  /// Returns the index of the chosen candidate. Precondition: \p all is not
  /// empty.
  using ChooseFunction = std::size_t (BaselinePolicy::*)(const Candidates &all,
                                                         TimePoint now);

  BaselinePolicy(const PlacementContext &ctx, ChooseFunction f)
      : Ctx(ctx), Function(f) {}

  auto pick(const Opening &o, TimePoint now) -> Pick override {
    const auto service =
        o.Route.Services[chooseService(o.Route, Ctx.Random)].Service;
    Candidates all;
    for (const auto *it : Ctx.Directory.upstreamsOf(service))
      if (Ctx.Directory.mayOpen(*it, now))
        all.push_back(it);
    if (all.empty())
      return {};
    const auto *chosen = all[(this->*Function)(all, now)];
    Ctx.Estimates.onRequestSent(*chosen, now);
    return {chosen, PickReason::Best};
  }

  auto hasOther(const RouteRecord &route, const UpstreamLifetime &u,
                TimePoint now) const -> bool override {
    return std::any_of(
        route.Services.begin(), route.Services.end(), [&](const auto &s) {
          const auto &all = Ctx.Directory.upstreamsOf(s.Service);
          return std::any_of(all.begin(), all.end(), [&](const auto *it) {
            return it != &u && Ctx.Directory.mayOpen(*it, now);
          });
        });
  }
  auto onRetransmitted(const UpstreamLifetime &, TimePoint) -> void override {}

  auto chooseRandomly(const Candidates &all, TimePoint) -> std::size_t {
    return Ctx.Random.below(all.size());
  }
  auto chooseRoundRobin(const Candidates &all, TimePoint) -> std::size_t {
    return NextIndex++ % all.size();
  }
  auto chooseLeastOutstanding(const Candidates &all, TimePoint now)
      -> std::size_t {
    // The scan starts at a random candidate, so that candidates with equal load
    // share the new flows.
    const auto first = Ctx.Random.below(all.size());
    auto best = first;
    for (std::size_t i = 1; i < all.size(); ++i) {
      const auto n = (first + i) % all.size();
      if (Ctx.Estimates.load(*all[n], now) <
          Ctx.Estimates.load(*all[best], now))
        best = n;
    }
    return best;
  }

private:
  PlacementContext Ctx;
  ChooseFunction Function;
  std::size_t NextIndex = 0;
};

struct NamedBaseline {
  std::string_view Name;
  BaselinePolicy::ChooseFunction Function;
};

constexpr std::array Baselines{
    NamedBaseline{"random", &BaselinePolicy::chooseRandomly},
    NamedBaseline{"round_robin", &BaselinePolicy::chooseRoundRobin},
    NamedBaseline{"least_outstanding", &BaselinePolicy::chooseLeastOutstanding},
};

} // namespace

auto baselineNames() -> std::vector<std::string_view> {
  std::vector<std::string_view> all;
  all.reserve(Baselines.size());
  for (const auto &it : Baselines)
    all.push_back(it.Name);
  return all;
}

auto makeBaseline(std::string_view name, const PlacementContext &ctx)
    -> std::unique_ptr<PlacementPolicy> {
  for (const auto &it : Baselines)
    if (it.Name == name)
      return std::make_unique<BaselinePolicy>(ctx, it.Function);
  return nullptr;
}

} // namespace boragebridge::edge_model
