#include "net/http_server.h"

#include "net/asio_endpoint.h"
#include "net/http_client.h"
#include "net/io_fixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

namespace boragebridge {

namespace {

using boost::asio::ip::tcp;

struct HttpFixture : IoFixture {
  HttpRespond Pending;
  std::shared_ptr<const std::string> Shared =
      std::make_shared<const std::string>("shared");
  HttpServerOptions Options;
  std::unique_ptr<HttpServer> Server = open();

  auto open() -> std::unique_ptr<HttpServer> {
    Options.MaxConnections = 3;
    Options.Timeout = std::chrono::milliseconds(300);
    Options.RequestBytes = 1000;
    return HttpServer::open(
               Io, AnyLoopbackPort,
               [this](const HttpRequest &r, HttpRespond respond) {
                 if (r.Target == "/later")
                   Pending = std::move(respond);
                 else if (r.Target == "/shared")
                   respond({200, "text/plain", {}, {}, Shared});
                 else
                   respond({200,
                            "text/plain",
                            r.Method + " " + r.Body + " " + r.Headers.at("x-a"),
                            {{"ETag", "7"}}});
               },
               Options)
        .value();
  }
  auto call(HttpRequest r) -> absl::StatusOr<HttpResponse> {
    std::optional<absl::StatusOr<HttpResponse>> out;
    httpCall(Io, Server->localEndpoint(), std::move(r),
             std::chrono::seconds(10), [&out](auto v) { out = std::move(v); });
    BOOST_REQUIRE(runUntil([&] { return out.has_value(); }));
    return *out;
  }
  auto connect() -> tcp::socket {
    tcp::socket s(Io);
    s.connect(toAsio<tcp>(Server->localEndpoint()));
    return s;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpServers, HttpFixture)

BOOST_AUTO_TEST_CASE(TransfersBodyAndHeaders) {
  auto r = call({"POST", "/x", "body", {{"x-a", "1"}}});
  BOOST_REQUIRE(r.ok());
  BOOST_TEST(r->Status == 200U);
  BOOST_TEST(r->Body == "POST body 1");
  BOOST_TEST(r->Headers["etag"] == "7");
}

BOOST_AUTO_TEST_CASE(SharedBodyIsSentAndReleased) {
  for (int i = 0; i < 2; ++i) {
    const auto r = call({"GET", "/shared", "", {}});
    BOOST_REQUIRE(r.ok());
    BOOST_TEST(r->Body == "shared");
  }
  BOOST_TEST(runUntil([&] { return Shared.use_count() == 1; }));
}

BOOST_AUTO_TEST_CASE(MalformedRequestGets400) {
  auto s = connect();
  boost::asio::write(s, boost::asio::buffer(std::string("nonsense\r\n\r\n")));
  std::array<char, 12> head{};
  bool isRead = false;
  s.async_read_some(boost::asio::buffer(head),
                    [&](auto ec, auto) { isRead = !ec; });
  BOOST_REQUIRE(runUntil([&] { return isRead; }));
  BOOST_TEST(std::string(head.data(), head.size()) == "HTTP/1.1 400");
  BOOST_TEST(Server->counts().Refused == 1U);
}

BOOST_AUTO_TEST_CASE(OverlongBodyIsRefusedByItsLength) {
  auto s = connect();
  const auto head = "PUT / HTTP/1.1\r\nContent-Length: " +
                    std::to_string(Options.RequestBytes + 1) + "\r\n\r\n";
  boost::asio::write(s, boost::asio::buffer(head));
  BOOST_TEST(runUntil([&] { return Server->counts().Refused == 1; }));
}

BOOST_AUTO_TEST_CASE(SlowSenderTimesOutWithoutDelayingOthers) {
  auto s = connect();
  boost::asio::write(s, boost::asio::buffer(std::string("GET / HT")));
  BOOST_TEST(call({"GET", "/", "", {{"x-a", "2"}}}).ok());
  BOOST_TEST(runUntil([&] { return Server->counts().Open == 0; }));
}

BOOST_AUTO_TEST_CASE(ConnectionsOverTheLimitAreClosed) {
  std::vector<tcp::socket> all;
  all.reserve(4);
  for (int n = 0; n < 4; ++n)
    all.push_back(connect());
  BOOST_TEST(runUntil([&] { return Server->counts().OverLimit == 1; }));
}

BOOST_AUTO_TEST_CASE(ResponseAfterServerDestructionIsIgnored) {
  httpCall(Io, Server->localEndpoint(), {"GET", "/later", "", {}},
           std::chrono::seconds(10), [](const auto &) {});
  BOOST_REQUIRE(runUntil([&] { return static_cast<bool>(Pending); }));
  Server.reset();
  Pending({200, "text/plain", "late", {}});
}

BOOST_AUTO_TEST_CASE(CallToClosedPortIsUnavailable) {
  const auto at = Server->localEndpoint();
  Server.reset();
  auto r = httpCallAndWait(at, {"GET", "/", "", {}}, std::chrono::seconds(5));
  BOOST_TEST((r.status().code() == absl::StatusCode::kUnavailable));
}

// A reader of a mirror with a slow link was given up while it took a response.
BOOST_AUTO_TEST_CASE(SlowClientThatMakesProgressGetsTheWholeResponse) {
  constexpr std::size_t BodyBytes = std::size_t{32} << 20;
  constexpr std::size_t ChunkBytes = std::size_t{2} << 20;
  constexpr auto Pause = std::chrono::milliseconds(60);
  Shared = std::make_shared<const std::string>(BodyBytes, 'x');
  auto s = connect();
  boost::asio::write(
      s, boost::asio::buffer(std::string("GET /shared HTTP/1.1\r\n\r\n")));
  std::size_t received = 0;
  std::string chunk(ChunkBytes, '\0');
  auto ended = false;
  boost::asio::steady_timer timer(Io);
  std::function<void()> read = [&] {
    boost::asio::async_read(s, boost::asio::buffer(chunk),
                            [&](auto ec, std::size_t n) {
                              received += n;
                              ended = ec || received >= BodyBytes;
                              timer.expires_after(Pause);
                              timer.async_wait([&](auto) {
                                if (!ended)
                                  read();
                              });
                            });
  };
  read();
  BOOST_REQUIRE(runUntil([&] { return ended; }));
  BOOST_TEST(received == BodyBytes);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
