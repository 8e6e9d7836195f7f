#include "settings/settings_reader.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

auto read(const std::string &text) -> SettingsReader {
  auto reader = SettingsReader::fromText(text, "a.yaml");
  BOOST_REQUIRE_MESSAGE(reader.ok(), reader.status().ToString());
  return *reader;
}

auto message(const SettingsReader &reader) -> std::string {
  return std::string(reader.finish().message());
}

} // namespace

BOOST_AUTO_TEST_SUITE(Settings)

BOOST_AUTO_TEST_CASE(ValuesOfEveryKindAreRead) {
  auto reader =
      read("name: a\nport: 80\nshare: 0.5\non: true\nwait: 20ms\n"
           "at: 10.0.0.1:70\nseeds: [10.0.0.2:71]\nlog: {level: info}\n"
           "all: [{x: 1}, {x: 2}]\n");
  BOOST_TEST(reader.text("name") == "a");
  BOOST_TEST(reader.number("port", {1, 65535}) == 80);
  BOOST_TEST(reader.real("share", {0, 1}) == 0.5);
  BOOST_TEST(reader.flag("on"));
  BOOST_TEST((reader.duration("wait", {milliseconds(1), seconds(1)}) ==
              milliseconds(20)));
  BOOST_TEST(reader.endpoint("at").Port == 70);
  BOOST_TEST(reader.endpoints("seeds").size() == 1U);
  BOOST_TEST(reader.section("log").choice("level", {"debug", "info"}) ==
             "info");
  auto all = reader.sections("all");
  BOOST_REQUIRE(all.size() == 2U);
  BOOST_TEST(all[1].number("x", {0, 9}) == 2);
  BOOST_TEST(all[0].number("x", {0, 9}) == 1);
  BOOST_TEST(reader.finish().ok(), reader.finish().ToString());
}

BOOST_AUTO_TEST_CASE(AbsentKeysGetTheirDefault) {
  auto reader = read("name: a\n");
  reader.text("name");
  BOOST_TEST(reader.number("port", {1, 65535}, 7000) == 7000);
  BOOST_TEST(reader.section("log").text("level", "info") == "info");
  BOOST_TEST(reader.finish().ok());
}

BOOST_AUTO_TEST_CASE(MissingKeyIsReportedWithItsPosition) {
  auto reader = read("log:\n  level: info\n");
  auto log = reader.section("log");
  log.text("level");
  log.text("format");
  BOOST_TEST(message(reader) ==
             "a.yaml:2:3: key 'log.format': is required and missing");
}

BOOST_AUTO_TEST_CASE(UnknownKeyIsRefusedWithLineAndColumn) {
  auto reader = read("name: a\n\nnmae: b\n");
  reader.text("name");
  BOOST_TEST(message(reader) == "a.yaml:3:1: key 'nmae': is not known");
}

BOOST_AUTO_TEST_CASE(ValueOutOfRangeIsRefusedWithTheRange) {
  auto reader = read("port: 70000\n");
  reader.number("port", {1, 65535});
  BOOST_TEST(message(reader) == "a.yaml:1:7: key 'port': got '70000'; allowed: "
                                "whole number 1 to 65535");
}

BOOST_AUTO_TEST_CASE(WrongTypesAreRefused) {
  auto reader = read("port: many\nwait: 5\non: yes\nat: here\nlog: 3\n"
                     "share: nan\nall: {x: 1}\nname: [a]\n");
  reader.number("port", {1, 65535});
  reader.duration("wait", {milliseconds(1), seconds(1)});
  reader.flag("on");
  reader.endpoint("at");
  reader.section("log");
  reader.real("share", {0, 1});
  reader.sections("all");
  reader.text("name");
  const auto text = message(reader);
  for (const auto *s : {"a.yaml:1:7", "a.yaml:2:7", "a.yaml:3:5", "a.yaml:4:5",
                        "a.yaml:5:6", "a.yaml:6:8", "a.yaml:7:6", "a.yaml:8:7"})
    BOOST_TEST(text.find(s) != std::string::npos, s << " not in\n" << text);
}

BOOST_AUTO_TEST_CASE(MalformedYamlIsReportedWithItsPosition) {
  auto reader = SettingsReader::fromText("a: [1, 2\nb: 3\n", "a.yaml");
  BOOST_REQUIRE(!reader.ok());
  BOOST_TEST(reader.status().message().find("a.yaml:2:") !=
                 absl::string_view::npos,
             reader.status().ToString());
}

BOOST_AUTO_TEST_CASE(DurationsNeedAUnitAndDoNotOverflow) {
  BOOST_TEST((parseDuration("3s") == seconds(3)));
  for (const auto *s : {"3", "s", "3 s", "-3s", "3m", "9223372036854775807h"})
    BOOST_TEST(!parseDuration(s).has_value(), "accepted " << s);
  BOOST_TEST(formatDuration(milliseconds(1500)) == "1500ms");
  BOOST_TEST(formatDuration(std::chrono::minutes(60)) == "1h");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
