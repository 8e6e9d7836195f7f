#include "object_dialect.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge::users {

/// Values of another writer that a JSON parser refuses.
static auto unreadableValues() -> std::vector<std::string> {
  constexpr std::size_t Depth = 100'000;
  return {R"("menu board \ud83c")",
          R"({"slots":1e999999})",
          R"({"slots":1e99999999999999999999})",
          "{\"version\":\"\x01\"}",
          R"("\x")",
          "nul",
          std::string(40, '[') + std::string(40, ']'),
          std::string(Depth, '[') + std::string(Depth, ']')};
}

BOOST_AUTO_TEST_SUITE(UsersObjectDialect)

BOOST_AUTO_TEST_CASE(RequestsMatchTheStoreApi) {
  const ObjectDialect d;
  BOOST_TEST(d.list("servers/", "").Target == "/objects/servers");
  BOOST_TEST(d.list("servers/", "i-1").Target == "/objects/servers?after=i-1");
  BOOST_TEST(d.watch("servers/", 530, std::chrono::seconds(2)).Target ==
             "/objects/servers?watch=530&waitMs=2000");
  BOOST_TEST(d.get("config/main").Target == "/objects/config/main");
  BOOST_TEST(d.poll("servers/", 530).Target ==
             "/objects/servers?watch=530&waitMs=0&allowStale=1");
  BOOST_TEST(d.snapshot("servers/", "").Target ==
             "/objects/servers?allowStale=1");
  BOOST_TEST(d.snapshot("servers/", "i-1").Target ==
             "/objects/servers?after=i-1&allowStale=1");
  const auto create = d.put("instances/a", "{}", 0);
  BOOST_TEST(create.Method == "POST");
  BOOST_TEST(create.Target == "/objects/instances");
  BOOST_TEST(create.Body == R"({"meta":{"name":"a"},"spec":{}})");
  BOOST_TEST(d.put("instances/a", "{}", 4).Method == "PUT");
  BOOST_TEST(d.remove("instances/a", 4).Target ==
             "/objects/instances/a?revision=4");
}

BOOST_AUTO_TEST_CASE(ListPageIsParsedWithItsContinuation) {
  const auto r = ObjectDialect().parsePage(
      "servers/", R"({"items":[{"meta":{"name":"i-1","revision":7},
                                "spec":{"a":1},"status":null}],
                      "hasMore":true,"atRev":9})");
  BOOST_TEST_REQUIRE(r.ok());
  BOOST_TEST(r->Objects.CurrentVersion == 9U);
  BOOST_TEST(r->Objects.Events.at(0).Object.Key == "servers/i-1");
  BOOST_TEST(r->Objects.Events.at(0).Object.Value == R"({"a":1})");
  BOOST_TEST(r->Next == "i-1");
}

BOOST_AUTO_TEST_CASE(WatchEventsAreParsed) {
  const auto r = ObjectDialect().parsePage("evacuations/",
                                           R"({"events":[{"deleted":true,
                     "object":{"meta":{"name":"z","revision":8}}}],
          "atRev":12})");
  BOOST_TEST_REQUIRE(r.ok());
  BOOST_TEST(r->Objects.Events.at(0).Removed);
  BOOST_TEST(r->Next.empty());
}

BOOST_AUTO_TEST_CASE(InvalidUtf8DoesNotFailAList) {
  const auto r = ObjectDialect().parsePage(
      "servers/", "{\"items\":[{\"meta\":{\"name\":\"i-1\",\"revision\":7},"
                  "\"spec\":\"\xff\xfe\"}],\"hasMore\":false,\"atRev\":9}");
  BOOST_TEST(r.ok());
}

// One such entry of another writer failed each list and each watch, so that all
// instances kept their last view of the upstreams for ever, and instances that
// started never became ready.
BOOST_AUTO_TEST_CASE(UnreadableValueDoesNotAffectOtherEntries) {
  for (const auto &it : unreadableValues()) {
    const auto r = ObjectDialect().parsePage(
        "servers/",
        R"({"items":[{"meta":{"name":"i-1","revision":7},"spec":{"a":1}},
                     {"meta":{"name":"i-2","revision":8},"spec":)" +
            it + R"(},
                     {"meta":{"name":"i-3","revision":9},"spec":{"a":3}}],
            "hasMore":true,"atRev":9})");
    BOOST_TEST_CONTEXT(it.substr(0, 40)) {
      BOOST_TEST_REQUIRE(r.ok());
      BOOST_TEST_REQUIRE(r->Objects.Events.size() == 3U);
      BOOST_TEST(r->Objects.Events[0].Object.Value == R"({"a":1})");
      BOOST_TEST(r->Objects.Events[1].Object.Value == it);
      BOOST_TEST(r->Objects.Events[2].Object.Value == R"({"a":3})");
      BOOST_TEST(r->Next == "i-3");
    }
  }
}

// A field beside the value, which any writer may set as well, could fail a list
// or a watch in the same way as an unreadable value.
BOOST_AUTO_TEST_CASE(UnreadableFieldsOfAnEntryAreNotParsed) {
  for (const auto &it : unreadableValues()) {
    std::string body = R"({"events":[{"deleted":false,"object":{"meta":{
        "name":"i-1","revision":7,"finalizers":)";
    body += it;
    body += R"(},"spec":{},"status":)";
    body += it;
    body += R"(}}],"atRev":9})";
    const auto r = ObjectDialect().parsePage("servers/", body);
    BOOST_TEST_REQUIRE(r.ok());
    BOOST_TEST(r->Objects.Events.size() == 1U);
    BOOST_TEST(r->Objects.Unreadable == 0U);
  }
}

BOOST_AUTO_TEST_CASE(EntryWithoutReadableNameIsLeftOut) {
  const auto r = ObjectDialect().parsePage("servers/", R"({"events":[
      {"deleted":false,"object":{"meta":{"name":"\ud83c","revision":7}}},
      {"deleted":false,"object":{"meta":{"name":"i-2","revision":1e999}}},
      {"deleted":false,"object":{"meta":[]}},
      {"deleted":"no","object":{"meta":{"name":"i-4","revision":7}}},
      4,
      {"deleted":false,"object":{"meta":{"name":"i-6","revision":9}}}],
      "atRev":9})");
  BOOST_TEST_REQUIRE(r.ok());
  BOOST_TEST(r->Objects.Unreadable == 5U);
  BOOST_TEST_REQUIRE(r->Objects.Events.size() == 1U);
  BOOST_TEST(r->Objects.Events[0].Object.Key == "servers/i-6");
}

BOOST_AUTO_TEST_CASE(VersionOfWrittenObjectIsParsed) {
  const auto r = ObjectDialect().parseVersion(
      R"({"meta":{"name":"a","revision":12},"spec":{}})");
  BOOST_TEST_REQUIRE(r.ok());
  BOOST_TEST(*r == 12U);
}

BOOST_AUTO_TEST_CASE(MalformedBodyIsAnError) {
  BOOST_TEST(!ObjectDialect().parsePage("servers/", "<html>").ok());
  BOOST_TEST(!ObjectDialect().parsePage("servers/", "{}").ok());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge::users
