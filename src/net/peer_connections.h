/// \file
/// The two kinds of connections of TcpPeerLink.
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

/// Bytes of the receiver's running count of frames.
inline constexpr std::size_t AckBytes = 8;

/// What all connections of a link share.
struct TcpPeerLink::Shared : std::enable_shared_from_this<Shared> {
  Shared(boost::asio::io_context &io, InstanceIdentity self, const Clock &time,
         RandomSource &random, EventLog &log, const TcpPeerLinkOptions &opt);

  auto listen() -> boost::system::error_code;
  auto accept() -> void;
  auto check() -> void;
  auto close() -> void;
  /// The connection to \p to, made when needed; null at the limit.
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

/// The connection on which frames go to one peer.
class TcpPeerLink::Outgoing : public std::enable_shared_from_this<Outgoing> {
public:
  Outgoing(Shared &owner, const Endpoint &to);

  auto push(Bytes frame, Priority pr) -> void;
  /// Runs its timeouts; true when it is idle and may be forgotten.
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
  /// Ends the connection; the next attempt waits its turn.
  auto fail() -> void;

  Shared &Owner;
  Endpoint To;
  boost::asio::ip::tcp::socket Socket;
  FrameQueue Queue;
  FrameBatch Batch;
  Phase State = Phase::Disconnected;
  /// Tells completions of an earlier connection from those of this one.
  std::uint64_t Generation = 0;
  std::uint64_t FramesWritten = 0;
  std::uint64_t FramesAcked = 0;
  std::array<std::byte, AckBytes> AckBuffer{};
  TimePoint LastProgress;
  TimePoint LastUse;
  TimePoint NextAttempt;
  Duration Backoff;
};

/// A connection on which frames arrive.
class TcpPeerLink::Incoming : public std::enable_shared_from_this<Incoming> {
public:
  Incoming(Shared &owner, boost::asio::ip::tcp::socket socket);

  auto start() -> void { read(); }
  /// Counts frames back and runs its timeouts; true when it has ended.
  auto check(TimePoint now) -> bool;
  auto close() -> void;

private:
  auto read() -> void;
  auto onRead(boost::system::error_code ec, std::size_t n) -> void;
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
