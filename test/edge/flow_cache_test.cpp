#include "edge/flow_cache.h"

#include "boragebridge/clock.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

static auto keyOf(std::uint16_t port) -> FlowKey {
  return {{0x64400007, port}, {0xC6120001, 443}};
}

BOOST_AUTO_TEST_SUITE(EdgeFlowCache)

BOOST_AUTO_TEST_CASE(FindsInsertedFlow) {
  ManualClock time;
  FlowCache cache(64);
  BOOST_TEST(cache.find(keyOf(1)) == nullptr);
  cache.insert(keyOf(1), time.now());
  BOOST_TEST_REQUIRE(cache.find(keyOf(1)) != nullptr);
  BOOST_TEST(cache.find(keyOf(2)) == nullptr);
}

BOOST_AUTO_TEST_CASE(FullBucketEvictsLeastRecentlySeenFlow) {
  ManualClock time;
  FlowCache cache(FlowCache::Ways);
  for (std::uint16_t port = 0; port < FlowCache::Ways; ++port) {
    cache.insert(keyOf(port), time.now());
    time.advance(std::chrono::milliseconds(1));
  }
  cache.find(keyOf(0))->SeenAt = time.now();
  cache.insert(keyOf(100), time.now());
  BOOST_TEST(cache.find(keyOf(0)) != nullptr);
  BOOST_TEST(cache.find(keyOf(1)) == nullptr);
  BOOST_TEST(cache.find(keyOf(100)) != nullptr);
}

BOOST_AUTO_TEST_CASE(CapacityIsRoundedUp) {
  BOOST_TEST(FlowCache(1000).capacity() == 1024U);
  BOOST_TEST(FlowCache(0).capacity() == FlowCache::Ways);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
