#include "fakes/fake_network.h"

namespace boragebridge::fakes {

class FakeNetwork::Link final : public PeerLink {
public:
  Link(FakeNetwork &net, const Endpoint &self, InstanceId id, Incarnation inc)
      : Net(net), Self(self), Id(id), IncarnationNumber(inc) {}
  auto send(const Endpoint &to, std::uint16_t kind, Bytes body, Priority)
      -> void override {
    Net.transmit(Self, to,
                 PeerFrame{Id, IncarnationNumber, Self, kind, std::move(body)});
  }

private:
  FakeNetwork &Net;
  Endpoint Self;
  InstanceId Id;
  Incarnation IncarnationNumber;
};

FakeNetwork::FakeNetwork(ManualClock &clock, std::uint64_t seed)
    : Time(clock), Random(seed) {}

FakeNetwork::~FakeNetwork() = default;

auto FakeNetwork::attach(const Endpoint &self, InstanceId id, Incarnation inc,
                         DataCentreId dc, Receiver to)
    -> std::unique_ptr<PeerLink> {
  Nodes[self] = Node{id, inc, dc, std::move(to), false, {}};
  return std::make_unique<Link>(*this, self, id, inc);
}

auto FakeNetwork::detach(const Endpoint &self) -> void { Nodes.erase(self); }

auto FakeNetwork::setPaused(const Endpoint &self, bool paused) -> void {
  auto it = Nodes.find(self);
  if (it == Nodes.end())
    return;
  it->second.Paused = paused;
  if (paused)
    return;
  auto queued = std::move(it->second.QueuedFrames);
  it->second.QueuedFrames.clear();
  for (auto &f : queued)
    arrive(self, std::move(f));
}

auto FakeNetwork::setDelays(Duration local, Duration remote) -> void {
  LocalDelay = local;
  RemoteDelay = remote;
}

/// Adds or removes a cut in both directions.
template <typename Set, typename T>
static auto changeCut(Set &cuts, const T &a, const T &b, bool cut) -> void {
  if (cut) {
    cuts.insert({a, b});
    cuts.insert({b, a});
    return;
  }
  cuts.erase({a, b});
  cuts.erase({b, a});
}

auto FakeNetwork::setCut(DataCentreId a, DataCentreId b, bool cut) -> void {
  changeCut(CutDataCentres, a, b, cut);
}

auto FakeNetwork::setCut(const Endpoint &a, const Endpoint &b, bool cut)
    -> void {
  changeCut(CutInstances, a, b, cut);
}

auto FakeNetwork::after(Duration d, std::function<void()> f) -> void {
  ScheduledCalls.emplace(Time.now() + d, std::move(f));
}

auto FakeNetwork::deliver() -> void {
  while (!ScheduledCalls.empty() &&
         ScheduledCalls.begin()->first <= Time.now()) {
    auto f = std::move(ScheduledCalls.begin()->second);
    ScheduledCalls.erase(ScheduledCalls.begin());
    f();
  }
}

auto FakeNetwork::bytesSent(const Endpoint &self) const -> std::uint64_t {
  auto it = Sent.find(self);
  return it == Sent.end() ? 0 : it->second;
}

auto FakeNetwork::isCut(const Endpoint &a, const Endpoint &b) const -> bool {
  if (CutInstances.contains({a, b}))
    return true;
  auto from = Nodes.find(a);
  auto to = Nodes.find(b);
  if (from == Nodes.end() || to == Nodes.end())
    return true;
  return CutDataCentres.contains(
      {from->second.DataCentre, to->second.DataCentre});
}

auto FakeNetwork::transmit(const Endpoint &from, const Endpoint &to,
                           PeerFrame f) -> void {
  Sent[from] += f.Body.size() + FrameOverhead;
  ++Frames;
  if (isCut(from, to) || Random.unit() < Loss)
    return;
  const auto local = Nodes.at(from).DataCentre == Nodes.at(to).DataCentre;
  after(local ? LocalDelay : RemoteDelay,
        [this, to, f = std::move(f)]() mutable { arrive(to, std::move(f)); });
}

auto FakeNetwork::arrive(const Endpoint &to, PeerFrame f) -> void {
  auto it = Nodes.find(to);
  if (it == Nodes.end())
    return;
  if (it->second.Paused) {
    it->second.QueuedFrames.push_back(std::move(f));
    return;
  }
  if (!it->second.OnFrame(f))
    ++ClosedConnections;
}

} // namespace boragebridge::fakes
