/// \file
/// A UDP socket that receives and sends in batches, for forwarding datagrams
/// in place: no copy, no allocation and one system call for many datagrams.
///
/// Example:
/// \code
///   socket->start([&](std::span<std::byte> datagram, const Endpoint &from) {
///     socket->queue(datagram, upstream);   // sent with the batch
///   });
/// \endcode
///
/// The socket never blocks: what the kernel does not take at once is dropped
/// and counted. Not thread-safe; runs on the thread of its io_context, which
/// outlives it.
#ifndef BORAGEBRIDGE_NET_DATAGRAM_SOCKET_H
#define BORAGEBRIDGE_NET_DATAGRAM_SOCKET_H

#include "boragebridge/types.h"

#include "absl/status/statusor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <memory>

namespace boragebridge {

/// What a socket has seen.
struct DatagramCounts {
  std::uint64_t Received = 0;
  std::uint64_t Sent = 0;
  /// The kernel did not take them.
  std::uint64_t SendFailed = 0;
  /// Longer than MaxDatagramBytes; dropped.
  std::uint64_t TooLong = 0;
};

class DatagramSocket {
public:
  /// Datagrams of one system call.
  static constexpr std::size_t BatchSize = 32;
  static constexpr std::size_t DatagramBytes = 2048;
  /// Bytes in front of a received datagram that the handler may write to.
  static constexpr std::size_t Headroom = 16;
  /// Batches taken before other work of the io_context gets its turn.
  static constexpr int MaxBatchesPerWakeup = 8;

  /// Gets a datagram that was received. Its bytes and Headroom bytes in front
  /// of them stay valid until the handler of the whole batch is done.
  using Handler =
      std::function<void(std::span<std::byte> datagram, const Endpoint &from)>;

  /// Binds to \p at (port 0: any free one). Unavailable when that fails.
  static auto open(boost::asio::io_context &io, const Endpoint &at)
      -> absl::StatusOr<std::unique_ptr<DatagramSocket>>;
  explicit DatagramSocket(boost::asio::io_context &io);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket &) = delete;
  auto operator=(const DatagramSocket &) -> DatagramSocket & = delete;

  /// Begins to receive. Precondition: called once.
  auto start(Handler h) -> void;
  /// Hands over all datagrams that wait.
  auto receivePending() -> void;
  /// Sends \p bytes to \p to with the batch. Precondition: called by the
  /// handler, at most once for each datagram; \p bytes stay valid until the
  /// batch is done.
  auto queue(std::span<std::byte> bytes, const Endpoint &to) -> void;
  auto localEndpoint() const -> Endpoint;
  auto counts() const -> const DatagramCounts & { return Counts; }

private:
  struct Buffers;

  auto wait() -> void;
  /// Whether there may be more.
  auto receiveBatch() -> bool;
  auto flush() -> void;

  boost::asio::ip::udp::socket Socket;
  Handler Receive;
  std::unique_ptr<Buffers> Data;
  DatagramCounts Counts;
  /// Expires with the socket, so that pending waits end with no callback.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
