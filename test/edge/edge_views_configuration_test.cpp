// How the views read the configuration and its parts.
#include <boost/test/unit_test.hpp>

#include "edge_views_fixture.h"

namespace boragebridge {

using std::chrono::seconds;

BOOST_FIXTURE_TEST_SUITE(EdgeViewsConfiguration, ViewsFixture)

// Each version was sent whole over each link of the tree, and read whole by
// each instance: 6 s to the readers of one weak parent, and pauses of 0.8 s.
BOOST_AUTO_TEST_CASE(ChangeOfOneRouteCostsReadersThatRouteAlone) {
  constexpr int Routes = 3000;
  const std::string prefix(ConfigurationPartsPrefix);
  start();
  const auto answer = [&](ObjectVersion at, int version, int lastPort) {
    Store.answer(
        "config/",
        ObjectList{{{{"config/main",
                      largeConfiguration(version, Routes, lastPort), at},
                     false}},
                   at});
    advance(seconds(1));
  };
  answer(12, 4, 443);
  answer(15, 5, 8443);
  const auto changes = Views.mirror().changes(prefix, 12);
  BOOST_TEST_REQUIRE(changes.ok());
  BOOST_TEST(changes->CurrentVersion == 15U);
  BOOST_TEST(changes->Events.size() == 2U);
  std::size_t n = 0;
  for (const auto &it : changes->Events)
    n += it.Object.Value.size();
  BOOST_TEST(n < 300U);
  BOOST_TEST(Directory.route({0xC6120BF9, 8443}) != nullptr);
  BOOST_TEST(Directory.route({0xC6120BF9, 443}) == nullptr);
}

BOOST_AUTO_TEST_CASE(ReaderOfAMirrorFollowsTheParts) {
  const std::string prefix(ConfigurationPartsPrefix);
  start();
  const auto parts = splitIntoObjects(
      Format, {"config/main", largeConfiguration(7, 3, 80), 12}, 12);
  BOOST_TEST_REQUIRE(parts.ok());
  Store.answer("config/", *parts);
  BOOST_TEST(Directory.configuration().Version == 7U);
  BOOST_TEST(Directory.configuration().Routes.size() == 4U);
  advance(seconds(1));
  Store.answer(
      "config/",
      ObjectList{
          {{{prefix + "routes/r0", "", 14}, true},
           {{prefix + "head/", R"({"version":8,"limits":{}})", 1}, false}},
          14});
  BOOST_TEST(Directory.configuration().Version == 8U);
  BOOST_TEST(Directory.route({0xC6120000, 443}) == nullptr);
}

BOOST_AUTO_TEST_CASE(ConfigurationWithAnUnreadableRouteIsNotInForce) {
  start();
  auto text = largeConfiguration(9, 3, 80);
  text.replace(text.find("/80/"), 4, "/no/");
  Store.answer("config/", ObjectList{{{{"config/main", text, 12}, false}}, 12});
  BOOST_TEST(Directory.configuration().Version == 3U);
  advance(seconds(1));
  Store.answer(
      "config/",
      ObjectList{{{{"config/main", largeConfiguration(10, 3, 80), 13}, false}},
                 13});
  BOOST_TEST(Directory.configuration().Version == 10U);
}

// Several versions arrive together after an interruption.
BOOST_AUTO_TEST_CASE(OnlyTheNewestOfSeveralVersionsIsRead) {
  start();
  Store.answer(
      "config/",
      ObjectList{{{{"config/main", largeConfiguration(4, 2, 80), 11}, false},
                  {{"config/main", largeConfiguration(6, 5, 80), 12}, false}},
                 12});
  BOOST_TEST(Directory.configuration().Version == 6U);
  BOOST_TEST(Directory.configuration().Routes.size() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
