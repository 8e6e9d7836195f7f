#include "net/packet_socket.h"

#include "net/asio_endpoint.h"
#include "net/io_fixture.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

BOOST_FIXTURE_TEST_SUITE(PacketSockets, IoFixture)

BOOST_AUTO_TEST_CASE(ReceivesPacketsAndCountsMalformedDatagrams) {
  auto a = PacketSocket::open(Io, AnyLoopbackPort).value();
  auto b = PacketSocket::open(Io, AnyLoopbackPort).value();
  std::vector<Packet> received;
  Endpoint from;
  b->start([&](const Endpoint &sender, const Packet &p) {
    from = sender;
    received.push_back(p);
  });
  using boost::asio::ip::udp;
  udp::socket raw(Io, udp::v4());
  raw.send_to(boost::asio::buffer(std::string(50, 'x')),
              toAsio<udp>(b->localEndpoint()));
  raw.send_to(boost::asio::buffer(std::string()),
              toAsio<udp>(b->localEndpoint()));
  a->send(b->localEndpoint(), {PacketKind::FlowData, {}, Bytes(9)});
  BOOST_REQUIRE(runUntil([&] { return !received.empty(); }));
  BOOST_TEST(received[0].Payload.size() == 9U);
  BOOST_TEST((from == a->localEndpoint()));
  BOOST_TEST(b->counts().Malformed == 2U);
}

BOOST_AUTO_TEST_CASE(ClosedRemotePortDoesNotStopReceiving) {
  auto a = PacketSocket::open(Io, AnyLoopbackPort).value();
  auto b = PacketSocket::open(Io, AnyLoopbackPort).value();
  const auto closedAddress = b->localEndpoint();
  b.reset();
  int received = 0;
  a->start([&](const Endpoint &, const Packet &) { ++received; });
  for (int n = 0; n < 5; ++n)
    a->send(closedAddress, {PacketKind::FlowData, {}, {}});
  auto c = PacketSocket::open(Io, AnyLoopbackPort).value();
  c->send(a->localEndpoint(), {PacketKind::FlowData, {}, {}});
  BOOST_TEST(runUntil([&] { return received == 1; }));
}

BOOST_AUTO_TEST_CASE(AddressInUseErrorNamesTheAddress) {
  auto a = PacketSocket::open(Io, AnyLoopbackPort).value();
  auto b = PacketSocket::open(Io, a->localEndpoint());
  BOOST_REQUIRE(!b.ok());
  BOOST_TEST(b.status().message().find(toString(a->localEndpoint())) !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
