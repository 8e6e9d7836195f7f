/// \file
/// Peer frames over TCP.
///
/// Each instance opens one connection to each peer that it sends to. Frames
/// flow in one direction, and the receiver acknowledges them with the total
/// number of frames that it has received on the connection (eight bytes,
/// little-endian). When sent frames stay unacknowledged for longer than
/// ProgressTimeout, the connection has stalled: it is closed, even if the
/// kernel still reports it as established, and reopened for further frames. An
/// idle connection causes no traffic.
///
/// A full queue drops its oldest frames. A failed attempt to connect drops all
/// queued frames, so that a peer that returns does not receive stale frames. A
/// malformed frame closes the connection that it arrived on.
#ifndef BORAGEBRIDGE_NET_TCP_PEER_LINK_H
#define BORAGEBRIDGE_NET_TCP_PEER_LINK_H

#include "boragebridge/clock.h"
#include "boragebridge/controller.h"

#include "absl/status/statusor.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace boragebridge {

/// Limits and timeouts of a TcpPeerLink.
struct TcpPeerLinkOptions {
  /// The most bytes that are queued for one peer, for each priority.
  std::size_t QueueBytes = std::size_t{4} << 20;
  /// Peers with an outgoing connection, open or to be opened. Frames for
  /// further peers are dropped.
  std::size_t MaxPeers = 2048;
  /// Accepted connections. Further ones are closed at once.
  std::size_t MaxAccepted = 2048;
  /// The interval at which received frames are acknowledged and progress is
  /// checked.
  Duration CheckInterval = std::chrono::milliseconds(100);
  /// The longest time that sent frames may stay unacknowledged, that connecting
  /// may take, and that a received frame may stay incomplete.
  Duration ProgressTimeout = std::chrono::milliseconds(1500);
  /// A connection for which no frame has been queued or received for this long
  /// is closed.
  Duration IdleTimeout = std::chrono::minutes(1);
  /// The delay before a connection is reopened. It doubles with each failure up
  /// to MaxReconnectDelay, and random jitter of half the delay in either
  /// direction is applied.
  Duration InitialReconnectDelay = std::chrono::milliseconds(50);
  Duration MaxReconnectDelay = std::chrono::seconds(2);
};

/// Counters of a TcpPeerLink since it was opened.
struct TcpPeerLinkCounts {
  std::uint64_t FramesSent = 0;
  std::uint64_t FramesReceived = 0;
  std::uint64_t BytesSent = 0;
  /// Frames dropped at a limit or because a connection failed.
  std::uint64_t FramesDropped = 0;
  /// Connections closed because of a malformed stream or a refused frame.
  std::uint64_t ClosedMalformed = 0;
  /// Connections closed because they made no progress within ProgressTimeout:
  /// no connection, no acknowledgement, or a frame that stayed incomplete.
  std::uint64_t ClosedStalled = 0;
  std::uint64_t ConnectFailures = 0;
  std::uint64_t Accepted = 0;
  /// Connections that were closed because MaxAccepted were open.
  std::uint64_t OverLimit = 0;
};

/// Exchanges frames with peers over TCP. Delivery is not guaranteed: frames may
/// be dropped at a limit or when a connection fails. Not thread-safe: all calls
/// and callbacks run on the thread of the io_context. The objects given to
/// open() must outlive the link.
class TcpPeerLink final : public PeerLink {
public:
  /// Handles one frame. Returning false closes the connection that the frame
  /// arrived on.
  using Handler = std::function<bool(const PeerFrame &)>;

  /// Opens a link that listens on \p self.PeerAddress. Port 0 selects a free
  /// port, which localEndpoint() returns and which frames carry in the sender
  /// address. Returns Unavailable when listening fails.
  static auto open(boost::asio::io_context &io, const InstanceIdentity &self,
                   const Clock &time, RandomSource &random, EventLog &log,
                   const TcpPeerLinkOptions &opt = {})
      -> absl::StatusOr<std::unique_ptr<TcpPeerLink>>;
  ~TcpPeerLink() override;

  /// Starts accepting connections. Precondition: start() has not been called
  /// before.
  auto start(Handler h) -> void;
  auto send(const Endpoint &to, std::uint16_t kind, Bytes body,
            Priority pr = Priority::Control) -> void override;
  /// Returns the address that the link listens on.
  auto localEndpoint() const -> Endpoint;
  auto counts() const -> const TcpPeerLinkCounts &;
  /// Returns the number of frames that are queued or being written, over all
  /// peers.
  auto queuedFrames() const -> std::size_t;

private:
  struct Shared;
  class Outgoing;
  class Incoming;
  explicit TcpPeerLink(std::shared_ptr<Shared> state);
  std::shared_ptr<Shared> State;
};

} // namespace boragebridge

#endif
