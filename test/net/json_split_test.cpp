#include "net/json_split.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace boragebridge {

static auto elements(std::string_view text) -> std::vector<std::string> {
  const auto r = splitJsonArray(text);
  BOOST_TEST_REQUIRE(r.ok());
  return {r->begin(), r->end()};
}

BOOST_AUTO_TEST_SUITE(NetJsonSplit)

BOOST_AUTO_TEST_CASE(ElementsAreSplitAtTheirOwnLevel) {
  const std::vector<std::string> expected{R"({"a":[1,2]})", R"("x,]\"}")",
                                          "-1.5e3", "null", "[ [ ] ]"};
  const auto text = " [ " + expected[0] + " ,\n" + expected[1] + "," +
                    expected[2] + "," + expected[3] + " , " + expected[4] +
                    " ] ";
  BOOST_TEST(elements(text) == expected, boost::test_tools::per_element());
  BOOST_TEST(elements("[]").empty());
  BOOST_TEST(elements(" [\t]\n").empty());
}

BOOST_AUTO_TEST_CASE(MembersAreSplitAndFound) {
  const auto r = splitJsonObject(R"({ "a" : {"b":2}, "c":"d", "a":3 })");
  BOOST_TEST_REQUIRE(r.ok());
  BOOST_TEST(r->size() == 3U);
  BOOST_TEST(r->at(0).Name == "a");
  BOOST_TEST(r->at(0).Value == R"({"b":2})");
  BOOST_TEST(findJsonMember(*r, "a").value() == "3");
  BOOST_TEST(absl::IsNotFound(findJsonMember(*r, "b").status()));
}

// A value nested 100,000 deep must neither end the process by a stack overflow
// nor affect its neighbours.
BOOST_AUTO_TEST_CASE(DeepNestingIsSplit) {
  constexpr std::size_t Depth = 100'000;
  const auto deep = std::string(Depth, '[') + std::string(Depth, ']');
  const auto parts = elements("[1," + deep + ",2]");
  BOOST_TEST_REQUIRE(parts.size() == 3U);
  BOOST_TEST(parts[1] == deep);
  BOOST_TEST(parts[2] == "2");
}

BOOST_AUTO_TEST_CASE(MalformedTextIsAnError) {
  for (const auto *it : {"", " ", "1", "{}", "[", "[1", "[1,", "[1,]", "[,1]",
                         "[\"]", "[1]2", "[[]", "[1}", "[\"\\"})
    BOOST_TEST(!splitJsonArray(it).ok(), it);
  for (const auto *it :
       {"", "[]", "{", "{\"a\"}", "{\"a\":}", "{a:1}", "{\"a\":1,}", "{\"a\":1",
        "{\"a:1}", "{\"a\":1}}", "{\":1}", "{:1}", "{\"a\":1]"})
    BOOST_TEST(!splitJsonObject(it).ok(), it);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
