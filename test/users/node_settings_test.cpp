#include "node_settings.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge::users {

static constexpr auto CompleteFile =
    "nodeName=front-1\nzone=palermo\n"
    "listen.datagramAddr=10.1.0.10:8172\n"
    "listen.readyAddr=10.1.0.10:8167\r\n"
    "platform.address=10.200.1.7:8169\n"
    "bounds.warmupFactor=1.5\nbounds.coldSlack=5\n"
    "something.new=1\n";

BOOST_AUTO_TEST_SUITE(UsersNodeSettings)

BOOST_AUTO_TEST_CASE(ReadsFileAndIgnoresUnknownKeys) {
  const auto s = parseNodeSettings("f", CompleteFile);
  BOOST_TEST_REQUIRE(s.ok());
  BOOST_TEST(s->InstanceName == "front-1");
  BOOST_TEST(toString(s->Readiness) == "10.1.0.10:8167");
  BOOST_TEST(s->ColdFactor == 1.5);
  BOOST_TEST(s->ColdSlack == 5.0);
  BOOST_TEST(!s->IsNewFleet);
}

BOOST_AUTO_TEST_CASE(ReadsWhetherFleetIsNew) {
  for (const auto *value : {"true", "false", ""}) {
    const auto s = parseNodeSettings("f", std::string(CompleteFile) +
                                              "bootstrap=" + value + "\n");
    BOOST_TEST_REQUIRE(s.ok());
    BOOST_TEST(s->IsNewFleet == (std::string(value) == "true"));
  }
}

BOOST_AUTO_TEST_CASE(MissingKeyErrorNamesKeyAndFile) {
  const std::string text = CompleteFile;
  const auto without = text.substr(text.find('\n') + 1);
  const auto s = parseNodeSettings("/etc/x.conf", without);
  BOOST_TEST_REQUIRE(!s.ok());
  BOOST_TEST(s.status().message() == "/etc/x.conf: key 'nodeName' is missing");
}

BOOST_AUTO_TEST_CASE(InvalidValuesAreRejected) {
  for (const auto *it : {"listen.datagramAddr=10.1.0.10", "bounds.coldSlack=x",
                         "bounds.warmupFactor=-1", "bootstrap=2"}) {
    const auto s =
        parseNodeSettings("f", std::string(CompleteFile) + it + "\n");
    BOOST_TEST(!s.ok(), it);
  }
}

BOOST_AUTO_TEST_CASE(MissingFileReturnsNotFound) {
  BOOST_TEST(absl::IsNotFound(readNodeSettings("/nonexistent").status()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge::users
