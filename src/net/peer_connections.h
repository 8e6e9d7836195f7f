/// \file
/// The outgoing and incoming connections of a TcpPeerLink and their shared
/// state. Private to the .cpp files of TcpPeerLink.
#ifndef BORAGEBRIDGE_NET_PEER_CONNECTIONS_H
#define BORAGEBRIDGE_NET_PEER_CONNECTIONS_H

#include "codec/frame_codec.h"
#include "net/frame_queue.h"
#include "net/tcp_peer_link.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>
#include <unordered_map>

namespace boragebridge {

/// Size of an acknowledgement, in bytes. An acknowledgement is the total number
/// of frames that the receiver has received on the connection, in little-endian
/// order.
inline constexpr std::size_t AckBytes = 8;

/// The state that all connections of a link share.
struct TcpPeerLink::Shared : std::enable_shared_from_this<Shared> {
  Shared(boost::asio::io_context &io, InstanceIdentity self, const Clock &time,
         RandomSource &random, EventLog &log, const TcpPeerLinkOptions &opt);

  auto listen() -> boost::system::error_code;
  auto accept() -> void;
  /// Runs the periodic checks of all connections and schedules the next run.
  auto check() -> void;
  auto close() -> void;
  /// Returns the connection to \p to and creates it when there is none. Returns
  /// null when MaxPeers connections exist.
  auto outgoing(const Endpoint &to) -> Outgoing *;

  boost::asio::io_context &Io;
  InstanceIdentity Self;
  const Clock &Time;
  RandomSource &Random;
  EventLog &Log;
  TcpPeerLinkOptions Options;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer Timer;
  TcpPeerLink::Handler Receive;
  TcpPeerLinkCounts Counts;
  std::unordered_map<Endpoint, std::shared_ptr<Outgoing>> Peers;
  std::set<std::shared_ptr<Incoming>> Accepted;
  bool Closed = false;
};

/// The connection that sends frames to one peer.
class TcpPeerLink::Outgoing : public std::enable_shared_from_this<Outgoing> {
public:
  Outgoing(Shared &owner, const Endpoint &to);

  /// Queues \p frame and connects when necessary.
  auto push(Bytes frame, Priority pr) -> void;
  /// Applies the timeouts. Returns true when the connection is idle and may be
  /// removed.
  auto check(TimePoint now) -> bool;
  auto close() -> void;
  auto queuedFrames() const -> std::size_t {
    return Queue.frames() + Batch.Frames;
  }

private:
  enum class Phase : std::uint8_t { Disconnected, Connecting, Connected };

  auto connect(TimePoint now) -> void;
  auto onConnected(boost::system::error_code ec) -> void;
  auto write() -> void;
  auto onWritten(boost::system::error_code ec) -> void;
  auto readAck() -> void;
  auto onAck(boost::system::error_code ec) -> void;
  /// Closes the connection and schedules the next attempt after the backoff.
  auto fail() -> void;

  Shared &Owner;
  Endpoint To;
  boost::asio::ip::tcp::socket Socket;
  FrameQueue Queue;
  FrameBatch Batch;
  Phase State = Phase::Disconnected;
  /// Distinguishes completion handlers of earlier connections from those of the
  /// present one.
  std::uint64_t Generation = 0;
  std::uint64_t FramesWritten = 0;
  std::uint64_t FramesAcked = 0;
  std::array<std::byte, AckBytes> AckBuffer{};
  TimePoint LastProgress;
  TimePoint LastUse;
  TimePoint NextAttempt;
  Duration Backoff;
};

/// An accepted connection that receives frames from one peer.
class TcpPeerLink::Incoming : public std::enable_shared_from_this<Incoming> {
public:
  Incoming(Shared &owner, boost::asio::ip::tcp::socket socket);

  auto start() -> void { read(); }
  /// Acknowledges received frames and applies the timeouts. Returns true when
  /// the connection is closed.
  auto check(TimePoint now) -> bool;
  auto close() -> void;

private:
  auto read() -> void;
  auto onRead(boost::system::error_code ec, std::size_t n) -> void;
  /// Passes the decoded frames to the link's handler. Returns false when the
  /// stream is malformed or the handler refuses a frame.
  auto handleFrames() -> bool;
  auto writeAck() -> void;
  auto closeMalformed() -> void;

  Shared &Owner;
  boost::asio::ip::tcp::socket Socket;
  Endpoint From;
  FrameDecoder Decoder;
  Bytes Buffer;
  std::uint64_t FramesHandled = 0;
  std::uint64_t LastAckSent = 0;
  std::array<std::byte, AckBytes> AckBuffer{};
  bool Writing = false;
  TimePoint LastFrame;
  TimePoint LastRead;
};

} // namespace boragebridge

#endif
