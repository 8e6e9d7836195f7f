/// \file
/// The parts of an instance. Each controller has one job, reads the sections
/// of the blackboard that it needs and writes the one that it owns.
#ifndef BORAGEBRIDGE_CONTROLLER_H
#define BORAGEBRIDGE_CONTROLLER_H

#include "boragebridge/blackboard.h"
#include "boragebridge/clock.h"
#include "boragebridge/event_log.h"
#include "boragebridge/metrics.h"
#include "boragebridge/packet.h"
#include "boragebridge/peer_link.h"
#include "boragebridge/platform_client.h"
#include "boragebridge/random.h"

#include <boost/json/fwd.hpp>

#include <memory>

namespace boragebridge {

/// Who an instance is; from its settings.
struct InstanceIdentity {
  std::string Name;
  InstanceId Id{};
  Incarnation IncarnationNumber{};
  DataCentreId DataCentre{};
  Endpoint PeerAddress;
  /// Peers to start from, any data centre.
  std::vector<Endpoint> Seeds;
};

/// What a controller works with. Every reference outlives the controller.
struct ControllerContext {
  const InstanceIdentity &Self;
  const Clock &Time;
  RandomSource &Random;
  PacketSink &Packets;
  PeerLink &Peers;
  PlatformClient &Platform;
  EventLog &Log;
  MetricRegistry &Metrics;
  Blackboard &Board;
};

/// Base of all controllers. All calls come from the instance's own thread.
class Controller {
public:
  Controller() = default;
  Controller(const Controller &) = delete;
  auto operator=(const Controller &) -> Controller & = delete;
  virtual ~Controller() = default;

  /// Name in the state dump.
  virtual auto name() const -> std::string_view = 0;
  /// The family of peer frames it handles.
  virtual auto family() const -> MessageFamily = 0;
  /// Called once before anything else.
  virtual auto start() -> void {}
  /// Called every Instance::TickInterval; bounded work.
  virtual auto tick(TimePoint now) -> void = 0;
  /// A frame of its family. A body that does not verify returns false; the
  /// caller counts it and cuts the peer off.
  [[nodiscard]] virtual auto onPeerFrame(const PeerFrame &f) -> bool = 0;
  /// A packet; true when this controller took it.
  virtual auto onPacket(PacketOrigin from, const Endpoint &peer,
                        const Packet &p) -> bool {
    static_cast<void>(from);
    static_cast<void>(peer);
    static_cast<void>(p);
    return false;
  }
  /// Begins a planned stop: no new work, hand over what must last.
  virtual auto beginStop() -> void {}
  /// True once nothing in progress would be cut by the end of the process.
  virtual auto isStopped() const -> bool { return true; }
  /// Its part of the state dump.
  virtual auto dump() const -> boost::json::object;
};

} // namespace boragebridge

#endif
