#include "net/asio_endpoint.h"
#include "net/net_events.h"
#include "net/peer_connections.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace boragebridge {

namespace asio = boost::asio;
using asio::ip::tcp;

/// The most bytes of one write. The limit bounds how long a control frame waits
/// behind data frames.
static constexpr std::size_t WriteBytes = std::size_t{64} << 10;

static auto decodeLittleEndian(std::span<const std::byte> b) -> std::uint64_t {
  std::uint64_t n = 0;
  for (std::size_t i = 0; i < b.size(); ++i)
    n |= std::to_integer<std::uint64_t>(b[i]) << (8 * i);
  return n;
}

TcpPeerLink::Outgoing::Outgoing(Shared &owner, const Endpoint &to)
    : Owner(owner), To(to), Socket(owner.Io), Queue(owner.Options.QueueBytes),
      LastProgress(owner.Time.now()), LastUse(LastProgress),
      NextAttempt(LastProgress), Backoff(owner.Options.InitialReconnectDelay) {}

auto TcpPeerLink::Outgoing::push(Bytes frame, Priority pr) -> void {
  auto now = Owner.Time.now();
  LastUse = now;
  Owner.Counts.FramesDropped += Queue.push(std::move(frame), pr);
  if (State == Phase::Disconnected && now >= NextAttempt)
    connect(now);
  else if (State == Phase::Connected && Batch.Frames == 0)
    write();
}

auto TcpPeerLink::Outgoing::connect(TimePoint now) -> void {
  State = Phase::Connecting;
  LastProgress = now;
  Socket = tcp::socket(Owner.Io);
  Socket.async_connect(toAsio<tcp>(To), [self = shared_from_this(),
                                         generation = Generation](auto ec) {
    if (generation == self->Generation)
      self->onConnected(ec);
  });
}

auto TcpPeerLink::Outgoing::onConnected(boost::system::error_code ec) -> void {
  if (ec) {
    ++Owner.Counts.ConnectFailures;
    Owner.Counts.FramesDropped += Queue.clear();
    return fail();
  }
  State = Phase::Connected;
  LastProgress = Owner.Time.now();
  FramesWritten = 0;
  FramesAcked = 0;
  boost::system::error_code ignored;
  Socket.set_option(tcp::no_delay(true), ignored);
  readAck();
  write();
}

auto TcpPeerLink::Outgoing::write() -> void {
  Batch = Queue.takeBatch(WriteBytes);
  if (Batch.Frames == 0)
    return;
  if (FramesWritten == FramesAcked)
    LastProgress = Owner.Time.now();
  asio::async_write(
      Socket, asio::buffer(Batch.Content),
      [self = shared_from_this(), generation = Generation](auto ec, auto) {
        if (generation == self->Generation)
          self->onWritten(ec);
      });
}

auto TcpPeerLink::Outgoing::onWritten(boost::system::error_code ec) -> void {
  if (ec)
    return fail();
  FramesWritten += Batch.Frames;
  Owner.Counts.FramesSent += Batch.Frames;
  Owner.Counts.BytesSent += Batch.Content.size();
  Batch = {};
  write();
}

auto TcpPeerLink::Outgoing::readAck() -> void {
  asio::async_read(
      Socket, asio::buffer(AckBuffer),
      [self = shared_from_this(), generation = Generation](auto ec, auto) {
        if (generation == self->Generation)
          self->onAck(ec);
      });
}

auto TcpPeerLink::Outgoing::onAck(boost::system::error_code ec) -> void {
  if (ec)
    return fail();
  auto n = decodeLittleEndian(AckBuffer);
  // The peer may acknowledge frames of a write whose completion handler is
  // still queued.
  if (n <= FramesAcked || n > FramesWritten + Batch.Frames) {
    ++Owner.Counts.ClosedMalformed;
    Owner.Log.write(
        events::PeerStreamMalformed,
        {{"peer", toString(To)}, {"why", "acknowledgement out of range"}});
    return fail();
  }
  FramesAcked = n;
  LastProgress = Owner.Time.now();
  Backoff = Owner.Options.InitialReconnectDelay;
  readAck();
}

auto TcpPeerLink::Outgoing::fail() -> void {
  Owner.Counts.FramesDropped += Batch.Frames;
  close();
  State = Phase::Disconnected;
  NextAttempt = Owner.Time.now() + Owner.Random.jitter(Backoff);
  Backoff = std::min(Backoff * 2, Owner.Options.MaxReconnectDelay);
}

auto TcpPeerLink::Outgoing::close() -> void {
  ++Generation;
  Batch = {};
  boost::system::error_code ec;
  Socket.close(ec);
}

auto TcpPeerLink::Outgoing::check(TimePoint now) -> bool {
  const bool awaitsProgress =
      State == Phase::Connecting ||
      (State == Phase::Connected && FramesWritten + Batch.Frames > FramesAcked);
  if (awaitsProgress && now - LastProgress > Owner.Options.ProgressTimeout) {
    ++Owner.Counts.ClosedStalled;
    Owner.Log.write(events::PeerConnectionStalled, {{"peer", toString(To)}});
    if (State == Phase::Connecting)
      Owner.Counts.FramesDropped += Queue.clear();
    fail();
  }
  if (State == Phase::Disconnected && Queue.frames() > 0 && now >= NextAttempt)
    connect(now);
  return now - LastUse > Owner.Options.IdleTimeout;
}

} // namespace boragebridge
