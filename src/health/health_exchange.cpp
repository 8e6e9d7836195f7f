/// \file
/// The part of HealthController that talks with other instances.
#include "health/health_controller.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>

namespace boragebridge {

auto HealthController::onPeerFrame(const PeerFrame &f) -> bool {
  using Handler = bool (HealthController::*)(const PeerFrame &);
  struct Route {
    std::uint16_t Kind;
    Handler Handle;
  };
  static constexpr std::array Routes{
      Route{OpinionsKind, &HealthController::onOpinions},
      Route{SightingsKind, &HealthController::onSightings},
      Route{OpinionRequestKind, &HealthController::onOpinionRequest},
      Route{OpinionPageKind, &HealthController::onOpinionPage}};
  for (const auto &it : Routes)
    if (it.Kind == f.Kind)
      return (this->*it.Handle)(f);
  return false;
}

auto HealthController::onOpinions(const PeerFrame &f) -> bool {
  const auto all = decodeOpinions(f.Body);
  if (!all)
    return false;
  if (merge(*all))
    publish(Context.Time.now());
  return true;
}

auto HealthController::onOpinionPage(const PeerFrame &f) -> bool {
  const auto all = decodeOpinions(f.Body);
  if (!all)
    return false;
  merge(*all);
  const auto last = all->empty() ? UpstreamId{} : all->back().Upstream;
  Sync.onPage(f.SenderAddress, all->size(), last, Context.Time.now());
  IsChanged = true;
  return true;
}

auto HealthController::onOpinionRequest(const PeerFrame &f) -> bool {
  const auto after = decodeOpinionRequest(f.Body);
  if (!after)
    return false;
  if (!Sync.isDone())
    return true;
  const auto &ids = Registry.ids();
  std::vector<UpstreamId> page;
  for (auto it = std::upper_bound(ids.begin(), ids.end(), *after);
       it != ids.end() && page.size() < HealthEntryLimit; ++it)
    if (Registry.find(*it)->State.opinion().Version > 0)
      page.push_back(*it);
  sendOpinions(f.SenderAddress, OpinionPageKind, collect(page));
  return true;
}

auto HealthController::onSightings(const PeerFrame &f) -> bool {
  const auto all = decodeSightings(f.Body);
  if (!all)
    return false;
  for (const auto &it : *all) {
    auto *e = Registry.find(it.Upstream);
    if (e != nullptr && isOwner(it.Upstream))
      assess(*e, it.Content, Context.Time.now());
  }
  return true;
}

auto HealthController::merge(const std::vector<NamedOpinion> &all) -> bool {
  auto isAnyWorse = false;
  for (const auto &it : all) {
    auto *e = Registry.find(it.Upstream);
    if (e == nullptr || it.Content == e->State.opinion())
      continue;
    const auto before = e->State.opinion().Fitness;
    if (replaces(it.Content, e->State.opinion())) {
      e->State.adopt(it.Content, Context.Time.now());
      IsChanged = true;
    }
    const auto after = e->State.opinion().Fitness;
    isAnyWorse = isAnyWorse || isWorse(after, before);
    Gossip.add(it.Upstream, Roles.localPeers().size(), before != after);
  }
  return isAnyWorse;
}

auto HealthController::collect(const std::vector<UpstreamId> &ids)
    -> std::vector<NamedOpinion> {
  std::vector<NamedOpinion> all;
  for (auto id : ids)
    if (const auto *e = Registry.find(id))
      all.push_back({id, e->State.opinion()});
  return all;
}

auto HealthController::sendOpinions(const Endpoint &to, std::uint16_t kind,
                                    const std::vector<NamedOpinion> &all)
    -> void {
  auto body = encodeOpinions(all);
  GossipBytes.add(body.size());
  Gossip.spend(body.size());
  Context.Peers.send(to, kind, std::move(body));
}

auto HealthController::sendToPeers(const std::vector<NamedOpinion> &all,
                                   std::size_t fanOut) -> void {
  auto peers = Roles.localPeers();
  for (std::size_t i = 0; i < fanOut && !peers.empty(); ++i) {
    const auto n = Context.Random.below(peers.size());
    sendOpinions(peers[n], OpinionsKind, all);
    peers[n] = peers.back();
    peers.pop_back();
  }
}

auto HealthController::spreadNow(UpstreamId id) -> void {
  if (Gossip.hasBudget(Context.Time.now()))
    sendToPeers(collect({id}), OpinionGossip::UrgentFanOut);
}

auto HealthController::passOn(TimePoint now) -> void {
  const auto batch = Gossip.takeRound(now);
  if (batch.empty())
    return;
  const auto all = collect(batch);
  sendToPeers(all, OpinionGossip::FanOut);
  const auto &remote = Roles.remotePeers();
  if (!remote.empty())
    sendOpinions(remote[Context.Random.below(remote.size())], OpinionsKind,
                 all);
}

auto HealthController::exchange(TimePoint now) -> void {
  const auto &ids = Registry.ids();
  const auto &peers = Roles.localPeers();
  if (now < NextExchange || ids.empty() || peers.empty())
    return;
  NextExchange = now + Context.Random.jitter(ExchangeInterval);
  std::vector<UpstreamId> batch;
  const auto n = std::min(ExchangeLimit, ids.size());
  for (std::size_t i = 0; i < n; ++i) {
    ExchangeCursor = (ExchangeCursor + 1) % ids.size();
    const auto id = ids[ExchangeCursor];
    if (Registry.find(id)->State.opinion().Version > 0)
      batch.push_back(id);
  }
  if (!batch.empty())
    sendOpinions(peers[Context.Random.below(peers.size())], OpinionsKind,
                 collect(batch));
}

auto HealthController::dump() const -> boost::json::object {
  static constexpr std::array<std::string_view, 4> Names{"cold", "warming",
                                                         "ready", "unfit"};
  constexpr double Percent = 100;
  boost::json::array all;
  const auto view = Context.Board.Health.read();
  for (auto id : Registry.ids()) {
    if (all.size() >= DumpLimit)
      break;
    const auto &e = Registry.entries().at(id);
    const auto it = view->Upstreams.find(id);
    const auto health =
        it == view->Upstreams.end() ? UpstreamHealth{} : it->second;
    all.push_back(
        {{"upstream", e.Source.Name},
         {"fitness", Names.at(static_cast<std::size_t>(health.Fitness))},
         {"ramp_percent", health.Ramp * Percent},
         {"speed_percent", health.SpeedPercent},
         {"may_admit", health.MayAdmit},
         {"version", e.State.opinion().Version},
         {"latency_us", e.State.opinion().Latency.count()},
         {"owner", isOwner(id)}});
  }
  return {{"synchronized", Sync.isDone()},
          {"upstreams", std::move(all)},
          {"upstreams_total", Registry.ids().size()},
          {"changes_waiting", Gossip.waiting()},
          {"changes_dropped", Gossip.dropped()}};
}

} // namespace boragebridge
