#include "flow/service_placement.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

namespace {

constexpr Duration IdleTimeout = std::chrono::seconds(10);

struct Fixture {
  static auto make(std::uint64_t n, const std::vector<std::uint64_t> &upstreams)
      -> Generation {
    Generation g{{Revision{1}, n, Incarnation{1}}, 1024, {}};
    for (auto id : upstreams)
      g.Upstreams.push_back({UpstreamId{id}, 64});
    return g;
  }
  auto addAndActivate(const Generation &g) -> void {
    Placement.add(g);
    Placement.activate(g.Id, Now);
  }
  auto choiceOf(std::uint32_t slot) const -> UpstreamId {
    return Placement.activeUpstreams()[Placement.choice(slot)];
  }

  TimePoint Now{std::chrono::hours(1)};
  Generation First = make(1, {1, 2, 3});
  Generation Second = make(2, {1, 2});
  ServicePlacement Placement{ServiceId{1}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Placement, Fixture)

BOOST_AUTO_TEST_CASE(AnnouncedGenerationUnsettlesMovedSlots) {
  addAndActivate(First);
  BOOST_TEST(Placement.unsettledSlots().empty());
  Placement.add(Second);
  BOOST_TEST(!Placement.unsettledSlots().empty());
  for (std::uint32_t slot = 0; slot < Placement.slots(); ++slot) {
    const auto old = buildSlotTable(ServiceId{1}, First.Upstreams, 1024)[slot];
    // New flows still follow the active generation.
    BOOST_TEST((choiceOf(slot) == First.Upstreams[old].Id));
    if (old == 2)
      BOOST_TEST(!Placement.isSettled(slot));
  }
}

BOOST_AUTO_TEST_CASE(UnknownFlowGoesToFormerUpstreamUntilIdleTimeout) {
  addAndActivate(First);
  Now += IdleTimeout;
  addAndActivate(Second);
  const auto slot = Placement.unsettledSlots().front();
  auto all = Placement.candidates(slot, Now, IdleTimeout);
  BOOST_REQUIRE(all.size() == 2U);
  BOOST_TEST((all.back() == choiceOf(slot)));
  all = Placement.candidates(slot, Now + IdleTimeout, IdleTimeout);
  BOOST_TEST((all.front() == choiceOf(slot)));
}

BOOST_AUTO_TEST_CASE(SettlingAllSlotsDropsFormerGeneration) {
  addAndActivate(First);
  addAndActivate(Second);
  const auto slots = Placement.unsettledSlots();
  Placement.settle(slots, Second.Id);
  BOOST_TEST(Placement.unsettledSlots().empty());
  BOOST_TEST(Placement.chainLength() == 1U);
  BOOST_TEST(!Placement.add(First));
}

BOOST_AUTO_TEST_CASE(SettlingDoesNotCoverLaterGenerations) {
  addAndActivate(First);
  addAndActivate(Second);
  const auto slots = Placement.unsettledSlots();
  Placement.add(make(3, {1, 2, 3}));
  Placement.settle(slots, Second.Id);
  BOOST_TEST(!Placement.unsettledSlots().empty());
}

BOOST_AUTO_TEST_CASE(ReaddedUpstreamIsNotFormerCandidate) {
  addAndActivate(First);
  addAndActivate(Second);
  addAndActivate(make(3, {1, 2, 3}));
  for (auto slot : Placement.unsettledSlots())
    for (auto id : Placement.candidates(slot, Now, IdleTimeout))
      BOOST_TEST((id == choiceOf(slot) || raw(id) < 3U));
}

BOOST_AUTO_TEST_CASE(ChainIsBoundedAndKeepsTheActiveGeneration) {
  addAndActivate(First);
  for (std::uint64_t n = 2; n < 30; ++n)
    Placement.add(make(n, {1, 2}));
  BOOST_TEST(Placement.chainLength() <= ServicePlacement::MaxChain);
  BOOST_TEST((Placement.activeId() == First.Id));
  BOOST_TEST(Placement.isActive());
}

BOOST_AUTO_TEST_CASE(MergeReproducesPeerState) {
  addAndActivate(First);
  addAndActivate(Second);
  Placement.settle(std::span(Placement.unsettledSlots()).first(5), Second.Id);
  ServicePlacement peer(ServiceId{1});
  BOOST_TEST(peer.merge(Placement.state(), Now));
  BOOST_TEST(peer.stateHash() == Placement.stateHash());
  BOOST_TEST(peer.unsettledSlots() == Placement.unsettledSlots(),
             boost::test_tools::per_element());
  BOOST_TEST(!peer.merge(Placement.state(), Now));
}

BOOST_AUTO_TEST_CASE(OlderGenerationIsNotReactivated) {
  addAndActivate(Second);
  BOOST_TEST(!Placement.activate(First.Id, Now));
  BOOST_TEST((Placement.activeId() == Second.Id));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
