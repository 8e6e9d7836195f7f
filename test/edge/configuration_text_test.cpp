#include "edge/configuration_text.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

namespace {

auto split(std::string_view text) -> absl::StatusOr<ConfigurationText> {
  return splitConfigurationText(text, {"routes", "name"}, {"services", "id"});
}

} // namespace

BOOST_AUTO_TEST_SUITE(EdgeConfigurationText)

BOOST_AUTO_TEST_CASE(SplitsIntoHeadRoutesAndServices) {
  const auto r = split(R"({"version":7,"routes":[{"name":"a","x":[1]},
      {"name":"b"}],"limits":{"routes":1},"services":[{"id":4}]})");
  BOOST_TEST_REQUIRE(r.ok());
  BOOST_TEST(r->Head == R"({"version":7,"limits":{"routes":1}})");
  BOOST_TEST_REQUIRE(r->Routes.Texts.size() == 2U);
  BOOST_TEST(r->Routes.Texts[0] == R"({"name":"a","x":[1]})");
  BOOST_TEST(idOfPart(r->Routes.Texts[0], r->Routes.Id).value() == "a");
  BOOST_TEST(idOfPart(r->Services.Texts.at(0), r->Services.Id).value() == "4");
}

BOOST_AUTO_TEST_CASE(MalformedTextIsRefused) {
  for (const auto *it :
       {"", "[]", "{", R"({"routes":[]})", R"({"routes":{},"services":[]})"})
    BOOST_TEST(absl::IsInvalidArgument(split(it).status()), it);
  for (const auto *it : {"1", "{}", R"({"other":"a"})"})
    BOOST_TEST(absl::IsInvalidArgument(idOfPart(it, "name").status()), it);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
