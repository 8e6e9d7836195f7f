// Flows that carry the tag of another lifetime of their upstream than the one
// that the store has a record of.
#include <boost/test/unit_test.hpp>

#include "edge_fixture.h"

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct NamePartFixture : EdgeFixture {
  auto decide(UpstreamTag tag) -> EdgeDecision {
    return PacketForwarder.decide(data(1, tag), now());
  }
  /// Two names that share their name part.
  static auto namesakes() -> std::pair<std::string, std::string> {
    std::map<std::uint32_t, std::string> seen;
    for (int i = 0;; ++i) {
      const auto name = "i-" + std::to_string(i);
      const auto [it, added] =
          seen.emplace(namePartOf(tagOf(name, seconds(1000))), name);
      if (!added)
        return {it->second, name};
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EdgeUpstreamNamePart, NamePartFixture)

BOOST_AUTO_TEST_CASE(LifetimesOfAnUpstreamShareTheNamePart) {
  const auto first = tagOf("i-1", seconds(1000));
  const auto second = tagOf("i-1", seconds(1009));
  BOOST_TEST((first != second));
  BOOST_TEST(namePartOf(first) == namePartOf(second));
  BOOST_TEST(namePartOf(first) != namePartOf(tagOf("i-2", seconds(1000))));
}

// A flow was opened with the tag of the upstream's earlier start by an instance
// that had not read of the restart. After all instances had been restarted,
// nobody knew that start, and the flow was reset (review/12).
BOOST_AUTO_TEST_CASE(FlowWithTheTagOfAForgottenStartIsNotReset) {
  auto r = record("i-1", 1);
  const auto former = tagOf(r.Name, r.StartedAt);
  r.StartedAt += seconds(9);
  start({r, record("i-2", 2)});
  for (int i = 0; i < 20; ++i) {
    const auto d = decide(former);
    BOOST_TEST_REQUIRE((d.Action == EdgeAction::Forward));
    BOOST_TEST(d.Upstream->Record.Name == "i-1");
    // The upstream echoes its own tag from now on.
    BOOST_TEST((d.Upstream->Tag == tagOf(r.Name, r.StartedAt)));
    advance(milliseconds(500));
  }
}

// An instance that has not read of the restart yet gets a packet that another
// one has opened a flow with.
BOOST_AUTO_TEST_CASE(FlowOfAStartThatIsNotReadYetGoesOn) {
  start({record("i-1", 1)});
  const auto d = decide(tagOf("i-1", seconds(1009)));
  BOOST_TEST_REQUIRE((d.Action == EdgeAction::Forward));
  BOOST_TEST((d.Reason == EdgeReason::OtherLifetime));
}

BOOST_AUTO_TEST_CASE(NamePartOfTwoUpstreamsNamesNeither) {
  const auto [first, second] = namesakes();
  start({record(first, 1), record(second, 2)});
  const auto other = tagOf(first, seconds(1009));
  BOOST_TEST((decide(other).Reason == EdgeReason::UnknownTag));
  BOOST_TEST((decide(other).Action == EdgeAction::Drop));
  Directory.removeUpstream(second, now());
  Time.advance(seconds(80));
  Directory.expire(now());
  BOOST_TEST((decide(other).Action == EdgeAction::Forward));
}

BOOST_AUTO_TEST_CASE(ForgottenUpstreamHasNoNamePart) {
  start({record("i-1", 1)});
  Directory.removeUpstream("i-1", now());
  Time.advance(seconds(80));
  Directory.expire(now());
  const auto tag = tagOf("i-1", seconds(1009));
  BOOST_TEST((decide(tag).Action == EdgeAction::Drop));
  advance(seconds(3));
  BOOST_TEST((decide(tag).Action == EdgeAction::Reset));
}

// Only eight bits of a tag come from the start.
BOOST_AUTO_TEST_CASE(LaterStartWithTheSameTagHasItsFlows) {
  auto r = record("i-1", 1);
  const auto tag = tagOf(r.Name, r.StartedAt);
  start({r});
  do
    r.StartedAt += milliseconds(1);
  while (tagOf(r.Name, r.StartedAt) != tag);
  Directory.putUpstream(r, now());
  const auto d = decide(tag);
  BOOST_TEST_REQUIRE((d.Action == EdgeAction::Forward));
  BOOST_TEST((d.Upstream->Record.StartedAt == r.StartedAt));
  BOOST_TEST((d.Reason == EdgeReason::Tagged));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
