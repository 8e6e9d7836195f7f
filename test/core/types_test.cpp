#include "boragebridge/types.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

BOOST_AUTO_TEST_SUITE(Types)

BOOST_AUTO_TEST_CASE(EndpointRoundTripsThroughText) {
  Endpoint e;
  BOOST_TEST(parseEndpoint("10.1.2.3:8080", e));
  BOOST_TEST(toString(e) == "10.1.2.3:8080");
}

BOOST_AUTO_TEST_CASE(MalformedEndpointsAreRefused) {
  for (const auto *s :
       {"", "10.1.2:80", "10.1.2.300:80", "10.1.2.3",
        "1.2.3.4:", "1.2.3.4:70000", "1.2.3.4:80x", "a.b.c.d:1"}) {
    Endpoint e{7, 7};
    BOOST_TEST(!parseEndpoint(s, e), "accepted " << s);
    BOOST_TEST(e.Port == 7);
  }
}

BOOST_AUTO_TEST_CASE(FlowHashDependsOnEveryField) {
  const FlowKey k{{1, 2}, {3, 4}, 6};
  for (auto other : {FlowKey{{9, 2}, {3, 4}, 6}, FlowKey{{1, 9}, {3, 4}, 6},
                     FlowKey{{1, 2}, {9, 4}, 6}, FlowKey{{1, 2}, {3, 9}, 6},
                     FlowKey{{1, 2}, {3, 4}, 17}})
    BOOST_TEST(hashFlow(other) != hashFlow(k));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
