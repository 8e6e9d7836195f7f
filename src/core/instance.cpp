#include "boragebridge/instance.h"

#include <boost/json.hpp>

#include <algorithm>

namespace boragebridge {

auto Controller::dump() const -> boost::json::object { return {}; }

Instance::Instance(InstanceIdentity self, const Environment &env,
                   const ControllerFactory &make)
    : Self(std::move(self)), Context{Self,        env.Time,  env.Random,
                                     env.Packets, env.Peers, env.Platform,
                                     env.Log,     Metrics,   Board},
      Controllers(make(Context)) {}

Instance::~Instance() = default;

auto Instance::start() -> void {
  for (auto &it : Controllers)
    it->start();
}

auto Instance::tick() -> void {
  auto now = Context.Time.now();
  for (auto &it : Controllers)
    it->tick(now);
}

auto Instance::onPacket(PacketOrigin from, const Endpoint &peer,
                        const Packet &p) -> void {
  for (auto &it : Controllers)
    if (it->onPacket(from, peer, p))
      return;
  Metrics
      .counter("packets_unhandled_total",
               "Packets that no controller took; dropped")
      .add();
}

auto Instance::onPeerFrame(const PeerFrame &f) -> bool {
  for (auto &it : Controllers)
    if (it->family() == f.family()) {
      if (it->onPeerFrame(f))
        return true;
      break;
    }
  Metrics
      .counter("peer_frames_bad_total",
               "Peer frames of unknown kind or with a malformed body")
      .add();
  return false;
}

auto Instance::beginStop() -> void {
  for (auto &it : Controllers)
    it->beginStop();
}

auto Instance::isStopped() const -> bool {
  return std::all_of(Controllers.begin(), Controllers.end(),
                     [](const auto &it) { return it->isStopped(); });
}

auto Instance::dumpState() const -> std::string {
  boost::json::object root;
  root["instance"] = Self.Name;
  root["incarnation"] = raw(Self.IncarnationNumber);
  root["revision"] = raw(Board.Configuration.read()->RevisionNumber);
  for (const auto &it : Controllers)
    root[it->name()] = it->dump();
  return boost::json::serialize(root);
}

auto Instance::findController(std::string_view name) -> Controller * {
  for (auto &it : Controllers)
    if (it->name() == name)
      return it.get();
  return nullptr;
}

} // namespace boragebridge
