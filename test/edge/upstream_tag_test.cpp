#include "edge/upstream_tag.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(UpstreamTags)

BOOST_AUTO_TEST_CASE(AllInstancesDeriveTheSameTag) {
  BOOST_TEST((tagOf("i-1", milliseconds(5)) == tagOf("i-1", milliseconds(5))));
}

BOOST_AUTO_TEST_CASE(RestartChangesTag) {
  BOOST_TEST((tagOf("i-1", milliseconds(5)) != tagOf("i-1", milliseconds(6))));
}

BOOST_AUTO_TEST_CASE(TagIsNeverNone) {
  for (int i = 0; i < 1000; ++i)
    BOOST_TEST((tagOf("i-" + std::to_string(i), milliseconds(i)) !=
                UpstreamTag::None));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
