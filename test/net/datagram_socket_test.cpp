#include "net/datagram_socket.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr std::uint32_t Loopback = 0x7F000001;

struct DatagramSocketFixture {
  asio::io_context Io;
  std::unique_ptr<DatagramSocket> Socket =
      *DatagramSocket::open(Io, {Loopback, 0});
  udp::socket Peer{Io, {asio::ip::address_v4::loopback(), 0}};

  auto peerAddress() const -> Endpoint {
    return {Loopback, Peer.local_endpoint().port()};
  }
  auto send(const std::string &s) -> void {
    Peer.send_to(asio::buffer(s), {asio::ip::address_v4::loopback(),
                                   Socket->localEndpoint().Port});
  }
  auto receive() -> std::string {
    std::string buf(4096, '\0');
    udp::endpoint from;
    buf.resize(Peer.receive_from(asio::buffer(buf), from));
    return buf;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(NetDatagramSocket, DatagramSocketFixture)

BOOST_AUTO_TEST_CASE(ForwardsInPlaceWithPrefix) {
  Socket->start([this](std::span<std::byte> d, const Endpoint &from) {
    BOOST_TEST((from == peerAddress()));
    std::span out(d.data() - 1, d.size() + 1);
    out[0] = std::byte{'>'};
    Socket->queue(out, from);
  });
  for (int i = 0; i < 100; ++i)
    send("datagram " + std::to_string(i));
  Socket->receivePending();
  Socket->receivePending();
  for (int i = 0; i < 100; ++i)
    BOOST_TEST(receive() == ">datagram " + std::to_string(i));
  BOOST_TEST(Socket->counts().Received == 100U);
  BOOST_TEST(Socket->counts().Sent == 100U);
}

BOOST_AUTO_TEST_CASE(OverlongDatagramIsDroppedAndCounted) {
  auto n = 0;
  Socket->start([&](auto, const auto &) { ++n; });
  send(std::string(3000, 'x'));
  send("short");
  Socket->receivePending();
  BOOST_TEST(n == 1);
  BOOST_TEST(Socket->counts().TooLong == 1U);
}

BOOST_AUTO_TEST_CASE(AddressInUseIsAnError) {
  BOOST_TEST(!DatagramSocket::open(Io, Socket->localEndpoint()).ok());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
