// Which lifetime of an upstream holds its name.
#include <boost/test/unit_test.hpp>

#include "edge_fixture.h"

namespace boragebridge {

using std::chrono::seconds;

BOOST_FIXTURE_TEST_SUITE(EdgeUpstreamIdentity, EdgeFixture)

// An entry of another writer under the name of a living upstream, of another
// service and without a start, ended it: its open flows were reset, and its own
// later records ignored (review/7).
BOOST_AUTO_TEST_CASE(EntryOfAnotherWriterEndsNoLivingUpstream) {
  auto own = record("i-1", 1);
  own.Sequence = 7;
  start({own});
  const auto tag = tagOf(own.Name, own.StartedAt);
  for (const auto startedAt : {seconds(0), seconds(900), seconds(2000)}) {
    auto other = own;
    other.StartedAt = startedAt;
    other.Service = ServiceId{99};
    other.Sequence = 1;
    Directory.putUpstream(other, now());
    const auto *u = Directory.find(tag);
    BOOST_TEST(Directory.mayBeRunning(*u, now()));
    BOOST_TEST(!Directory.mayOpen(*u, now()));
    Time.advance(seconds(1));
    ++own.Sequence;
    Directory.putUpstream(own, now());
    BOOST_TEST(Directory.mayOpen(*u, now()));
    BOOST_TEST(Directory.upstreamsOf(Service).size() == 1U);
  }
}

// The same, with the upstream's own entry but for its start: that the upstream
// drained was not seen (review/8).
BOOST_AUTO_TEST_CASE(EntryWithoutStartHidesNoDrain) {
  auto own = record("i-1", 1);
  start({own});
  auto other = own;
  other.StartedAt = {};
  Directory.putUpstream(other, now());
  Time.advance(seconds(1));
  own.Sequence = 1;
  Directory.putUpstream(own, now());
  Time.advance(seconds(8));
  own.Sequence = 2;
  own.Draining = true;
  Directory.putUpstream(own, now());
  for (const auto *it : Directory.upstreamsOf(Service))
    BOOST_TEST(!Directory.mayOpenAsLastResort(*it, now()));
}

// A write of a lifetime that has ended may be done late.
BOOST_AUTO_TEST_CASE(LateRecordOfAnEarlierStartEndsNoLaterOneForLong) {
  auto r = record("i-1", 1);
  r.Sequence = 5;
  start({r});
  auto later = r;
  later.StartedAt += seconds(9);
  later.Sequence = 1;
  Directory.putUpstream(later, now());
  Directory.putUpstream(r, now());
  const auto *u = Directory.find(tagOf(later.Name, later.StartedAt));
  BOOST_TEST(Directory.mayOpen(*u, now()));
  r.Sequence = 6;
  Directory.putUpstream(r, now());
  // Flows of the later start reach the upstream all the same.
  const auto *other = Directory.successor(*u, now());
  BOOST_TEST_REQUIRE(other != nullptr);
  BOOST_TEST((other->Record.Address == later.Address));
  later.Sequence = 2;
  Directory.putUpstream(later, now());
  BOOST_TEST(Directory.mayOpen(*u, now()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
