#include "edge/unknown_tags.h"

#include "boragebridge/clock.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(EdgeUnknownTags)

BOOST_AUTO_TEST_CASE(TagIsOverdueAfterReadLimit) {
  ManualClock time;
  UnknownTags unknown({.ReadLimit = seconds(2)});
  BOOST_TEST(!unknown.isOverdue(UpstreamTag{7}, time.now()));
  time.advance(milliseconds(1999));
  BOOST_TEST(!unknown.isOverdue(UpstreamTag{7}, time.now()));
  BOOST_TEST(!unknown.isOverdue(UpstreamTag{8}, time.now()));
  time.advance(milliseconds(1));
  BOOST_TEST(unknown.isOverdue(UpstreamTag{7}, time.now()));
  BOOST_TEST(!unknown.isOverdue(UpstreamTag{8}, time.now()));
}

BOOST_AUTO_TEST_CASE(TagStartsAnewAfterRetentionTime) {
  ManualClock time;
  UnknownTags unknown({.RetentionTime = seconds(75)});
  unknown.isOverdue(UpstreamTag{7}, time.now());
  time.advance(seconds(76));
  BOOST_TEST(!unknown.isOverdue(UpstreamTag{7}, time.now()));
}

BOOST_AUTO_TEST_CASE(MemoryIsBounded) {
  ManualClock time;
  UnknownTags unknown({.ReadLimit = {}, .MaxTags = 2});
  for (const auto it : {1U, 2U, 3U})
    BOOST_TEST(!unknown.isOverdue(UpstreamTag{it}, time.now()));
  BOOST_TEST(unknown.isOverdue(UpstreamTag{2}, time.now()));
  BOOST_TEST(unknown.isOverdue(UpstreamTag{3}, time.now()));
  BOOST_TEST(!unknown.isOverdue(UpstreamTag{1}, time.now()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
