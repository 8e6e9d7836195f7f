#include "edge/configuration_parts.h"

#include "record_codec.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

namespace {

struct PartsFixture {
  users::RecordCodec Format;
  ConfigurationParts Parts{Format};

  static auto route(const std::string &name, int port) -> std::string {
    return R"({"name":")" + name + R"(","host":"198.18.0.1","pathPrefix":"/)" +
           std::to_string(port) + R"(/","service":"s"})";
  }
  /// Brings the parts to version \p version with \p routes. Returns what has
  /// changed.
  auto become(int version, const std::string &routes)
      -> std::vector<ObjectEvent> {
    const StoredObject o{"config/main",
                         R"({"version":)" + std::to_string(version) +
                             R"(,"routes":[)" + routes + R"(],"services":[]})",
                         1};
    const auto text = Format.splitConfiguration(o);
    BOOST_TEST_REQUIRE(text.ok());
    auto changes = Parts.changesTo(*text);
    BOOST_TEST_REQUIRE(changes.ok());
    Parts.apply(*changes);
    return *changes;
  }
  auto ports() const -> std::vector<std::uint16_t> {
    const auto c = Parts.configuration();
    BOOST_TEST_REQUIRE(c.ok());
    std::vector<std::uint16_t> out;
    for (const auto &it : c->Routes)
      out.push_back(it.Address.Port);
    return out;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EdgeConfigurationParts, PartsFixture)

BOOST_AUTO_TEST_CASE(OnlyWhatHasChangedIsReported) {
  const auto b = route("b", 2);
  BOOST_TEST(become(1, route("a", 1) + ',' + b).size() == 3U);
  BOOST_TEST(become(1, route("a", 1) + ',' + b).empty());
  // Another order is no change.
  BOOST_TEST(become(1, b + ',' + route("a", 1)).empty());
  BOOST_TEST(become(2, route("a", 7) + ',' + b).size() == 2U);
  BOOST_TEST((ports() == std::vector<std::uint16_t>{7, 2}));
}

BOOST_AUTO_TEST_CASE(DroppedPartIsRemoved) {
  become(1, route("a", 1) + ',' + route("b", 2));
  const auto changes = become(2, route("b", 2));
  BOOST_TEST_REQUIRE(changes.size() == 2U);
  BOOST_TEST(changes[1].Removed);
  BOOST_TEST(changes[1].Object.Key == "configuration-parts/routes/a");
  BOOST_TEST((ports() == std::vector<std::uint16_t>{2}));
}

BOOST_AUTO_TEST_CASE(PartsOfOneIdentityStayApart) {
  const auto twice = route("a", 1) + ',' + route("a", 1);
  become(1, twice + ',' + route("a", 3));
  BOOST_TEST(ports().size() == 3U);
  become(2, twice + ',' + route("a", 4));
  BOOST_TEST(ports().size() == 3U);
  become(3, route("a", 4));
  BOOST_TEST((ports() == std::vector<std::uint16_t>{4}));
  // An unchanged part behind a changed one of the same identity.
  become(4, route("a", 5) + ',' + route("a", 4));
  BOOST_TEST(ports().size() == 2U);
}

BOOST_AUTO_TEST_CASE(PartThatCannotBeDecodedIsNamedUntilItIsReplaced) {
  become(1, route("a", 1) + ',' + R"({"name":"b"})");
  BOOST_TEST(absl::IsInvalidArgument(Parts.configuration().status()));
  become(2, route("a", 1) + ',' + route("b", 2));
  BOOST_TEST(Parts.configuration().ok());
}

// The parts may be read from the store and from mirrors in turn.
BOOST_AUTO_TEST_CASE(PartsOfAMirrorCountAsKnown) {
  become(1, route("a", 1) + ',' + route("b", 2));
  Parts.apply({{{"configuration-parts/routes/a", route("a", 9), 1}, false},
               {{"configuration-parts/routes/b", {}, 1}, true}});
  BOOST_TEST(become(1, route("a", 9)).empty());
  BOOST_TEST(become(1, route("a", 1)).size() == 1U);
  Parts.clear();
  BOOST_TEST(Parts.isEmpty());
  BOOST_TEST(become(1, route("a", 1)).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
