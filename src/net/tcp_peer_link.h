/// \file
/// Peer frames over TCP.
///
/// Each instance opens one connection to each peer that it sends to; frames
/// go one way on it, and the receiver answers with its running count of frames
/// (eight bytes, little-endian). A connection on which sent frames go
/// uncounted for longer than ProgressTimeout has gone silent: it is cut and
/// opened anew, whatever its state looks like. An idle connection costs
/// nothing.
///
/// At a limit: the oldest frames of a full queue are dropped; a failed attempt
/// to connect drops what is queued, so that a peer that returns is not sent
/// stale frames. A malformed frame cuts the connection that it came on.
#ifndef BORAGEBRIDGE_NET_TCP_PEER_LINK_H
#define BORAGEBRIDGE_NET_TCP_PEER_LINK_H

#include "boragebridge/clock.h"
#include "boragebridge/controller.h"

#include "absl/status/statusor.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace boragebridge {

/// Bounds of a link.
struct TcpPeerLinkOptions {
  /// Bytes that wait for one peer, for each priority.
  std::size_t QueueBytes = std::size_t{4} << 20;
  /// Peers with an open or wanted connection; frames to others are dropped.
  std::size_t MaxPeers = 2048;
  /// Accepted connections; further ones are closed at once.
  std::size_t MaxAccepted = 2048;
  /// How often received frames are counted back and progress is checked.
  Duration CheckInterval = std::chrono::milliseconds(100);
  /// Longest time that sent frames may go uncounted, a connection may take to
  /// open, or a frame may stay incomplete.
  Duration ProgressTimeout = std::chrono::milliseconds(1500);
  /// A connection without a frame for this long is closed.
  Duration IdleTimeout = std::chrono::minutes(1);
  /// Wait before a connection is opened again; doubles with each failure, and
  /// is spread by half either way.
  Duration InitialReconnectDelay = std::chrono::milliseconds(50);
  Duration MaxReconnectDelay = std::chrono::seconds(2);
};

/// What a link has seen.
struct TcpPeerLinkCounts {
  std::uint64_t FramesSent = 0;
  std::uint64_t FramesReceived = 0;
  std::uint64_t BytesSent = 0;
  /// Frames dropped at a limit or with a failed connection.
  std::uint64_t FramesDropped = 0;
  /// Connections cut for a malformed stream or a refused frame.
  std::uint64_t ClosedMalformed = 0;
  /// Connections cut because nothing was counted back, or a frame stayed
  /// incomplete.
  std::uint64_t ClosedStalled = 0;
  std::uint64_t ConnectFailures = 0;
  std::uint64_t Accepted = 0;
  std::uint64_t OverLimit = 0;
};

/// Not thread-safe; all calls and callbacks come from the thread of its
/// io_context. Everything given to open() outlives the link.
class TcpPeerLink final : public PeerLink {
public:
  /// Takes one frame; false cuts the connection that it came on.
  using Handler = std::function<bool(const PeerFrame &)>;

  /// Listens at \p self.PeerAddress (port 0: any free one, which
  /// localEndpoint() and the frames' sender address then carry). Unavailable
  /// when that fails.
  static auto open(boost::asio::io_context &io, const InstanceIdentity &self,
                   const Clock &time, RandomSource &random, EventLog &log,
                   const TcpPeerLinkOptions &opt = {})
      -> absl::StatusOr<std::unique_ptr<TcpPeerLink>>;
  ~TcpPeerLink() override;

  /// Begins to accept. Precondition: called once.
  auto start(Handler h) -> void;
  auto send(const Endpoint &to, std::uint16_t kind, Bytes body,
            Priority pr = Priority::Control) -> void override;
  auto localEndpoint() const -> Endpoint;
  auto counts() const -> const TcpPeerLinkCounts &;
  /// Frames that wait or are under way, over all peers.
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
