#include "net/object_json.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

BOOST_AUTO_TEST_SUITE(ObjectJson)

BOOST_AUTO_TEST_CASE(RoundTripKeepsListWithRemovals) {
  ObjectList in;
  in.CurrentVersion = 9;
  in.Events.push_back({{"a/b", "text \"quoted\"", 7}, false});
  in.Events.push_back({{"a/c", "", 9}, true});
  auto out = parseObjectList(formatObjectList(in));
  BOOST_REQUIRE(out.ok());
  BOOST_TEST(out->CurrentVersion == 9U);
  BOOST_REQUIRE(out->Events.size() == 2U);
  BOOST_TEST(out->Events[0].Object.Value == "text \"quoted\"");
  BOOST_TEST(out->Events[1].Removed);
}

// A value of another writer that is not UTF-8 failed the whole list of a
// mirror, so its readers gave the mirror up and read the store.
BOOST_AUTO_TEST_CASE(ValueThatIsNotUtf8KeepsList) {
  ObjectList in;
  in.CurrentVersion = 9;
  in.Events.push_back({{"a/b", "\"\xff\xfe\"", 7}, false});
  in.Events.push_back({{"a/c\xc3", "{}", 8}, false});
  const auto out = parseObjectList(formatObjectList(in));
  BOOST_TEST_REQUIRE(out.ok());
  BOOST_TEST_REQUIRE(out->Events.size() == 2U);
  BOOST_TEST(out->Events[0].Object.Value == "\"\xff\xfe\"");
  BOOST_TEST(out->Events[1].Object.Key == "a/c\xc3");
}

BOOST_AUTO_TEST_CASE(MalformedBodiesAreErrors) {
  for (const auto *it : {"", "{", "[]", "{}", R"({"version":"x"})",
                         R"({"version":-1})", R"({"version":1.5})"})
    BOOST_TEST(!parseVersion(it).ok());
  for (const auto *it :
       {"null", R"({"objects":[]})", R"({"current_version":1,"objects":[{}]})",
        R"({"current_version":1,"objects":[{"key":1}]})"})
    BOOST_TEST(!parseObjectList(it).ok());
}

BOOST_AUTO_TEST_CASE(PercentEncodingRoundTripKeepsKey) {
  const std::string key = "config/a b%?&=\"/c";
  BOOST_TEST(percentDecode(percentEncode(key)) == key);
  BOOST_TEST(percentDecode("%zz") == "%zz");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
