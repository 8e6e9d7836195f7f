#include "logging/event_format.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

namespace boragebridge {

namespace {
constexpr LogEvent Sample{1, Severity::Warning, "sample"};
}

BOOST_AUTO_TEST_SUITE(EventFormat)

BOOST_AUTO_TEST_CASE(KeyValueLineHoldsAllFields) {
  const std::vector<LogField> fields{{"peer", "b"}, {"why", "it said \"no\""}};
  BOOST_TEST(formatEvent(LogFormat::KeyValue, "T", "a", Sample, fields) ==
             "time=T level=warning event=1 name=sample process=a peer=b "
             "why=\"it said \\\"no\\\"\"");
}

BOOST_AUTO_TEST_CASE(LineBreaksInValuesAreEscaped) {
  const std::vector<LogField> fields{{"x", "a\nevent=2"}};
  for (auto f : {LogFormat::KeyValue, LogFormat::Json}) {
    const auto line = formatEvent(f, "T", "a", Sample, fields);
    BOOST_TEST(line.find('\n') == std::string::npos, line);
  }
}

BOOST_AUTO_TEST_CASE(JsonLineParsesToTheSameFields) {
  const std::vector<LogField> fields{{"peer", "b \"c\""}};
  auto o =
      boost::json::parse(formatEvent(LogFormat::Json, "T", "a", Sample, fields))
          .as_object();
  BOOST_TEST(o["event"].as_int64() == 1);
  BOOST_TEST(o["level"].as_string() == "warning");
  BOOST_TEST(o["peer"].as_string() == "b \"c\"");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
