#include "store/http_platform.h"

#include "net/deflate.h"

// GCC wrongly reports a zero used as a null pointer in the code that it
// generates for coroutines and in Beast's templates.
#pragma GCC diagnostic ignored "-Wzero-as-null-pointer-constant"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

namespace boragebridge {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// What the server does after it has read a request.
enum class Behaviour { Answer, Close, NoAnswer };

/// A server on loopback that answers one request, and a client of it.
struct HttpPlatformFixture {
  static constexpr std::size_t ResponseBytes = 20'000;
  static constexpr std::size_t WatchResponseBytes = 10'000;

  asio::io_context Io;
  asio::ip::tcp::acceptor Acceptor{Io, {asio::ip::address_v4::loopback(), 0}};
  asio::ip::tcp::socket Peer{Io};
  beast::flat_buffer Buffer;
  http::request<http::string_body> Seen;
  http::response<http::string_body> Answer;
  std::optional<HttpPlatform> Client;
  std::string Text;
  asio::steady_timer Pause{Io};

  HttpPlatformFixture() {
    HttpPlatformSettings settings;
    settings.Address = {0x7F000001, Acceptor.local_endpoint().port()};
    settings.Timeout = std::chrono::milliseconds(300);
    settings.WatchGrace = std::chrono::milliseconds(300);
    settings.StallTimeout = std::chrono::milliseconds(300);
    settings.ResponseBytes = ResponseBytes;
    settings.WatchResponseBytes = WatchResponseBytes;
    Client.emplace(Io, settings);
  }

  auto serve(Behaviour how, unsigned status = 200,
             const std::string &body = "{}") -> void {
    Answer.result(status);
    Answer.body() = body;
    Answer.prepare_payload();
    Acceptor.async_accept(Peer, [this, how](auto) {
      http::async_read(Peer, Buffer, Seen, [this, how](auto, auto) {
        if (how == Behaviour::Close)
          Peer.close();
        if (how == Behaviour::Answer)
          http::async_write(Peer, Answer, [](auto, auto) {});
      });
    });
  }

  /// Sends the header of a response and then each of \p parts of its body,
  /// which has \p length bytes, after \p interval.
  auto serveInParts(const std::vector<std::string> &parts, std::size_t length,
                    Duration interval) -> void {
    Acceptor.async_accept(Peer, [=, this](auto) {
      http::async_read(Peer, Buffer, Seen, [=, this](auto, auto) {
        Text = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) +
               "\r\n\r\n";
        sendText(parts, 0, interval);
      });
    });
  }
  auto sendText(const std::vector<std::string> &parts, std::size_t next,
                Duration interval) -> void {
    asio::async_write(Peer, asio::buffer(Text), [=, this](auto, auto) {
      if (next == parts.size())
        return;
      Pause.expires_after(interval);
      Pause.async_wait([=, this](auto) {
        Text = parts[next];
        sendText(parts, next + 1, interval);
      });
    });
  }

  auto get() -> absl::StatusOr<StoredObject> {
    absl::StatusOr<StoredObject> result = absl::UnknownError("no callback");
    Client->get("config/a b", [&](auto r) { result = std::move(r); });
    Io.run();
    return result;
  }

  auto watch() -> absl::StatusOr<ObjectList> {
    absl::StatusOr<ObjectList> result = absl::UnknownError("no callback");
    Client->watch("k", 1, std::chrono::milliseconds(100),
                  [&](auto r) { result = std::move(r); });
    Io.run();
    return result;
  }

  auto put() -> absl::StatusOr<ObjectVersion> {
    absl::StatusOr<ObjectVersion> result = absl::UnknownError("no callback");
    Client->put("k", "v\"1", 7, [&](auto r) { result = std::move(r); });
    Io.run();
    return result;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpPlatformClient, HttpPlatformFixture)

BOOST_AUTO_TEST_CASE(GetsObject) {
  serve(Behaviour::Answer, 200,
        R"({"key":"config/a b","value":"text","version":9})");
  const auto r = get();
  BOOST_TEST_REQUIRE(r.ok());
  BOOST_TEST(r->Value == "text");
  BOOST_TEST(r->Version == 9U);
  BOOST_TEST(std::string(Seen.target()) == "/v1/objects/config/a%20b");
}

BOOST_AUTO_TEST_CASE(PutSendsValueAndExpectedVersion) {
  serve(Behaviour::Answer, 200, R"({"version":8})");
  const auto r = put();
  BOOST_TEST_REQUIRE(r.ok());
  BOOST_TEST(*r == 8U);
  BOOST_TEST(std::string(Seen.target()) == "/v1/objects/k?expected=7");
  BOOST_TEST(Seen.body() == R"({"value":"v\"1"})");
}

// A watch that continues after an interruption may be answered with every
// version of a large object since; the process then exceeded its memory. The
// list, which has only the last version, is read instead.
BOOST_AUTO_TEST_CASE(TooLongAnswerToAWatchIsOutOfRange) {
  serve(Behaviour::Answer, 200, std::string(WatchResponseBytes + 1, ' '));
  BOOST_TEST(absl::IsOutOfRange(watch().status()));
}

BOOST_AUTO_TEST_CASE(TooLongAnswerToAPollIsDataLoss) {
  serve(Behaviour::Answer, 200, std::string(WatchResponseBytes + 1, ' '));
  absl::StatusOr<ObjectList> result = absl::UnknownError("no callback");
  Client->poll("k", 1, std::chrono::seconds(1),
               [&](auto r) { result = std::move(r); });
  Io.run();
  BOOST_TEST(absl::IsDataLoss(result.status()));
}

BOOST_AUTO_TEST_CASE(WriteWithTooLongAnswerMayHaveTakenEffect) {
  serve(Behaviour::Answer, 200, std::string(ResponseBytes + 1, ' '));
  BOOST_TEST(absl::IsDeadlineExceeded(put().status()));
}

BOOST_AUTO_TEST_CASE(OtherAnswersMayBeLongerThanThatToAWatch) {
  const std::string value(WatchResponseBytes + 1, 'x');
  serve(Behaviour::Answer, 200,
        R"({"key":"config/a b","value":")" + value + R"(","version":9})");
  const auto r = get();
  BOOST_TEST_REQUIRE(r.ok());
  BOOST_TEST(r->Value == value);
}

BOOST_AUTO_TEST_CASE(WatchReportsRemovals) {
  serve(Behaviour::Answer, 200,
        R"({"current_version":12,"objects":[
            {"key":"k","version":12,"removed":true}]})");
  absl::StatusOr<ObjectList> result = absl::UnknownError("no callback");
  Client->watch("config/", 11, std::chrono::seconds(2),
                [&](auto r) { result = std::move(r); });
  Io.run();
  BOOST_TEST_REQUIRE(result.ok());
  BOOST_TEST(result->CurrentVersion == 12U);
  BOOST_TEST(result->Events.front().Removed);
  BOOST_TEST(std::string(Seen.target()) ==
             "/v1/watch?prefix=config%2F&after=11&wait_ms=2000");
}

BOOST_AUTO_TEST_CASE(VersionsContainTheEraOfTheStore) {
  Answer.set("Store-Era", "3");
  serve(Behaviour::Answer, 200,
        R"({"key":"config/a b","value":"text","version":9})");
  const auto r = get();
  BOOST_TEST_REQUIRE(r.ok());
  BOOST_TEST(r->Version == makeVersion(3, 9));
}

// A watch from a revision that the restored store had given out again missed
// the changes before it.
BOOST_AUTO_TEST_CASE(WatchAcrossARestoreOfTheStoreIsOutOfRange) {
  Answer.set("Store-Era", "1");
  serve(Behaviour::Answer, 200, R"({"current_version":12,"objects":[]})");
  BOOST_TEST(absl::IsOutOfRange(watch().status()));
  BOOST_TEST(std::string(Seen.target()) ==
             "/v1/watch?prefix=k&after=1&wait_ms=100");
}

BOOST_AUTO_TEST_CASE(PollAcrossARestoreOfTheStoreReportsTheEra) {
  for (const auto status : {200U, 410U}) {
    HttpPlatformFixture f;
    f.Answer.set("Store-Era", "2");
    f.serve(Behaviour::Answer, status,
            R"({"current_version":12,"objects":[]})");
    absl::StatusOr<ObjectList> result = absl::UnknownError("no callback");
    f.Client->poll("k", makeVersion(1, 40), std::chrono::seconds(1),
                   [&](auto r) { result = std::move(r); });
    f.Io.run();
    BOOST_TEST_REQUIRE(result.ok());
    BOOST_TEST(eraOf(result->CurrentVersion) == 2U);
    BOOST_TEST(result->Events.empty());
  }
}

// An equal revision of another era is another write.
BOOST_AUTO_TEST_CASE(WriteOnAVersionBeforeARestoreOfTheStoreIsAborted) {
  Answer.set("Store-Era", "2");
  serve(Behaviour::Answer, 200, R"({"key":"k","value":"v","version":7})");
  BOOST_TEST_REQUIRE(get().ok());
  absl::StatusOr<ObjectVersion> result = absl::UnknownError("no callback");
  Client->put("k", "v", makeVersion(1, 7),
              [&](auto r) { result = std::move(r); });
  Io.restart();
  Io.run();
  BOOST_TEST(absl::IsAborted(result.status()));
}

BOOST_AUTO_TEST_CASE(DecompressesResponse) {
  Answer.set(http::field::content_encoding, DeflateEncoding);
  serve(Behaviour::Answer, 200,
        *deflate(R"({"key":"config/a b","value":"text","version":9})"));
  const auto r = get();
  BOOST_TEST_REQUIRE(r.ok());
  BOOST_TEST(r->Value == "text");
}

BOOST_AUTO_TEST_CASE(TornCompressedResponseIsDeadlineExceeded) {
  Answer.set(http::field::content_encoding, DeflateEncoding);
  serve(Behaviour::Answer, 200,
        deflate(R"({"key":"config/a b","value":"text"})")->substr(0, 20));
  BOOST_TEST(absl::IsDeadlineExceeded(get().status()));
}

BOOST_AUTO_TEST_CASE(ConflictIsAborted) {
  serve(Behaviour::Answer, 409, R"({"version":8})");
  BOOST_TEST(absl::IsAborted(put().status()));
}

BOOST_AUTO_TEST_CASE(MissingObjectIsNotFound) {
  serve(Behaviour::Answer, 404);
  BOOST_TEST(absl::IsNotFound(get().status()));
}

BOOST_AUTO_TEST_CASE(RefusedConnectionIsUnavailable) {
  Acceptor.close();
  BOOST_TEST(absl::IsUnavailable(put().status()));
}

BOOST_AUTO_TEST_CASE(ConnectionLostAfterRequestIsDeadlineExceeded) {
  serve(Behaviour::Close);
  BOOST_TEST(absl::IsDeadlineExceeded(put().status()));
}

BOOST_AUTO_TEST_CASE(WatchWhoseConnectionIsClosedIsAborted) {
  serve(Behaviour::Close);
  BOOST_TEST(absl::IsAborted(watch().status()));
}

BOOST_AUTO_TEST_CASE(WatchThatIsNotAnsweredIsDeadlineExceeded) {
  serve(Behaviour::NoAnswer);
  BOOST_TEST(absl::IsDeadlineExceeded(watch().status()));
}

BOOST_AUTO_TEST_CASE(UnresponsiveServerIsDeadlineExceeded) {
  serve(Behaviour::NoAnswer);
  BOOST_TEST(absl::IsDeadlineExceeded(put().status()));
}

BOOST_AUTO_TEST_CASE(UnreadableAnswerIsDeadlineExceeded) {
  serve(Behaviour::Answer, 200, "<html>");
  BOOST_TEST(absl::IsDeadlineExceeded(put().status()));
}

BOOST_AUTO_TEST_CASE(NextCallUsesNewAddress) {
  serve(Behaviour::Answer, 200, R"({"key":"k","value":"v","version":9})");
  const Endpoint right{0x7F000001, Acceptor.local_endpoint().port()};
  Client->setAddress({0x7F000001, 1});
  Client->setAddress(right);
  BOOST_TEST(get().ok());
}

BOOST_AUTO_TEST_CASE(DestroyedClientInvokesNoCallback) {
  serve(Behaviour::Answer, 200, R"({"version":8})");
  auto called = false;
  Client->put("k", "v", 0, [&](auto) { called = true; });
  Client.reset();
  Io.run();
  BOOST_TEST(!called);
}

// A reader gave up each configuration that its link took longer for than the
// time limit, and started again at another mirror.
BOOST_AUTO_TEST_CASE(SlowResponseThatMakesProgressIsNotGivenUp) {
  const std::vector<std::string> parts{R"({"current_version":12,)",
                                       R"("objects":[],)", R"("a":1,)",
                                       R"("b":2,)", R"("c":3})"};
  std::size_t n = 0;
  for (const auto &it : parts)
    n += it.size();
  serveInParts(parts, n, std::chrono::milliseconds(120));
  const auto r = watch();
  BOOST_TEST_REQUIRE(r.ok());
  BOOST_TEST(r->CurrentVersion == 12U);
  BOOST_TEST(r->Transfer.Bytes == n);
  BOOST_TEST((r->Transfer.Receiving >= std::chrono::milliseconds(400)));
}

BOOST_AUTO_TEST_CASE(ResponseThatStallsIsGivenUpAndTellsItsProgress) {
  serveInParts({"{\"current"}, 90, std::chrono::milliseconds(1));
  const auto begin = std::chrono::steady_clock::now();
  const auto r = watch();
  BOOST_TEST(absl::IsDeadlineExceeded(r.status()));
  BOOST_TEST(r.status().message() ==
             "the response ended after 9 of 90 bytes: too slow");
  BOOST_TEST((std::chrono::steady_clock::now() - begin <
              std::chrono::milliseconds(900)));
}

BOOST_AUTO_TEST_CASE(SilentServerIsToldFromASlowOne) {
  serve(Behaviour::NoAnswer);
  BOOST_TEST(watch().status().message() == "no response in time");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
