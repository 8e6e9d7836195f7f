#include "request/request_controller.h"

#include "fakes/request_world.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

using fakes::RequestWorld;
using fakes::RequestWorldOptions;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Fails when any of the promises that hold for every run was broken.
auto checkPromises(const RequestWorld &w) -> void {
  const auto r = w.report();
  BOOST_TEST(r.RunsOverLimit == 0U);
  BOOST_TEST(r.FalseRefusals == 0U);
  BOOST_TEST(r.MixedAnswers == 0U);
  BOOST_TEST(r.SlotsOverLimit == 0U);
  BOOST_TEST(r.Misdelivered == 0U);
}

struct WarmWorld : RequestWorld {
  explicit WarmWorld(RequestWorldOptions opt = {})
      : RequestWorld(std::move(opt)) {
    run(WarmUp);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RequestPlane)

BOOST_AUTO_TEST_CASE(RequestIsAnsweredWithItsOwnAnswer) {
  WarmWorld w;
  for (std::size_t n = 0; n < 20; ++n)
    BOOST_TEST((w.ask(n % 4, {}).Kind == OutcomeKind::Answered));
  checkPromises(w);
  BOOST_TEST(w.report().Answered == 20U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
