#include "fakes/fleet.h"

#include <algorithm>

namespace boragebridge::fakes {

struct Fleet::Node final : PacketSink {
  struct QueuedPacket {
    PacketOrigin From;
    Endpoint Peer;
    Packet Content;
  };

  Node(Fleet &owner, InstanceIdentity self)
      : Owner(owner), Self(std::move(self)), Random(owner.Random.next()) {}

  auto sendToUpstream(const Endpoint &to, const Packet &p) -> void override {
    if (Owner.OnUpstreamPacket)
      Owner.OnUpstreamPacket(*Process, to, p);
  }
  auto sendToCaller(const Packet &p) -> void override {
    if (Owner.OnCallerPacket)
      Owner.OnCallerPacket(*Process, p);
  }

  Fleet &Owner;
  InstanceIdentity Self;
  SeededRandom Random;
  std::unique_ptr<PeerLink> Link;
  std::unique_ptr<PlatformClient> Platform;
  std::unique_ptr<Instance> Process;
  std::vector<QueuedPacket> QueuedPackets;
  bool Paused = false;
  bool Stopping = false;
};

Fleet::Fleet(FleetOptions opt)
    : Random(opt.Seed), Network(Time, opt.Seed), Options(std::move(opt)),
      NextTick(Time.now()) {}

Fleet::~Fleet() = default;

auto Fleet::addInstance(const std::string &name, const std::string &dc)
    -> Instance & {
  constexpr std::uint32_t FirstAddress = 0x0A000001;
  constexpr std::uint16_t PeerPort = 7000;
  InstanceIdentity self;
  self.Name = name;
  self.Id = idFromName<InstanceId>(name);
  self.IncarnationNumber = Incarnation{Random.next()};
  self.DataCentre = idFromName<DataCentreId>(dc);
  auto old = Nodes.find(name);
  self.PeerAddress =
      old != Nodes.end()
          ? old->second->Self.PeerAddress
          : Endpoint{FirstAddress + static_cast<std::uint32_t>(Nodes.size()),
                     PeerPort};
  for (const auto &[other, it] : Nodes)
    if (other != name)
      self.Seeds.push_back(it->Self.PeerAddress);

  auto node = std::make_unique<Node>(*this, std::move(self));
  auto &n = *node;
  n.Link =
      Network.attach(n.Self.PeerAddress, n.Self.Id, n.Self.IncarnationNumber,
                     n.Self.DataCentre, [&n](const PeerFrame &f) {
                       return n.Process->onPeerFrame(f);
                     });
  n.Platform = Options.MakePlatform ? Options.MakePlatform(n.Self)
                                    : std::make_unique<UnresponsivePlatform>();
  Environment env{Time,        n.Random,
                  n,           *n.Link,
                  *n.Platform, Options.Log != nullptr ? *Options.Log : NoLog};
  n.Process = std::make_unique<Instance>(n.Self, env, Options.MakeControllers);
  Nodes[name] = std::move(node);
  n.Process->start();
  return *n.Process;
}

auto Fleet::kill(const std::string &name) -> void {
  auto it = Nodes.find(name);
  if (it == Nodes.end() || it->second->Process == nullptr)
    return;
  Network.detach(it->second->Self.PeerAddress);
  it->second->Platform.reset();
  it->second->Process.reset();
}

auto Fleet::setPaused(const std::string &name, bool paused) -> void {
  auto &n = *Nodes.at(name);
  if (n.Process == nullptr)
    return;
  n.Paused = paused;
  if (!paused) {
    auto queued = std::move(n.QueuedPackets);
    n.QueuedPackets.clear();
    for (const auto &h : queued)
      n.Process->onPacket(h.From, h.Peer, h.Content);
  }
  Network.setPaused(n.Self.PeerAddress, paused);
}

auto Fleet::beginStop(const std::string &name) -> void {
  auto &n = *Nodes.at(name);
  if (n.Process == nullptr)
    return;
  n.Stopping = true;
  n.Process->beginStop();
}

auto Fleet::isRunning(const std::string &name) const -> bool {
  auto it = Nodes.find(name);
  return it != Nodes.end() && it->second->Process != nullptr;
}

auto Fleet::instance(const std::string &name) -> Instance & {
  return *Nodes.at(name)->Process;
}

auto Fleet::running() -> std::vector<Instance *> {
  std::vector<Instance *> all;
  for (auto &[name, it] : Nodes)
    if (it->Process != nullptr)
      all.push_back(it->Process.get());
  return all;
}

auto Fleet::publishConfiguration(const std::string &name,
                                 const Configuration &cfg) -> void {
  auto &board = instance(name).board();
  board.Configuration.publish(cfg);
  board.Readiness.publish({true, true});
}

auto Fleet::publishConfiguration(const Configuration &cfg) -> void {
  for (auto *it : running())
    publishConfiguration(it->identity().Name, cfg);
}

auto Fleet::publishMembership() -> void {
  MembershipView view;
  for (const auto &[name, it] : Nodes) {
    if (it->Process == nullptr)
      continue;
    const auto state = it->Stopping ? MemberState::Leaving : MemberState::Alive;
    view.Members.push_back({it->Self.Id, it->Self.IncarnationNumber,
                            it->Self.DataCentre, it->Self.PeerAddress, state});
  }
  std::sort(view.Members.begin(), view.Members.end(),
            [](const Member &a, const Member &b) { return a.Id < b.Id; });
  for (auto *it : running())
    it->board().Membership.publish(view);
}

auto Fleet::fromFabric(const std::string &name, const Packet &p) -> void {
  deliver(name, PacketOrigin::Fabric, {}, p);
}

auto Fleet::fromUpstream(const std::string &name, const Endpoint &upstream,
                         const Packet &p) -> void {
  deliver(name, PacketOrigin::Upstream, upstream, p);
}

auto Fleet::deliver(const std::string &name, PacketOrigin from,
                    const Endpoint &peer, const Packet &p) -> void {
  auto it = Nodes.find(name);
  if (it == Nodes.end() || it->second->Process == nullptr)
    return;
  auto &n = *it->second;
  if (!n.Paused) {
    n.Process->onPacket(from, peer, p);
    return;
  }
  if (n.QueuedPackets.size() < PausedPacketLimit)
    n.QueuedPackets.push_back({from, peer, p});
}

auto Fleet::run(Duration d) -> void {
  const auto end = Time.now() + d;
  while (Time.now() < end) {
    Time.advance(Step);
    Network.deliver();
    if (Time.now() < NextTick)
      continue;
    NextTick = Time.now() + Instance::TickInterval;
    std::vector<std::string> stopped;
    for (auto &[name, it] : Nodes) {
      if (it->Process == nullptr || it->Paused)
        continue;
      it->Process->tick();
      if (it->Stopping && it->Process->isStopped())
        stopped.push_back(name);
    }
    for (const auto &name : stopped)
      kill(name);
  }
}

} // namespace boragebridge::fakes
