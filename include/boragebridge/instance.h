/// \file
/// An entry instance. It performs no I/O: the daemon drives it from Boost.Asio,
/// a test or bench drives any number of instances in one process on a manual
/// clock.
///
/// Example (samples/01_instance.cpp is the complete program):
/// \code
///   Instance instance(identity, environment, makeDefaultControllers);
///   instance.start();
///   for (;;) { clock.advance(Instance::TickInterval); instance.tick(); }
/// \endcode
#ifndef BORAGEBRIDGE_INSTANCE_H
#define BORAGEBRIDGE_INSTANCE_H

#include "boragebridge/controller.h"

namespace boragebridge {

/// What the host program provides to an instance. Every reference must outlive
/// the instance.
struct Environment {
  const Clock &Time;
  RandomSource &Random;
  PacketSink &Packets;
  PeerLink &Peers;
  PlatformClient &Platform;
  EventLog &Log;
};

using ControllerList = std::vector<std::unique_ptr<Controller>>;
/// Creates the controllers of one instance. A program that extends the instance
/// passes its own factory.
using ControllerFactory =
    std::function<ControllerList(const ControllerContext &)>;

/// Creates the controllers of the product. Those of the control plane come
/// before those that handle packets.
auto makeDefaultControllers(const ControllerContext &ctx) -> ControllerList;

/// One entry instance. Not thread-safe: all calls must come from one thread.
class Instance {
public:
  /// Interval at which the host program calls tick().
  static constexpr Duration TickInterval = std::chrono::milliseconds(10);

  Instance(InstanceIdentity self, const Environment &env,
           const ControllerFactory &make = makeDefaultControllers);
  Instance(const Instance &) = delete;
  auto operator=(const Instance &) -> Instance & = delete;
  ~Instance();

  /// Starts the controllers. Precondition: called once, before any other member
  /// function.
  auto start() -> void;
  /// Runs the timers of all controllers.
  auto tick() -> void;
  /// Handles a packet from the fabric or from an upstream at \p peer. A packet
  /// that no controller handles is counted and dropped.
  auto onPacket(PacketOrigin from, const Endpoint &peer, const Packet &p)
      -> void;
  /// Handles a frame from a peer. Returns false if the frame was malformed or
  /// of an unknown family; the caller then closes the connection.
  [[nodiscard]] auto onPeerFrame(const PeerFrame &f) -> bool;
  /// Begins a planned stop. The process may end once isStopped() is true.
  auto beginStop() -> void;
  auto isStopped() const -> bool;
  /// The state of the whole instance as JSON.
  auto dumpState() const -> std::string;

  auto identity() const -> const InstanceIdentity & { return Self; }
  auto board() -> Blackboard & { return Board; }
  auto metrics() -> MetricRegistry & { return Metrics; }
  /// The controller called \p name, or null. Used by the daemon's HTTP
  /// endpoints.
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
