#include "net/datagram_socket.h"

#include "net/asio_endpoint.h"
#include "net/udp_bind.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>

namespace boragebridge {

namespace asio = boost::asio;
using asio::ip::udp;

/// The memory that recvmmsg() and sendmmsg() use for one batch.
struct DatagramSocket::Buffers {
  std::array<std::array<std::byte, Headroom + DatagramBytes>, BatchSize> Bytes;
  std::array<iovec, BatchSize> InVectors;
  std::array<sockaddr_in, BatchSize> InAddresses;
  std::array<mmsghdr, BatchSize> In;
  std::array<iovec, BatchSize> OutVectors;
  std::array<sockaddr_in, BatchSize> OutAddresses;
  std::array<mmsghdr, BatchSize> Out;
  std::size_t Queued = 0;

  Buffers()
      : InVectors(), InAddresses(), In(), OutVectors(), OutAddresses(), Out() {
    for (std::size_t i = 0; i < BatchSize; ++i) {
      InVectors[i] = {&Bytes[i][Headroom], DatagramBytes};
      In[i].msg_hdr.msg_iov = &InVectors[i];
      In[i].msg_hdr.msg_iovlen = 1;
      In[i].msg_hdr.msg_name = &InAddresses[i];
      Out[i].msg_hdr.msg_iov = &OutVectors[i];
      Out[i].msg_hdr.msg_iovlen = 1;
      Out[i].msg_hdr.msg_name = &OutAddresses[i];
      Out[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
  }
};

DatagramSocket::DatagramSocket(asio::io_context &io)
    : Socket(io), Data(std::make_unique<Buffers>()) {}

DatagramSocket::~DatagramSocket() = default;

auto DatagramSocket::open(asio::io_context &io, const Endpoint &at)
    -> absl::StatusOr<std::unique_ptr<DatagramSocket>> {
  auto socket = std::make_unique<DatagramSocket>(io);
  constexpr int KernelBufferBytes = 1 << 20;
  if (auto s = bindUdp(socket->Socket, at, {.ReceiveBytes = KernelBufferBytes});
      !s.ok())
    return s;
  return socket;
}

auto DatagramSocket::start(Handler h) -> void {
  Receive = std::move(h);
  wait();
}

auto DatagramSocket::wait() -> void {
  Socket.async_wait(udp::socket::wait_read,
                    [this, alive = std::weak_ptr(Alive)](auto ec) {
                      if (ec || alive.expired())
                        return;
                      receivePending();
                      wait();
                    });
}

auto DatagramSocket::receivePending() -> void {
  for (int i = 0; i < MaxBatchesPerWakeup; ++i)
    if (!receiveBatch())
      return;
}

auto DatagramSocket::receiveBatch() -> bool {
  auto &d = *Data;
  for (auto &it : d.In)
    it.msg_hdr.msg_namelen = sizeof(sockaddr_in);
  const auto n = ::recvmmsg(Socket.native_handle(), d.In.data(), BatchSize,
                            MSG_DONTWAIT, nullptr);
  // An ICMP error for an earlier send is reported here as ECONNREFUSED; the
  // socket stays usable.
  if (n <= 0)
    return n < 0 && errno == ECONNREFUSED;
  for (std::size_t i = 0; i < static_cast<std::size_t>(n); ++i) {
    if ((d.In[i].msg_hdr.msg_flags & MSG_TRUNC) != 0) {
      ++Counts.TooLong;
      continue;
    }
    ++Counts.Received;
    const Endpoint from{ntohl(d.InAddresses[i].sin_addr.s_addr),
                        ntohs(d.InAddresses[i].sin_port)};
    Receive(std::span(d.Bytes[i]).subspan(Headroom, d.In[i].msg_len), from);
  }
  flush();
  return static_cast<std::size_t>(n) == BatchSize;
}

auto DatagramSocket::queue(std::span<std::byte> bytes, const Endpoint &to)
    -> void {
  auto &d = *Data;
  if (d.Queued == BatchSize)
    flush();
  d.OutVectors[d.Queued] = {bytes.data(), bytes.size()};
  auto &address = d.OutAddresses[d.Queued];
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(to.Address);
  address.sin_port = htons(to.Port);
  ++d.Queued;
}

auto DatagramSocket::flush() -> void {
  auto &d = *Data;
  std::size_t sent = 0;
  while (sent < d.Queued) {
    const auto n =
        ::sendmmsg(Socket.native_handle(), &d.Out[sent],
                   static_cast<unsigned>(d.Queued - sent), MSG_DONTWAIT);
    if (n > 0) {
      sent += static_cast<std::size_t>(n);
      Counts.Sent += static_cast<std::uint64_t>(n);
      continue;
    }
    // The kernel refused the first datagram; it may accept the ones behind it.
    ++Counts.SendFailed;
    ++sent;
  }
  d.Queued = 0;
}

auto DatagramSocket::localEndpoint() const -> Endpoint {
  boost::system::error_code ec;
  return fromAsio(Socket.local_endpoint(ec));
}

} // namespace boragebridge
