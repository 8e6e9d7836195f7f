#include "record_codec.h"

#include "edge/configuration_parts.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge::users {

static auto upstream(const std::string &value)
    -> absl::StatusOr<UpstreamRecord> {
  return RecordCodec().decodeUpstream({"servers/i-7f3a91c2", value, 1});
}

BOOST_AUTO_TEST_SUITE(UsersRecordCodec)

BOOST_AUTO_TEST_CASE(UpstreamIsDecoded) {
  const auto r = upstream(
      R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"palermo",
          "version":"v1","slots":2,"state":"draining","warmupLeftMs":1500,
          "sequence":4,"born":1700000000123})");
  BOOST_TEST_REQUIRE(r.ok());
  BOOST_TEST(r->Name == "i-7f3a91c2");
  BOOST_TEST(r->WireId == 0x7f3a91c2U);
  BOOST_TEST((r->Service == idFromName<ServiceId>("huvo11a")));
  BOOST_TEST(toString(r->Address) == "10.128.0.9:8080");
  BOOST_TEST(r->Draining);
  BOOST_TEST((r->ColdFor == std::chrono::milliseconds(1500)));
  BOOST_TEST(r->Sequence == 4U);
  BOOST_TEST((r->StartedAt == std::chrono::milliseconds(1700000000123)));
}

BOOST_AUTO_TEST_CASE(InvalidUpstreamRecordsAreRejected) {
  for (const auto *it :
       {"", "\"text\"", "{}", "[1]",
        R"({"service":1,"address":"10.128.0.9:8080","zone":"p","version":"v1",
            "sequence":1,"slots":2,
            "state":"ready","warmupLeftMs":0})",
        R"({"service":"s","address":"10.128.0.9","zone":"p","version":"v1",
            "sequence":1,"slots":2,
            "state":"ready","warmupLeftMs":0})",
        R"({"service":"s","address":"10.128.0.9:80","zone":"p","version":"v1",
            "sequence":1,"slots":0,
            "state":"ready","warmupLeftMs":0})",
        R"({"service":"s","address":"10.128.0.9:80","zone":"p","version":"v1",
            "sequence":1,"slots":-2,
            "state":"ready","warmupLeftMs":0})",
        R"({"service":"s","address":"10.128.0.9:80","zone":"p","version":"v1",
            "sequence":1,"slots":2,
            "state":"resting","warmupLeftMs":0})",
        R"({"service":"s","address":"10.128.0.9:80","zone":"p","version":"v1",
            "sequence":1,"slots":2,
            "state":"ready","warmupLeftMs":-1})",
        R"({"service":"s","address":"10.128.0.9:80","zone":"p","version":"v1",
            "sequence":1,"slots":2,
            "state":"ready","warmupLeftMs":0,"born":"x"})"})
    BOOST_TEST(!upstream(it).ok(), it);
}

// An entry of another writer that lacked the version moved a living upstream to
// another service, whose requests it ran (review/13).
BOOST_AUTO_TEST_CASE(RecordThatLacksAListedFieldIsRejected) {
  const std::vector<std::pair<std::string, std::string>> fields{
      {"service", R"("s")"}, {"address", R"("10.128.0.9:80")"},
      {"zone", R"("p")"},    {"version", R"("v1")"},
      {"slots", "2"},        {"state", R"("ready")"},
      {"warmupLeftMs", "0"}, {"sequence", "4"}};
  const auto record = [&](std::size_t changed, const std::string &value) {
    std::string out;
    for (std::size_t i = 0; i < fields.size(); ++i) {
      const auto &text = i == changed ? value : fields[i].second;
      if (!text.empty())
        out += (out.empty() ? "{\"" : ",\"") + fields[i].first + "\":" + text;
    }
    return upstream(out + "}");
  };
  BOOST_TEST(record(fields.size(), "").ok());
  for (std::size_t i = 0; i < fields.size(); ++i)
    for (const auto *it : {"", "null", "[]", "true"}) {
      const auto status = record(i, it).status();
      BOOST_TEST(absl::IsInvalidArgument(status));
      // The log names the field.
      BOOST_TEST(status.message().find(fields[i].first) !=
                     std::string_view::npos,
                 status.message());
    }
}

BOOST_AUTO_TEST_CASE(IdThatAddressesAnyUpstreamIsRejected) {
  const auto *value = R"({"service":"s","address":"10.128.0.9:80","zone":"p",
      "version":"v1","sequence":1,"slots":2,"state":"ready","warmupLeftMs":0})";
  BOOST_TEST(RecordCodec().decodeUpstream({"servers/i-1", value, 1}).ok());
  BOOST_TEST(!RecordCodec().decodeUpstream({"servers/i-0", value, 1}).ok());
}

// A record of another writer with a number out of range names no upstream, and
// must not throw out of the decoder.
BOOST_AUTO_TEST_CASE(NumbersOutOfRangeAreRejected) {
  const auto record = [](const std::string &port, const std::string &slots,
                         const std::string &cold, const std::string &born) {
    return upstream(R"({"service":"s","address":"10.128.0.9:)" + port +
                    R"(","zone":"p","version":"v1",
            "sequence":1,"slots":)" +
                    slots + R"(,"state":"ready","warmupLeftMs":)" + cold +
                    R"(,"born":)" + born + "}");
  };
  BOOST_TEST(record("80", "2", "0", "1").ok());
  for (const auto *it : {"0", "65536", "70000", "-1", "99999999999999999999"})
    BOOST_TEST(!record(it, "2", "0", "1").ok(), it);
  for (const auto *it : {"4294967296", "1e30", "1e999", "-1", "2.5"})
    BOOST_TEST(!record("80", it, "0", "1").ok(), it);
  for (const auto *it : {"1e999", "-1e300"})
    BOOST_TEST(!record("80", "2", it, "1").ok(), it);
  for (const auto *it : {"1e30", "9223372036854775808", "1e999"})
    BOOST_TEST(!record("80", "2", "0", it).ok(), it);
  // The largest finite numbers must not overflow in the conversion.
  BOOST_TEST(record("80", "2", "1.7e308", "9223372036854775807").ok());
}

BOOST_AUTO_TEST_CASE(DeeplyNestedRecordIsRejected) {
  constexpr std::size_t Depth = 100'000;
  BOOST_TEST(!upstream(R"({"service":)" + std::string(Depth, '[') +
                       std::string(Depth, ']') + "}")
                  .ok());
}

BOOST_AUTO_TEST_CASE(ConfigurationIsDecoded) {
  const auto r = decodeConfiguration(RecordCodec(), {"config/main",
                                                     R"({"version":7,"routes":[
             {"name":"a","host":"198.18.0.1","pathPrefix":"/8080/",
              "service":"s1"},
             {"name":"b","host":"198.18.0.1","pathPrefix":"/8443/",
              "split":[{"service":"s1","weight":90},
                       {"service":"s2","weight":10}]}],
           "services":[{"name":"s1","warmupPerS":2.5}],
           "limits":{"idleTimeoutMs":15000}})",
                                                     1});
  BOOST_TEST_REQUIRE(r.ok());
  BOOST_TEST(r->Version == 7U);
  BOOST_TEST(toString(r->Routes.at(0).Address) == "198.18.0.1:8080");
  BOOST_TEST(r->Routes.at(1).Services.size() == 2U);
  BOOST_TEST(r->Services.at(0).ColdPerSecond == 2.5);
  BOOST_TEST((r->IdleTimeout == std::chrono::seconds(15)));
}

BOOST_AUTO_TEST_CASE(UnreadablePriorityAffectsItsOwnRouteAlone) {
  constexpr auto NotStated = RouteRecord::LeastUrgent;
  const auto decode = [](const std::string &fields) {
    return decodeConfiguration(RecordCodec(),
                               {"config/main",
                                R"({"version":7,"services":[],"routes":[
             {"name":"a","host":"198.18.0.1","pathPrefix":"/1/","service":"s",
              "priority":1,"latencyTargetMs":800},
             {"name":"b","host":"198.18.0.1","pathPrefix":"/2/","service":"s")" +
                                    fields + "}]}",
                                1});
  };
  for (const auto *it :
       {"", R"(,"priority":-1)", R"(,"priority":"high")", R"(,"priority":1.5)",
        R"(,"priority":null,"latencyTargetMs":"soon")",
        R"(,"priority":1e30,"latencyTargetMs":-5)"}) {
    const auto r = decode(it);
    BOOST_TEST_REQUIRE(r.ok(), it);
    BOOST_TEST(r->Routes.at(0).Priority == 1U);
    BOOST_TEST(
        (r->Routes.at(0).ResponseTimeTarget == std::chrono::milliseconds(800)));
    BOOST_TEST(r->Routes.at(1).Priority == NotStated, it);
    BOOST_TEST((r->Routes.at(1).ResponseTimeTarget == Duration::zero()), it);
  }
}

BOOST_AUTO_TEST_CASE(OtherObjectsUnderTheConfigurationPrefixAreIgnored) {
  const auto r = decodeConfiguration(RecordCodec(), {"config/else", "{}", 1});
  BOOST_TEST(absl::IsNotFound(r.status()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge::users
