#include "boragebridge/metrics.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

BOOST_AUTO_TEST_SUITE(Metrics)

BOOST_AUTO_TEST_CASE(TextFormatIncludesEveryMetricType) {
  MetricRegistry reg;
  reg.counter("a_total", "An a").add(3);
  reg.gauge("b_ratio", "A b").set(0.5);
  reg.distribution("c_seconds", "A c").record(2);
  const auto text = reg.renderText();
  for (const auto *s : {"# TYPE a_total counter\na_total 3\n",
                        "# TYPE b_ratio gauge\nb_ratio 0.5\n",
                        "c_seconds_sum 2\nc_seconds_count 1\n"})
    BOOST_TEST(text.find(s) != std::string::npos, "missing " << s << text);
}

BOOST_AUTO_TEST_CASE(QuantileEstimatesAreCloseToExactValues) {
  MetricRegistry reg;
  auto &d = reg.distribution("d", "");
  for (int i = 0; i < 10000; ++i)
    d.record((i * 7919) % 10000);
  BOOST_TEST(d.quantile(0.5) > 4500);
  BOOST_TEST(d.quantile(0.5) < 5500);
  BOOST_TEST(d.quantile(0.99) > 9700);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
