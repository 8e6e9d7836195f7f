#include "store/mirror_api.h"

#include "net/deflate.h"
#include "net/object_json.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

namespace {

struct MirrorApiFixture {
  ManualClock Time;
  ObjectMirror Mirror;
  HttpHandler Api = makeMirrorApi(Mirror, Time);
  HttpResponse Response;

  auto get(const std::string &target, bool acceptsDeflate) -> void {
    HttpRequest r{"GET", target, {}, {}};
    if (acceptsDeflate)
      r.Headers["accept-encoding"] = DeflateEncoding;
    Api(r, [this](HttpResponse out) { Response = std::move(out); });
  }
  auto listCompressed() -> absl::StatusOr<ObjectList> {
    get("/v1/objects?prefix=p%2F", true);
    BOOST_TEST(Response.Headers["Content-Encoding"] == DeflateEncoding);
    constexpr std::size_t Limit = std::size_t{1} << 20;
    BOOST_TEST_REQUIRE(Response.SharedBody != nullptr);
    const auto body = inflate(*Response.SharedBody, Limit);
    return body.ok() ? parseObjectList(*body) : body.status();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreMirrorApi, MirrorApiFixture)

// An instance of an older version asks without Accept-Encoding.
BOOST_AUTO_TEST_CASE(CompressesOnlyOnRequest) {
  Mirror.replace("p/", {{{{"p/a", "{}", 5}, false}}, 7});
  get("/v1/objects?prefix=p%2F", false);
  BOOST_TEST(Response.Headers.empty());
  BOOST_TEST(parseObjectList(Response.Body).ok());
  const auto l = listCompressed();
  BOOST_TEST_REQUIRE(l.ok());
  BOOST_TEST(l->CurrentVersion == 7U);
}

BOOST_AUTO_TEST_CASE(CompressedListFollowsChanges) {
  Mirror.replace("p/", {{{{"p/a", "{}", 5}, false}}, 7});
  BOOST_TEST(listCompressed()->Events.size() == 1U);
  Mirror.apply("p/", {{{{"p/b", "{}", 8}, false}}, 8});
  BOOST_TEST(listCompressed()->Events.size() == 2U);
  Mirror.apply("p/", {{{{"p/a", "", 9}, true}}, 9});
  const auto l = listCompressed();
  BOOST_TEST_REQUIRE(l.ok());
  BOOST_TEST(l->Events.size() == 1U);
  BOOST_TEST(l->CurrentVersion == 9U);
}

// A reader continues from the version of its list, so that may be older than
// the view, but the changes after it must not be missing.
BOOST_AUTO_TEST_CASE(CompressedListIsKeptWhileOnlyTheVersionAdvances) {
  Mirror.replace("p/", {{{{"p/a", "{}", 5}, false}}, 7});
  BOOST_TEST(listCompressed().ok());
  Mirror.advance("p/", 40);
  const auto l = listCompressed();
  BOOST_TEST_REQUIRE(l.ok());
  BOOST_TEST(l->CurrentVersion == 7U);
  BOOST_TEST(Mirror.changes("p/", l->CurrentVersion).ok());
}

// Readers compare the digest with that of their own view (review/11).
BOOST_AUTO_TEST_CASE(AnswerToAWatchHasTheDigestOfTheView) {
  Mirror.replace("p/", {{{{"p/a", "{}", 5}, false}}, 7});
  Mirror.apply("p/", {{{{"p/b", "{}", 8}, false}}, 8});
  for (const auto *after : {"7", "8"}) {
    get(std::string("/v1/watch?prefix=p%2F&wait_ms=0&after=") + after, false);
    const auto l = parseObjectList(
        Response.SharedBody != nullptr ? *Response.SharedBody : Response.Body);
    BOOST_TEST_REQUIRE(l.ok());
    BOOST_TEST_REQUIRE(l->Digest.has_value());
    BOOST_TEST(*l->Digest == Mirror.digest("p/"));
  }
}

BOOST_AUTO_TEST_CASE(UnconfirmedViewIsRefusedAlsoWhenCompressed) {
  get("/v1/objects?prefix=p%2F", true);
  BOOST_TEST(Response.Status == 412U);
  Mirror.replace("p/", {{{{"p/a", "{}", 5}, false}}, 7});
  BOOST_TEST(listCompressed().ok());
  Mirror.setConfirmed("p/", false);
  get("/v1/objects?prefix=p%2F", true);
  BOOST_TEST(Response.Status == 412U);
  get("/v1/objects?prefix=p%2F&unconfirmed=1", true);
  BOOST_TEST(Response.Status == 200U);
}

BOOST_AUTO_TEST_CASE(WatchWithoutWaitIsAnsweredAtOnce) {
  Mirror.replace("p/", {{{{"p/a", "{}", 5}, false}}, 7});
  Response.Status = 0;
  get("/v1/watch?prefix=p%2F&after=7&wait_ms=0", false);
  BOOST_TEST(Response.Status == 200U);
  get("/v1/watch?prefix=p%2F&after=6&wait_ms=0", false);
  BOOST_TEST(Response.Status == 410U);
}

// Each of many readers held a copy of a large configuration until its link had
// taken it.
BOOST_AUTO_TEST_CASE(ReadersThatWaitTogetherShareOneBody) {
  Mirror.replace("p/", {{{{"p/a", "{}", 5}, false}}, 7});
  std::vector<HttpResponse> responses;
  for (int i = 0; i < 3; ++i)
    Api({"GET", "/v1/watch?prefix=p%2F&after=7&wait_ms=1000", {}, {}},
        [&](HttpResponse out) { responses.push_back(std::move(out)); });
  Mirror.apply("p/", {{{{"p/b", "{}", 8}, false}}, 8});
  BOOST_TEST_REQUIRE(responses.size() == 3U);
  BOOST_TEST_REQUIRE(responses[0].SharedBody != nullptr);
  BOOST_TEST(responses[0].SharedBody == responses[1].SharedBody);
  BOOST_TEST(responses[0].SharedBody == responses[2].SharedBody);
  const auto l = parseObjectList(*responses[0].SharedBody);
  BOOST_TEST_REQUIRE(l.ok());
  BOOST_TEST(l->Events.size() == 1U);
  BOOST_TEST(l->CurrentVersion == 8U);
}

// A shared body must not reach a reader that is at another version.
BOOST_AUTO_TEST_CASE(BodyIsSharedOnlyForTheSameChanges) {
  Mirror.replace("p/", {{{{"p/a", "{}", 5}, false}}, 7});
  Mirror.apply("p/", {{{{"p/b", "{}", 8}, false}}, 8});
  get("/v1/watch?prefix=p%2F&after=7&wait_ms=0", false);
  const auto first = Response.SharedBody;
  BOOST_TEST_REQUIRE(first != nullptr);
  Mirror.apply("p/", {{{{"p/c", "{}", 9}, false}}, 9});
  get("/v1/watch?prefix=p%2F&after=7&wait_ms=0", false);
  BOOST_TEST(parseObjectList(*Response.SharedBody)->Events.size() == 2U);
  get("/v1/watch?prefix=p%2F&after=8&wait_ms=0", false);
  BOOST_TEST(parseObjectList(*Response.SharedBody)->Events.size() == 1U);
  BOOST_TEST(parseObjectList(*first)->Events.size() == 1U);
}

BOOST_AUTO_TEST_CASE(LongAnswerToAWatchIsCompressedOnRequest) {
  Mirror.replace("p/", {{{{"p/a", "{}", 5}, false}}, 7});
  const std::string text(100'000, 'x');
  Mirror.apply("p/", {{{{"p/b", text, 8}, false}}, 8});
  get("/v1/watch?prefix=p%2F&after=7&wait_ms=0", true);
  BOOST_TEST(Response.Headers["Content-Encoding"] == DeflateEncoding);
  BOOST_TEST_REQUIRE(Response.SharedBody != nullptr);
  BOOST_TEST(Response.SharedBody->size() < text.size() / 10);
  const auto body = inflate(*Response.SharedBody, 2 * text.size());
  BOOST_TEST_REQUIRE(body.ok());
  BOOST_TEST(parseObjectList(*body)->Events.at(0).Object.Value == text);
  get("/v1/watch?prefix=p%2F&after=7&wait_ms=0", false);
  BOOST_TEST(Response.Headers.empty());
  BOOST_TEST(parseObjectList(*Response.SharedBody).ok());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
