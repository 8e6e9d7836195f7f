#include "object_dialect.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge::users {

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

BOOST_AUTO_TEST_CASE(MalformedBodyIsAnError) {
  BOOST_TEST(!ObjectDialect().parsePage("servers/", "<html>").ok());
  BOOST_TEST(!ObjectDialect().parsePage("servers/", "{}").ok());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge::users
