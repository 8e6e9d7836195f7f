/// \file
/// A UDP socket that receives and sends in batches, for forwarding datagrams
/// in place: without a copy or an allocation, and with one system call for many
/// datagrams.
///
/// Example:
/// \code
///   socket->start([&](std::span<std::byte> datagram, const Endpoint &from) {
///     socket->queue(datagram, upstream);   // sent after the batch
///   });
/// \endcode
///
/// The socket never blocks: a datagram that the kernel does not accept at once
/// is dropped and counted. Not thread-safe: all calls and callbacks run on the
/// thread of the io_context, which must outlive the socket.
#ifndef BORAGEBRIDGE_NET_DATAGRAM_SOCKET_H
#define BORAGEBRIDGE_NET_DATAGRAM_SOCKET_H

#include "boragebridge/types.h"

#include "absl/status/statusor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <memory>

namespace boragebridge {

/// Counters of one DatagramSocket since it was opened, in datagrams.
struct DatagramCounts {
  std::uint64_t Received = 0;
  std::uint64_t Sent = 0;
  /// Datagrams that the kernel did not accept; dropped.
  std::uint64_t SendFailed = 0;
  /// Received datagrams longer than DatagramSocket::DatagramBytes; dropped.
  std::uint64_t TooLong = 0;
};

/// One bound UDP socket that handles datagrams in batches.
class DatagramSocket {
public:
  /// The maximum number of datagrams of one system call.
  static constexpr std::size_t BatchSize = 32;
  /// The longest datagram that is received, in bytes.
  static constexpr std::size_t DatagramBytes = 2048;
  /// Bytes in front of a received datagram that the handler may overwrite.
  static constexpr std::size_t Headroom = 16;
  /// Batches that are received before the io_context runs other handlers.
  static constexpr int MaxBatchesPerWakeup = 8;

  /// Handles one received datagram. The datagram's bytes and the Headroom bytes
  /// in front of them stay valid until the batch has been handled and sent.
  using Handler =
      std::function<void(std::span<std::byte> datagram, const Endpoint &from)>;

  /// Opens a socket bound to \p at; port 0 selects a free port. Returns
  /// Unavailable when binding fails.
  static auto open(boost::asio::io_context &io, const Endpoint &at)
      -> absl::StatusOr<std::unique_ptr<DatagramSocket>>;
  explicit DatagramSocket(boost::asio::io_context &io);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket &) = delete;
  auto operator=(const DatagramSocket &) -> DatagramSocket & = delete;

  /// Starts receiving. Precondition: start() has not been called before.
  auto start(Handler h) -> void;
  /// Receives pending datagrams, at most MaxBatchesPerWakeup batches, and
  /// passes them to the handler.
  auto receivePending() -> void;
  /// Queues \p bytes, which are sent to \p to after the batch has been handled.
  /// Preconditions: the handler makes this call, at most once for each
  /// datagram; \p bytes stay valid until the batch has been sent.
  auto queue(std::span<std::byte> bytes, const Endpoint &to) -> void;
  /// Returns the address that the socket is bound to.
  auto localEndpoint() const -> Endpoint;
  auto counts() const -> const DatagramCounts & { return Counts; }

private:
  struct Buffers;

  auto wait() -> void;
  /// Receives, handles and answers one batch. Returns true when more
  /// datagrams may be pending.
  auto receiveBatch() -> bool;
  /// Sends the queued datagrams.
  auto flush() -> void;

  boost::asio::ip::udp::socket Socket;
  Handler Receive;
  std::unique_ptr<Buffers> Data;
  DatagramCounts Counts;
  /// Expires with the socket, so that a pending wait then does nothing.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
