/// \file
/// A few instances in one process on a manual clock, joined by FakeNetwork.
/// Not a simulator: it only carries calls between the real Instance objects
/// and whatever fakes a test, bench or sample plugs in.
///
/// Example:
/// \code
///   fakes::Fleet fleet({.Seed = 7});
///   fleet.addInstance("a", "palermo");
///   fleet.OnCallerPacket = [&](auto &, const Packet &p) { ... };
///   fleet.run(std::chrono::seconds(1));
/// \endcode
#ifndef BORAGEBRIDGE_FAKES_FLEET_H
#define BORAGEBRIDGE_FAKES_FLEET_H

#include "boragebridge/instance.h"
#include "fakes/fake_network.h"

namespace boragebridge::fakes {

/// A store that answers nothing; for tests that need none.
class UnresponsivePlatform final : public PlatformClient {
public:
  auto get(std::string, Callback<StoredObject>) -> void override {}
  auto list(std::string, Callback<ObjectList>) -> void override {}
  auto put(std::string, std::string, ObjectVersion, Callback<ObjectVersion>)
      -> void override {}
  auto remove(std::string, ObjectVersion, Callback<ObjectVersion>)
      -> void override {}
  auto watch(std::string, ObjectVersion, Duration, Callback<ObjectList>)
      -> void override {}
};

using PlatformFactory =
    std::function<std::unique_ptr<PlatformClient>(const InstanceIdentity &)>;

/// What a fleet is made with.
struct FleetOptions {
  std::uint64_t Seed = 1;
  ControllerFactory MakeControllers = makeDefaultControllers;
  /// Null: every instance gets a UnresponsivePlatform.
  PlatformFactory MakePlatform;
  /// Null: events are discarded. Outlives the fleet.
  EventLog *Log = nullptr;
};

/// The instances. Not thread-safe.
class Fleet {
public:
  /// Time moves in steps of this.
  static constexpr Duration Step = std::chrono::milliseconds(1);
  /// Packets that a paused instance's socket holds; more are lost.
  static constexpr std::size_t PausedPacketLimit = 256;

  /// One instance with its outside. Null It: killed.
  struct Node;

  explicit Fleet(FleetOptions opt);
  Fleet(const Fleet &) = delete;
  auto operator=(const Fleet &) -> Fleet & = delete;
  ~Fleet();

  /// Starts instance \p name in data centre \p dc with a new incarnation; the
  /// address is kept when the name was used before. Seeds: all earlier ones.
  auto addInstance(const std::string &name, const std::string &dc)
      -> Instance &;
  /// Ends the instance with no notice.
  auto kill(const std::string &name) -> void;
  /// Freezes or resumes the instance.
  auto setPaused(const std::string &name, bool paused) -> void;
  /// Begins a planned stop; run() ends the instance once it is stopped.
  auto beginStop(const std::string &name) -> void;

  auto isRunning(const std::string &name) const -> bool;
  /// Precondition: isRunning(name).
  auto instance(const std::string &name) -> Instance &;
  /// The running instances, in order of their names.
  auto running() -> std::vector<Instance *>;

  /// Gives \p cfg to one instance, or to all running ones, by the blackboard;
  /// for tests without a configuration controller.
  auto publishConfiguration(const std::string &name, const Configuration &cfg)
      -> void;
  auto publishConfiguration(const Configuration &cfg) -> void;
  /// Tells every running instance which instances run now (the fleet's own
  /// knowledge); for tests without a membership controller.
  auto publishMembership() -> void;

  /// Hands \p p to instance \p name; lost when it does not run.
  auto fromFabric(const std::string &name, const Packet &p) -> void;
  auto fromUpstream(const std::string &name, const Endpoint &upstream,
                    const Packet &p) -> void;

  /// Moves time on by \p d: delivers, ticks, and ends stopped instances.
  auto run(Duration d) -> void;

  /// Packets that instances send; called within run() or from*().
  std::function<void(Instance &, const Endpoint &, const Packet &)>
      OnUpstreamPacket;
  std::function<void(Instance &, const Packet &)> OnCallerPacket;

  ManualClock Time;
  SeededRandom Random;
  FakeNetwork Network;

private:
  auto deliver(const std::string &name, PacketOrigin from, const Endpoint &peer,
               const Packet &p) -> void;

  FleetOptions Options;
  NullEventLog NoLog;
  std::map<std::string, std::unique_ptr<Node>> Nodes;
  TimePoint NextTick;
};

} // namespace boragebridge::fakes

#endif
