#define BOOST_TEST_MODULE boragebridge
#include <boost/test/unit_test.hpp>
