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
  BOOST_TEST_REQUIRE(r->Routes.size() == 2U);
  BOOST_TEST(r->Routes[0].Id == "a");
  BOOST_TEST(r->Routes[0].Text == R"({"name":"a","x":[1]})");
  BOOST_TEST(r->Services.at(0).Id == "4");
}

BOOST_AUTO_TEST_CASE(ElementsOfOneIdentityStayApart) {
  const auto r = split(
      R"({"routes":[{"name":"a"},{"name":"a"},{"name":"a"}],"services":[]})");
  BOOST_TEST_REQUIRE(r.ok());
  BOOST_TEST(r->Routes[0].Id != r->Routes[1].Id);
  BOOST_TEST(r->Routes[1].Id != r->Routes[2].Id);
}

BOOST_AUTO_TEST_CASE(MalformedTextIsRefused) {
  for (const auto *it :
       {"", "[]", "{", R"({"routes":[]})", R"({"routes":{},"services":[]})",
        R"({"routes":[1],"services":[]})", R"({"routes":[{}],"services":[]})"})
    BOOST_TEST(absl::IsInvalidArgument(split(it).status()), it);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
