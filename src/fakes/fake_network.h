/// \file
/// A fake of the network between instances, on a manual clock. It simulates
/// delay, loss, partitions and paused instances, and counts the bytes that each
/// instance sends.
#ifndef BORAGEBRIDGE_FAKES_FAKE_NETWORK_H
#define BORAGEBRIDGE_FAKES_FAKE_NETWORK_H

#include "boragebridge/clock.h"
#include "boragebridge/peer_link.h"
#include "boragebridge/random.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace boragebridge::fakes {

/// Delivers peer frames, and runs any other call, after a delay. Not
/// thread-safe.
class FakeNetwork {
public:
  /// Bytes of framing that each frame is counted with besides its body.
  static constexpr std::size_t FrameOverhead = 32;

  FakeNetwork(ManualClock &clock, std::uint64_t seed);
  FakeNetwork(const FakeNetwork &) = delete;
  auto operator=(const FakeNetwork &) -> FakeNetwork & = delete;
  ~FakeNetwork();

  /// Receives the frames that arrive at one endpoint. Returning false stands
  /// for closing the connection to the sender; closedConnections() counts
  /// it.
  using Receiver = std::function<bool(const PeerFrame &)>;

  /// Makes the link of the instance that listens at \p self in data centre
  /// \p dc. Frames to \p self are passed to \p to.
  auto attach(const Endpoint &self, InstanceId id, Incarnation inc,
              DataCentreId dc, Receiver to) -> std::unique_ptr<PeerLink>;
  /// Removes the instance at \p self; frames to it are lost from now on.
  auto detach(const Endpoint &self) -> void;
  /// Pauses or resumes the instance at \p self. Frames to a paused instance
  /// are queued and delivered when it is resumed.
  auto setPaused(const Endpoint &self, bool paused) -> void;

  /// Sets the one-way delay within a data centre and between two data centres.
  auto setDelays(Duration local, Duration remote) -> void;
  /// Sets the share of frames that are lost, from 0 to 1.
  auto setLoss(double share) -> void { Loss = share; }
  /// Cuts or restores the path between two data centres, in both directions.
  auto setCut(DataCentreId a, DataCentreId b, bool cut) -> void;
  /// Cuts or restores the path between two instances, in both directions.
  auto setCut(const Endpoint &a, const Endpoint &b, bool cut) -> void;

  /// Calls \p f after \p d. Serves as the general timer of the fakes.
  auto after(Duration d, std::function<void()> f) -> void;
  /// Delivers all frames and runs all calls that are due at the clock's time.
  auto deliver() -> void;

  /// Returns the bytes that the instance at \p self has sent, with framing.
  auto bytesSent(const Endpoint &self) const -> std::uint64_t;
  auto framesSent() const -> std::uint64_t { return Frames; }
  auto closedConnections() const -> std::uint64_t { return ClosedConnections; }

private:
  class Link;
  struct Node {
    InstanceId Id{};
    Incarnation IncarnationNumber{};
    DataCentreId DataCentre{};
    Receiver OnFrame;
    bool Paused = false;
    std::vector<PeerFrame> QueuedFrames;
  };

  auto transmit(const Endpoint &from, const Endpoint &to, PeerFrame f) -> void;
  auto arrive(const Endpoint &to, PeerFrame f) -> void;
  auto isCut(const Endpoint &a, const Endpoint &b) const -> bool;

  ManualClock &Time;
  SeededRandom Random;
  Duration LocalDelay = std::chrono::microseconds(200);
  Duration RemoteDelay = std::chrono::microseconds(1500);
  double Loss = 0;
  std::map<Endpoint, Node> Nodes;
  std::set<std::pair<DataCentreId, DataCentreId>> CutDataCentres;
  std::set<std::pair<Endpoint, Endpoint>> CutInstances;
  std::multimap<TimePoint, std::function<void()>> ScheduledCalls;
  std::unordered_map<Endpoint, std::uint64_t> Sent;
  std::uint64_t Frames = 0;
  std::uint64_t ClosedConnections = 0;
};

} // namespace boragebridge::fakes

#endif
