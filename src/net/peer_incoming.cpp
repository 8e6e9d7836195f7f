#include "net/asio_endpoint.h"
#include "net/net_events.h"
#include "net/peer_connections.h"

#include <boost/asio/write.hpp>

namespace boragebridge {

namespace asio = boost::asio;
using asio::ip::tcp;

/// The most bytes that one read takes from a connection before the io_context
/// runs other handlers.
static constexpr std::size_t ReadBytes = std::size_t{64} << 10;

TcpPeerLink::Incoming::Incoming(Shared &owner, tcp::socket socket)
    : Owner(owner), Socket(std::move(socket)), Buffer(ReadBytes),
      LastFrame(owner.Time.now()), LastRead(LastFrame) {
  boost::system::error_code ec;
  Socket.set_option(tcp::no_delay(true), ec);
  auto from = Socket.remote_endpoint(ec);
  if (!ec)
    From = fromAsio(from);
}

auto TcpPeerLink::Incoming::read() -> void {
  Socket.async_read_some(
      asio::buffer(Buffer),
      [self = shared_from_this()](auto ec, auto n) { self->onRead(ec, n); });
}

auto TcpPeerLink::Incoming::onRead(boost::system::error_code ec, std::size_t n)
    -> void {
  if (Owner.Closed || !Socket.is_open())
    return;
  if (ec)
    return close();
  LastRead = Owner.Time.now();
  Decoder.append(ByteView(Buffer).first(n));
  if (!handleFrames())
    return closeMalformed();
  read();
}

auto TcpPeerLink::Incoming::handleFrames() -> bool {
  for (;;) {
    auto f = Decoder.next();
    if (!f.ok())
      return false;
    if (!*f)
      return true;
    ++FramesHandled;
    ++Owner.Counts.FramesReceived;
    LastFrame = LastRead;
    if (!Owner.Receive(**f))
      return false;
  }
}

auto TcpPeerLink::Incoming::closeMalformed() -> void {
  ++Owner.Counts.ClosedMalformed;
  Owner.Log.write(events::PeerStreamMalformed,
                  {{"peer", toString(From)}, {"why", "frame"}});
  close();
}

auto TcpPeerLink::Incoming::close() -> void {
  boost::system::error_code ec;
  Socket.close(ec);
}

auto TcpPeerLink::Incoming::writeAck() -> void {
  Writing = true;
  LastAckSent = FramesHandled;
  for (std::size_t i = 0; i < AckBytes; ++i)
    AckBuffer[i] = static_cast<std::byte>(FramesHandled >> (8 * i));
  asio::async_write(Socket, asio::buffer(AckBuffer),
                    [self = shared_from_this()](auto ec, auto) {
                      self->Writing = false;
                      if (ec)
                        self->close();
                    });
}

auto TcpPeerLink::Incoming::check(TimePoint now) -> bool {
  if (!Socket.is_open())
    return true;
  if (FramesHandled > LastAckSent && !Writing)
    writeAck();
  const bool stalled =
      Decoder.isInsideFrame() && now - LastRead > Owner.Options.ProgressTimeout;
  if (stalled) {
    ++Owner.Counts.ClosedStalled;
    Owner.Log.write(events::PeerConnectionStalled, {{"peer", toString(From)}});
  }
  if (stalled || now - LastFrame > Owner.Options.IdleTimeout)
    close();
  return !Socket.is_open();
}

} // namespace boragebridge
