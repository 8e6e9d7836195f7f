/// \file
/// An entry instance, free of I/O. The daemon drives it from Boost.Asio; a test
/// or bench drives any number of them in one process on a manual clock.
///
/// Example (samples/01_instance.cpp is the whole program):
/// \code
///   Instance it(identity, environment, makeDefaultControllers);
///   it.start();
///   for (;;) { clock.advance(Instance::TickInterval); it.tick(); }
/// \endcode
#ifndef BORAGEBRIDGE_INSTANCE_H
#define BORAGEBRIDGE_INSTANCE_H

#include "boragebridge/controller.h"

namespace boragebridge {

/// The outside of an instance. Every reference outlives it.
struct Environment {
  const Clock &Time;
  RandomSource &Random;
  PacketSink &Packets;
  PeerLink &Peers;
  PlatformClient &Platform;
  EventLog &Log;
};

using ControllerList = std::vector<std::unique_ptr<Controller>>;
/// Makes the controllers of one instance; the point for extension.
using ControllerFactory =
    std::function<ControllerList(const ControllerContext &)>;

/// The controllers of the product, control before data.
auto makeDefaultControllers(const ControllerContext &ctx) -> ControllerList;

/// One entry instance. Not thread-safe: all calls come from one thread.
class Instance {
public:
  /// How often tick() is to be called.
  static constexpr Duration TickInterval = std::chrono::milliseconds(10);

  Instance(InstanceIdentity self, const Environment &env,
           const ControllerFactory &make = makeDefaultControllers);
  Instance(const Instance &) = delete;
  auto operator=(const Instance &) -> Instance & = delete;
  ~Instance();

  /// Starts the controllers. Precondition: called once, before the rest.
  auto start() -> void;
  /// Runs the timers of all controllers.
  auto tick() -> void;
  /// A packet from the fabric or an upstream at \p peer. One that no
  /// controller takes is counted and dropped.
  auto onPacket(PacketOrigin from, const Endpoint &peer, const Packet &p)
      -> void;
  /// A frame from a peer. False when it was malformed: the caller closes the
  /// connection it came on.
  [[nodiscard]] auto onPeerFrame(const PeerFrame &f) -> bool;
  /// Begins a planned stop; poll isStopped() and then end the process.
  auto beginStop() -> void;
  auto isStopped() const -> bool;
  /// The state of the whole instance as JSON.
  auto dumpState() const -> std::string;

  auto identity() const -> const InstanceIdentity & { return Self; }
  auto board() -> Blackboard & { return Board; }
  auto metrics() -> MetricRegistry & { return Metrics; }
  /// The controller called \p name, or null; for the daemon's HTTP endpoints.
  auto findController(std::string_view name) -> Controller *;

private:
  InstanceIdentity Self;
  Blackboard Board;
  MetricRegistry Metrics;
  ControllerContext Context;
  ControllerList Controllers;
};

} // namespace boragebridge

#endif
