/// \file
/// A few instances in one process on a manual clock, connected by a
/// FakeNetwork. The fleet simulates no upstreams, callers or fabric: it only
/// passes calls between real Instance objects and the fakes that a test, bench
/// or sample supplies.
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

/// A store client that never answers a call, for tests that need no store.
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

/// Options of a Fleet.
struct FleetOptions {
  std::uint64_t Seed = 1;
  ControllerFactory MakeControllers = makeDefaultControllers;
  /// If null, every instance gets an UnresponsivePlatform.
  PlatformFactory MakePlatform;
  /// If null, events are discarded. Must outlive the fleet.
  EventLog *Log = nullptr;
};

/// Starts, stops and runs instances, and passes packets to them. Not
/// thread-safe.
class Fleet {
public:
  /// The clock advances in steps of this length.
  static constexpr Duration Step = std::chrono::milliseconds(1);
  /// Number of packets that are queued for a paused instance, as in the receive
  /// buffer of its socket; more are dropped.
  static constexpr std::size_t PausedPacketLimit = 256;

  /// One instance with its environment. The instance is null once it has been
  /// killed or has stopped.
  struct Node;

  explicit Fleet(FleetOptions opt);
  Fleet(const Fleet &) = delete;
  auto operator=(const Fleet &) -> Fleet & = delete;
  ~Fleet();

  /// Starts instance \p name in data centre \p dc with a new incarnation. A
  /// name that was used before keeps its address. The instance's seeds are all
  /// instances added earlier under other names.
  auto addInstance(const std::string &name, const std::string &dc)
      -> Instance &;
  /// Ends the instance without notice to the others.
  auto kill(const std::string &name) -> void;
  /// Pauses or resumes the instance: while paused, it is neither ticked nor
  /// given packets or frames.
  auto setPaused(const std::string &name, bool paused) -> void;
  /// Begins a planned stop; run() ends the instance once the stop is complete.
  auto beginStop(const std::string &name) -> void;

  auto isRunning(const std::string &name) const -> bool;
  /// Precondition: isRunning(name).
  auto instance(const std::string &name) -> Instance &;
  /// Returns the running instances, ordered by name.
  auto running() -> std::vector<Instance *>;

  /// Publishes \p cfg on the blackboard of one instance, or of all running
  /// ones. For tests without a configuration controller.
  auto publishConfiguration(const std::string &name, const Configuration &cfg)
      -> void;
  auto publishConfiguration(const Configuration &cfg) -> void;
  /// Publishes the actual set of running instances on the blackboard of each of
  /// them. For tests without a membership controller.
  auto publishMembership() -> void;

  /// Delivers \p p to instance \p name, from the fabric or from \p upstream.
  /// The packet is lost if the instance is not running.
  auto fromFabric(const std::string &name, const Packet &p) -> void;
  auto fromUpstream(const std::string &name, const Endpoint &upstream,
                    const Packet &p) -> void;

  /// Advances the clock by \p d: delivers frames, ticks the instances, and ends
  /// those whose planned stop is complete.
  auto run(Duration d) -> void;

  /// Called with each packet that an instance sends, from within run(),
  /// fromFabric() or fromUpstream(). If null, the packet is lost.
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
