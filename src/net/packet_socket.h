/// \file
/// Sends and receives packets over UDP. The socket never blocks: a packet that
/// the kernel does not accept at once is dropped and counted.
#ifndef BORAGEBRIDGE_NET_PACKET_SOCKET_H
#define BORAGEBRIDGE_NET_PACKET_SOCKET_H

#include "boragebridge/packet.h"

#include "absl/status/statusor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <memory>

namespace boragebridge {

/// Counters of one PacketSocket since it was opened, in datagrams.
struct PacketSocketCounts {
  std::uint64_t Sent = 0;
  std::uint64_t Received = 0;
  /// Received datagrams that decodeDatagram() rejected; dropped.
  std::uint64_t Malformed = 0;
  /// Packets that were too long or that the kernel did not accept; dropped.
  std::uint64_t SendFailed = 0;
};

/// One bound UDP socket. Not thread-safe: all calls and callbacks run on the
/// thread of the io_context, which must outlive the socket.
class PacketSocket {
public:
  /// Handles one received packet.
  using Handler = std::function<void(const Endpoint &from, const Packet &p)>;

  /// Datagrams that are received before the io_context runs other handlers.
  static constexpr int ReceiveBatch = 32;
  /// The requested size of the kernel's buffer for each direction, in bytes.
  static constexpr int KernelBufferBytes = 4 << 20;

  /// Opens a socket bound to \p at; port 0 selects a free port. Returns
  /// Unavailable when binding fails.
  static auto open(boost::asio::io_context &io, const Endpoint &at)
      -> absl::StatusOr<std::unique_ptr<PacketSocket>>;

  explicit PacketSocket(boost::asio::io_context &io) : Socket(io) {}
  PacketSocket(const PacketSocket &) = delete;
  auto operator=(const PacketSocket &) -> PacketSocket & = delete;
  ~PacketSocket() = default;

  /// Starts receiving. Precondition: start() has not been called before.
  auto start(Handler h) -> void;
  auto send(const Endpoint &to, const Packet &p) -> void;
  /// Returns the address that the socket is bound to.
  auto localEndpoint() const -> Endpoint;
  auto counts() const -> const PacketSocketCounts & { return Counts; }

private:
  auto wait() -> void;
  auto receiveBatch() -> void;
  /// Receives and handles one datagram. Returns false when none is pending
  /// or the socket is closed.
  auto receiveOne() -> bool;

  boost::asio::ip::udp::socket Socket;
  Handler Receive;
  Bytes Buffer;
  PacketSocketCounts Counts;
  /// Expires with the socket, so that a completion handler that is already
  /// queued does nothing.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
