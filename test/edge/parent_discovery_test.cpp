#include "edge/parent_discovery.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

using std::chrono::milliseconds;

namespace {

struct DiscoveryFixture {
  TimePoint Now = TimePoint() + std::chrono::hours(1);
  unsigned Registrations = 0;
  unsigned Lists = 0;
  PlatformClient::Callback<ObjectList> Answer;

  auto make(bool isNewFleet) -> ParentDiscovery {
    return {[this] { ++Registrations; },
            [this](auto done) { Answer = std::move(done); },
            [this](const auto &) { ++Lists; },
            {.IsNewFleet = isNewFleet}};
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EdgeParentDiscovery, DiscoveryFixture)

BOOST_AUTO_TEST_CASE(ViewsWaitForListOfMembers) {
  auto d = make(false);
  BOOST_TEST(!d.tick(Now));
  BOOST_TEST(!d.tick(Now + milliseconds(149)));
  Answer(ObjectList{{}, 7});
  BOOST_TEST(d.tick(Now + milliseconds(149)));
  BOOST_TEST(Lists == 1U);
  BOOST_TEST(Registrations == 0U);
}

BOOST_AUTO_TEST_CASE(LateListDoesNotDelayViews) {
  auto d = make(false);
  BOOST_TEST(!d.tick(Now));
  BOOST_TEST(d.tick(Now + milliseconds(150)));
  Answer(ObjectList{{}, 7});
  BOOST_TEST(Lists == 1U);
}

BOOST_AUTO_TEST_CASE(FailedListDoesNotDelayViews) {
  auto d = make(false);
  d.tick(Now);
  Answer(absl::UnavailableError("refused"));
  BOOST_TEST(d.tick(Now));
  BOOST_TEST(Lists == 0U);
}

// When all instances started at once, none knew the others yet, so each of them
// read and watched the store.
BOOST_AUTO_TEST_CASE(NewFleetRegistersAndWaits) {
  auto d = make(true);
  BOOST_TEST(!d.tick(Now));
  BOOST_TEST(!d.tick(Now + milliseconds(20)));
  BOOST_TEST(Registrations == 1U);
  BOOST_TEST(!Answer);
  d.onRegistered(true, Now);
  BOOST_TEST(!d.tick(Now + milliseconds(499)));
  BOOST_TEST(!Answer);
  BOOST_TEST(!d.tick(Now + milliseconds(500)));
  BOOST_TEST(static_cast<bool>(Answer));
}

BOOST_AUTO_TEST_CASE(RestartInNewFleetDoesNotWait) {
  auto d = make(true);
  d.tick(Now);
  d.onRegistered(false, Now);
  BOOST_TEST(!d.tick(Now));
  BOOST_TEST(static_cast<bool>(Answer));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
