/// \file
/// Packets over UDP. The socket never blocks: what the kernel does not take at
/// once is dropped and counted.
#ifndef BORAGEBRIDGE_NET_PACKET_SOCKET_H
#define BORAGEBRIDGE_NET_PACKET_SOCKET_H

#include "boragebridge/packet.h"

#include "absl/status/statusor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <memory>

namespace boragebridge {

/// What a socket has seen.
struct PacketSocketCounts {
  std::uint64_t Sent = 0;
  std::uint64_t Received = 0;
  /// Datagrams that did not verify; dropped.
  std::uint64_t Malformed = 0;
  /// Packets over the limit or that the kernel refused; dropped.
  std::uint64_t SendFailed = 0;
};

/// One bound UDP socket. Not thread-safe; all calls and callbacks come from
/// the thread of its io_context, which outlives it.
class PacketSocket {
public:
  using Handler = std::function<void(const Endpoint &from, const Packet &p)>;

  /// Datagrams taken from the kernel before other work gets its turn.
  static constexpr int ReceiveBatch = 32;
  /// Kernel buffers asked for, in bytes, in each direction.
  static constexpr int KernelBufferBytes = 4 << 20;

  /// Binds to \p at (port 0: any free one). Unavailable when that fails.
  static auto open(boost::asio::io_context &io, const Endpoint &at)
      -> absl::StatusOr<std::unique_ptr<PacketSocket>>;

  explicit PacketSocket(boost::asio::io_context &io) : Socket(io) {}
  PacketSocket(const PacketSocket &) = delete;
  auto operator=(const PacketSocket &) -> PacketSocket & = delete;
  ~PacketSocket() = default;

  /// Begins to receive. Precondition: called once.
  auto start(Handler h) -> void;
  auto send(const Endpoint &to, const Packet &p) -> void;
  /// Where it is bound.
  auto localEndpoint() const -> Endpoint;
  auto counts() const -> const PacketSocketCounts & { return Counts; }

private:
  auto wait() -> void;
  auto receiveBatch() -> void;
  auto receiveOne() -> bool;

  boost::asio::ip::udp::socket Socket;
  Handler Receive;
  Bytes Buffer;
  PacketSocketCounts Counts;
  /// Expires with the socket, so that a queued completion does nothing.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
