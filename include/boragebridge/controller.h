/// \file
/// Controllers, the components of an instance. Each has one task, reads the
/// sections of the blackboard that it needs and writes the one that it owns.
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

/// Identity of an instance, taken from its settings.
struct InstanceIdentity {
  std::string Name;
  InstanceId Id{};
  Incarnation IncarnationNumber{};
  DataCentreId DataCentre{};
  Endpoint PeerAddress;
  /// Addresses of peers to contact first, in any data centre.
  std::vector<Endpoint> Seeds;
};

/// The dependencies of a controller. Every reference must outlive the
/// controller.
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

/// Base class of all controllers. All calls come from the instance's own
/// thread.
class Controller {
public:
  Controller() = default;
  Controller(const Controller &) = delete;
  auto operator=(const Controller &) -> Controller & = delete;
  virtual ~Controller() = default;

  /// Key of this controller in the state dump.
  virtual auto name() const -> std::string_view = 0;
  /// The family of peer frames that this controller handles.
  virtual auto family() const -> MessageFamily = 0;
  /// Called once, before any other function.
  virtual auto start() -> void {}
  /// Called every Instance::TickInterval. The work per call must be bounded.
  virtual auto tick(TimePoint now) -> void = 0;
  /// Handles a frame of this controller's family. Returns false if the body is
  /// malformed; the caller counts the frame and closes the peer's connection.
  [[nodiscard]] virtual auto onPeerFrame(const PeerFrame &f) -> bool = 0;
  /// Handles a packet. Returns true if this controller accepted it.
  virtual auto onPacket(PacketOrigin from, const Endpoint &peer,
                        const Packet &p) -> bool {
    static_cast<void>(from);
    static_cast<void>(peer);
    static_cast<void>(p);
    return false;
  }
  /// Begins a planned stop: accepts no new work and hands over the state that
  /// must outlive the process.
  virtual auto beginStop() -> void {}
  /// True once the process can end without interrupting work in progress.
  virtual auto isStopped() const -> bool { return true; }
  /// This controller's part of the state dump.
  virtual auto dump() const -> boost::json::object;
};

} // namespace boragebridge

#endif
