#include "edge/configuration_parts.h"
#include "edge/upstream_record_text.h"
#include "edge_model/json_record_format.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge::edge_model {

BOOST_AUTO_TEST_SUITE(EdgeModelJsonRecordFormat)

BOOST_AUTO_TEST_CASE(UpstreamRoundTrips) {
  UpstreamRecord r;
  r.Name = "u";
  r.WireId = 9;
  r.StartedAt = std::chrono::milliseconds(1234);
  r.Service = idFromName<ServiceId>("s");
  r.DataCentre = idFromName<DataCentreId>("d");
  r.Address = {0x0A000001, 80};
  r.Slots = 2;
  r.Draining = true;
  r.ColdFor = std::chrono::milliseconds(700);
  const auto read = JsonRecordFormat().decodeUpstream(
      {"upstreams/u", formatUpstreamRecord(r), 1});
  BOOST_TEST_REQUIRE(read.ok());
  BOOST_TEST((*read == r));
}

BOOST_AUTO_TEST_CASE(ConfigurationRoundTrips) {
  EdgeConfiguration c;
  c.Version = 5;
  c.Routes = {{"r", {1, 2}, {{ServiceId{3}, 4}}}};
  c.Services = {{ServiceId{3}, 0.5}};
  c.IdleTimeout = std::chrono::seconds(9);
  const auto read = decodeConfiguration(
      JsonRecordFormat(), {"configurations/main", formatConfiguration(c), 1});
  BOOST_TEST_REQUIRE(read.ok());
  BOOST_TEST(read->Version == 5U);
  BOOST_TEST((read->Routes.at(0).Address == Endpoint{1, 2}));
  BOOST_TEST(read->Routes.at(0).Services.at(0).Weight == 4U);
  BOOST_TEST(read->Services.at(0).ColdPerSecond == 0.5);
  BOOST_TEST((read->IdleTimeout == std::chrono::seconds(9)));
}

BOOST_AUTO_TEST_CASE(InvalidRecordsAreRejected) {
  BOOST_TEST(!JsonRecordFormat().decodeUpstream({"upstreams/u", "{}", 1}).ok());
  BOOST_TEST(!decodeConfiguration(JsonRecordFormat(), {"c", "x", 1}).ok());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge::edge_model
