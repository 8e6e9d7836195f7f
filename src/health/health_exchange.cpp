/// \file
/// The part of HealthController that exchanges messages with other instances.
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
      Route{HealthStatusesKind, &HealthController::onHealthStatuses},
      Route{ObservationsKind, &HealthController::onObservations},
      Route{HealthStatusRequestKind, &HealthController::onHealthStatusRequest},
      Route{HealthStatusPageKind, &HealthController::onHealthStatusPage}};
  for (const auto &it : Routes)
    if (it.Kind == f.Kind)
      return (this->*it.Handle)(f);
  return false;
}

auto HealthController::onHealthStatuses(const PeerFrame &f) -> bool {
  const auto all = decodeHealthStatuses(f.Body);
  if (!all)
    return false;
  if (merge(*all))
    publish(Context.Time.now());
  return true;
}

auto HealthController::onHealthStatusPage(const PeerFrame &f) -> bool {
  const auto all = decodeHealthStatuses(f.Body);
  if (!all)
    return false;
  merge(*all);
  const auto last = all->empty() ? UpstreamId{} : all->back().Upstream;
  Sync.onPage(f.SenderAddress, all->size(), last, Context.Time.now());
  IsChanged = true;
  return true;
}

auto HealthController::onHealthStatusRequest(const PeerFrame &f) -> bool {
  const auto after = decodeHealthStatusRequest(f.Body);
  if (!after)
    return false;
  if (!Sync.isDone())
    return true;
  const auto &ids = Registry.ids();
  std::vector<UpstreamId> page;
  for (auto it = std::upper_bound(ids.begin(), ids.end(), *after);
       it != ids.end() && page.size() < HealthEntryLimit; ++it)
    if (Registry.find(*it)->Assessor.status().Version > 0)
      page.push_back(*it);
  sendStatuses(f.SenderAddress, HealthStatusPageKind, statusesOf(page));
  return true;
}

auto HealthController::onObservations(const PeerFrame &f) -> bool {
  const auto all = decodeObservations(f.Body);
  if (!all)
    return false;
  for (const auto &it : *all) {
    auto *e = Registry.find(it.Upstream);
    if (e != nullptr && isOwner(it.Upstream))
      assess(*e, it.Content, Context.Time.now());
  }
  return true;
}

auto HealthController::merge(const std::vector<HealthStatusEntry> &all)
    -> bool {
  auto isAnyWorse = false;
  for (const auto &it : all) {
    auto *e = Registry.find(it.Upstream);
    if (e == nullptr || it.Content == e->Assessor.status())
      continue;
    const auto before = e->Assessor.status().Fitness;
    if (replaces(it.Content, e->Assessor.status())) {
      e->Assessor.adopt(it.Content, Context.Time.now());
      IsChanged = true;
    }
    const auto after = e->Assessor.status().Fitness;
    isAnyWorse = isAnyWorse || isWorse(after, before);
    Gossip.add(it.Upstream, Roles.localPeers().size(), before != after);
  }
  return isAnyWorse;
}

auto HealthController::statusesOf(const std::vector<UpstreamId> &ids)
    -> std::vector<HealthStatusEntry> {
  std::vector<HealthStatusEntry> all;
  for (auto id : ids)
    if (const auto *e = Registry.find(id))
      all.push_back({id, e->Assessor.status()});
  return all;
}

auto HealthController::sendStatuses(const Endpoint &to, std::uint16_t kind,
                                    const std::vector<HealthStatusEntry> &all)
    -> void {
  auto body = encodeHealthStatuses(all);
  GossipBytes.add(body.size());
  Gossip.charge(body.size());
  Context.Peers.send(to, kind, std::move(body));
}

auto HealthController::sendToPeers(const std::vector<HealthStatusEntry> &all,
                                   std::size_t fanOut) -> void {
  auto peers = Roles.localPeers();
  for (std::size_t i = 0; i < fanOut && !peers.empty(); ++i) {
    const auto n = Context.Random.below(peers.size());
    sendStatuses(peers[n], HealthStatusesKind, all);
    peers[n] = peers.back();
    peers.pop_back();
  }
}

auto HealthController::sendUrgentUpdate(UpstreamId id) -> void {
  if (Gossip.hasBudget(Context.Time.now()))
    sendToPeers(statusesOf({id}), HealthStatusGossip::UrgentFanOut);
}

auto HealthController::sendGossipRound(TimePoint now) -> void {
  const auto batch = Gossip.takeRound(now);
  if (batch.empty())
    return;
  const auto all = statusesOf(batch);
  sendToPeers(all, HealthStatusGossip::FanOut);
  const auto &remote = Roles.remotePeers();
  if (!remote.empty())
    sendStatuses(remote[Context.Random.below(remote.size())],
                 HealthStatusesKind, all);
}

auto HealthController::exchangeWithPeer(TimePoint now) -> void {
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
    if (Registry.find(id)->Assessor.status().Version > 0)
      batch.push_back(id);
  }
  if (!batch.empty())
    sendStatuses(peers[Context.Random.below(peers.size())], HealthStatusesKind,
                 statusesOf(batch));
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
        {{"upstream", e.Config.Name},
         {"fitness", Names.at(static_cast<std::size_t>(health.Fitness))},
         {"ramp_percent", health.Ramp * Percent},
         {"speed_percent", health.SpeedPercent},
         {"may_admit", health.MayAdmit},
         {"version", e.Assessor.status().Version},
         {"latency_us", e.Assessor.status().Latency.count()},
         {"owner", isOwner(id)}});
  }
  return {{"synchronized", Sync.isDone()},
          {"upstreams", std::move(all)},
          {"upstreams_total", Registry.ids().size()},
          {"changes_waiting", Gossip.waiting()},
          {"changes_dropped", Gossip.dropped()}};
}

} // namespace boragebridge
