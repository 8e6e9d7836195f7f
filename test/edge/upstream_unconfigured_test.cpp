// Records of services that are not configured.
#include <boost/test/unit_test.hpp>

#include "edge_fixture.h"

namespace boragebridge {

using std::chrono::seconds;

namespace {

struct UnconfiguredFixture : EdgeFixture {
  const ServiceId Other = idFromName<ServiceId>("canary");

  /// A record of another service at the address of record(), started later.
  auto unconfigured(const std::string &name, std::uint16_t port) const
      -> UpstreamRecord {
    auto r = record(name, port);
    r.Service = Other;
    r.StartedAt += seconds(100);
    return r;
  }
  auto configureBoth(std::uint64_t version) -> void {
    EdgeConfiguration c;
    c.Version = version;
    c.Routes = {{"r", RouteAddress, {{Service, 1}}}};
    c.Services = {{Service, 0}, {Other, 0}};
    BOOST_TEST_REQUIRE(Directory.setConfiguration(c, now()));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EdgeUnconfiguredUpstreams, UnconfiguredFixture)

// Another writer registered the addresses of all upstreams of a service for a
// service that is not configured. No upstream took a new flow any more, before
// and after a restart of the instances (review/14).
BOOST_AUTO_TEST_CASE(TheyHoldNoAddress) {
  start({record("i-1", 1), record("i-2", 2)});
  Directory.putUpstream(unconfigured("i-3", 1), now());
  Directory.putUpstream(unconfigured("i-4", 2), now());
  BOOST_TEST(!openedTo().empty());
  Directory.replaceUpstreams({record("i-1", 1), record("i-2", 2),
                              unconfigured("i-3", 1), unconfigured("i-4", 2)},
                             now());
  BOOST_TEST(!openedTo().empty());
}

BOOST_AUTO_TEST_CASE(TheyHoldNoNameTagOrIndex) {
  start({record("i-1", 1)});
  Directory.putUpstream(unconfigured("i-3", 1), now());
  BOOST_TEST(Directory.size() == 1U);
  BOOST_TEST(Directory.unconfiguredRecords() == 1U);
  BOOST_TEST(Directory.find(tagOf("i-3", seconds(1100))) == nullptr);
  // Under the name of a living upstream.
  Directory.putUpstream(unconfigured("i-1", 1), now());
  const auto &own = *Directory.find(tagOf("i-1", seconds(1000)));
  BOOST_TEST(Directory.mayBeRunning(own, now()));
  Directory.putUpstream(record("i-1", 1), now());
  BOOST_TEST(openedTo() == "i-1");
  BOOST_TEST(Directory.unconfiguredRecords() == 1U);
}

BOOST_AUTO_TEST_CASE(TheyAreFoundOnceTheirServiceIsConfigured) {
  start({record("i-1", 1)});
  auto r = unconfigured("i-3", 3);
  r.ColdFor = seconds(4);
  Directory.putUpstream(r, now());
  Time.advance(seconds(1));
  configureBoth(2);
  BOOST_TEST_REQUIRE(Directory.upstreamsOf(Other).size() == 1U);
  const auto &u = *Directory.upstreamsOf(Other).front();
  BOOST_TEST(Directory.mayOpen(u, now()));
  BOOST_TEST(Directory.isCold(u, now() + seconds(2)));
  BOOST_TEST(!Directory.isCold(u, now() + seconds(3)));
  BOOST_TEST(Directory.unconfiguredRecords() == 0U);
}

BOOST_AUTO_TEST_CASE(RecordsReadBeforeTheFirstConfigurationAreFoundWithIt) {
  Directory.replaceUpstreams({record("i-1", 1)}, now());
  BOOST_TEST(!Directory.isComplete());
  configure();
  BOOST_TEST(Directory.isComplete());
  BOOST_TEST(openedTo() == "i-1");
}

BOOST_AUTO_TEST_CASE(AddressPassesToAnotherConfiguredService) {
  configureBoth(1);
  Directory.replaceUpstreams({record("i-1", 1)}, now());
  Directory.putUpstream(unconfigured("i-3", 1), now());
  BOOST_TEST(openedTo().empty());
  BOOST_TEST(Directory.upstreamsOf(Other).size() == 1U);
}

BOOST_AUTO_TEST_CASE(ServiceThatIsNoLongerConfiguredReleasesItsAddresses) {
  configureBoth(1);
  Directory.replaceUpstreams({record("i-1", 1), unconfigured("i-3", 1)}, now());
  BOOST_TEST(openedTo().empty());
  configure(2);
  BOOST_TEST(openedTo() == "i-1");
}

BOOST_AUTO_TEST_CASE(RemovedRecordIsNotFoundLater) {
  start({});
  Directory.putUpstream(unconfigured("i-3", 3), now());
  Directory.removeUpstream("i-3", now());
  configureBoth(2);
  BOOST_TEST(Directory.upstreamsOf(Other).empty());
}

BOOST_AUTO_TEST_CASE(RecordThatAListLacksIsNotFoundLater) {
  start({});
  Directory.putUpstream(unconfigured("i-3", 3), now());
  Directory.putUpstream(unconfigured("i-4", 4), now());
  Directory.replaceUpstreams({unconfigured("i-4", 4)}, now());
  configureBoth(2);
  BOOST_TEST(Directory.upstreamsOf(Other).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
