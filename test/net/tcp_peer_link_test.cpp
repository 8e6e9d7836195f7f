#include "net/tcp_peer_link.h"

#include "codec/frame_codec.h"
#include "net/asio_endpoint.h"
#include "net/io_fixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace boragebridge {

namespace {

using boost::asio::ip::tcp;

constexpr auto Kind = messageKind(MessageFamily::Flow, 1);

/// Opens links and raw TCP sockets on loopback. The links' handler refuses
/// frames with an empty body.
struct LinkFixture : IoFixture {
  ManualClock Time;
  SeededRandom Random{1};
  NullEventLog Log;
  std::vector<PeerFrame> Received;

  auto open(std::uint64_t id, const TcpPeerLinkOptions &opt = {})
      -> std::unique_ptr<TcpPeerLink> {
    InstanceIdentity self;
    self.Id = InstanceId{id};
    self.IncarnationNumber = Incarnation{id + 100};
    self.PeerAddress = AnyLoopbackPort;
    auto link = TcpPeerLink::open(Io, self, Time, Random, Log, opt).value();
    link->start([this](const PeerFrame &f) {
      Received.push_back(f);
      return !f.Body.empty();
    });
    return link;
  }
  auto connectTo(const TcpPeerLink &link) -> tcp::socket {
    tcp::socket s(Io);
    s.connect(toAsio<tcp>(link.localEndpoint()));
    return s;
  }
  auto listen() -> tcp::acceptor { return {Io, toAsio<tcp>(AnyLoopbackPort)}; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TcpPeerLinks, LinkFixture)

BOOST_AUTO_TEST_CASE(FramesArriveInOrderWithSender) {
  auto a = open(1);
  auto b = open(2);
  for (std::size_t n = 1; n <= 50; ++n)
    a->send(b->localEndpoint(), Kind, Bytes(n), Priority::Data);
  BOOST_REQUIRE(runUntil([&] { return Received.size() == 50; }));
  for (std::size_t n = 1; n <= 50; ++n)
    BOOST_TEST(Received[n - 1].Body.size() == n);
  BOOST_TEST((Received[0].Sender == InstanceId{1}));
  BOOST_TEST((Received[0].SenderIncarnation == Incarnation{101}));
  BOOST_TEST((Received[0].SenderAddress == a->localEndpoint()));
}

BOOST_AUTO_TEST_CASE(ControlFramesPrecedeQueuedData) {
  auto a = open(1);
  auto b = open(2);
  a->send(b->localEndpoint(), Kind, Bytes(1), Priority::Data);
  a->send(b->localEndpoint(), Kind, Bytes(2), Priority::Data);
  a->send(b->localEndpoint(), Kind, Bytes(3), Priority::Control);
  BOOST_REQUIRE(runUntil([&] { return Received.size() == 3; }));
  BOOST_TEST(Received[0].Body.size() == 3U);
  BOOST_TEST(Received[1].Body.size() == 1U);
}

BOOST_AUTO_TEST_CASE(FullQueueDropsOldestFrames) {
  TcpPeerLinkOptions opt;
  opt.QueueBytes = 10'000;
  auto a = open(1, opt);
  auto b = open(2);
  for (std::size_t n = 1; n <= 100; ++n)
    a->send(b->localEndpoint(), Kind, Bytes(900 + n), Priority::Data);
  BOOST_TEST(a->counts().FramesDropped > 80U);
  BOOST_TEST(a->queuedFrames() + a->counts().FramesDropped == 100U);
  const auto kept = a->queuedFrames();
  BOOST_REQUIRE(runUntil([&] { return Received.size() == kept; }));
  BOOST_TEST(Received.back().Body.size() == 1000U);
}

BOOST_AUTO_TEST_CASE(MalformedStreamClosesOnlyItsConnection) {
  auto a = open(1);
  auto b = open(2);
  auto raw = connectTo(*b);
  boost::asio::write(raw, boost::asio::buffer(std::string(4000, 'x')));
  BOOST_REQUIRE(runUntil([&] { return b->counts().ClosedMalformed == 1; }));
  a->send(b->localEndpoint(), Kind, Bytes(1));
  BOOST_TEST(runUntil([&] { return Received.size() == 1; }));
}

BOOST_AUTO_TEST_CASE(FrameRefusedByHandlerClosesConnection) {
  auto a = open(1);
  auto b = open(2);
  a->send(b->localEndpoint(), Kind, {});
  BOOST_REQUIRE(runUntil([&] { return b->counts().ClosedMalformed == 1; }));
  a->send(b->localEndpoint(), Kind, Bytes(1));
  BOOST_TEST(runUntil([&] {
    Time.advance(std::chrono::milliseconds(20));
    return Received.size() == 2 || a->queuedFrames() == 0;
  }));
}

BOOST_AUTO_TEST_CASE(IncompleteFrameTimesOut) {
  auto b = open(2);
  auto raw = connectTo(*b);
  auto frame = encodeFrame({InstanceId{9}, {}, {}, Kind, Bytes(100)}).value();
  boost::asio::write(raw, boost::asio::buffer(frame.data(), frame.size() / 2));
  BOOST_REQUIRE(runUntil([&] { return b->counts().Accepted == 1; }));
  BOOST_TEST(runUntil([&] {
    Time.advance(std::chrono::milliseconds(50));
    return b->counts().ClosedStalled == 1;
  }));
  BOOST_TEST(Received.empty());
}

BOOST_AUTO_TEST_CASE(MissingAcknowledgementsCauseReconnect) {
  auto a = open(1);
  auto acceptor = listen();
  const auto unresponsive = fromAsio(acceptor.local_endpoint());
  std::vector<tcp::socket> accepted;
  std::function<void()> accept = [&] {
    acceptor.async_accept([&](auto ec, tcp::socket s) {
      if (ec)
        return;
      accepted.push_back(std::move(s));
      accept();
    });
  };
  accept();
  BOOST_TEST(runUntil([&] {
    Time.advance(std::chrono::milliseconds(20));
    if (a->queuedFrames() == 0)
      a->send(unresponsive, Kind, Bytes(1));
    return accepted.size() >= 2;
  }));
  BOOST_TEST(a->counts().ClosedStalled >= 1U);
}

BOOST_AUTO_TEST_CASE(AcknowledgementOfUnsentFramesClosesConnection) {
  auto a = open(1);
  auto acceptor = listen();
  tcp::socket peer(Io);
  bool isConnected = false;
  acceptor.async_accept(peer, [&](auto ec) { isConnected = !ec; });
  a->send(fromAsio(acceptor.local_endpoint()), Kind, Bytes(1));
  BOOST_REQUIRE(runUntil([&] { return isConnected; }));
  boost::asio::write(peer, boost::asio::buffer(std::string(8, '\xFF')));
  BOOST_TEST(runUntil([&] { return a->counts().ClosedMalformed == 1; }));
}

BOOST_AUTO_TEST_CASE(FramesForAbsentPeerAreDroppedAndLaterOnesArrive) {
  auto a = open(1);
  auto b = open(2);
  const auto at = b->localEndpoint();
  b.reset();
  a->send(at, Kind, Bytes(1));
  BOOST_REQUIRE(runUntil([&] { return a->counts().ConnectFailures == 1; }));
  BOOST_TEST(a->counts().FramesDropped == 1U);
  InstanceIdentity self;
  self.PeerAddress = at;
  b = TcpPeerLink::open(Io, self, Time, Random, Log).value();
  b->start([this](const PeerFrame &f) {
    Received.push_back(f);
    return true;
  });
  a->send(at, Kind, Bytes(2));
  BOOST_TEST(runUntil([&] {
    Time.advance(std::chrono::milliseconds(20));
    return !Received.empty();
  }));
  BOOST_TEST(Received[0].Body.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ConnectionsOverTheLimitAreClosed) {
  TcpPeerLinkOptions opt;
  opt.MaxAccepted = 2;
  auto b = open(2, opt);
  std::vector<tcp::socket> all;
  all.reserve(3);
  for (int n = 0; n < 3; ++n)
    all.push_back(connectTo(*b));
  BOOST_TEST(runUntil([&] { return b->counts().OverLimit == 1; }));
  BOOST_TEST(b->counts().Accepted == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
