#include "edge/mirror_tree.h"

#include "boragebridge/clock.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

using std::chrono::seconds;

namespace {

auto member(int i, unsigned capacity = 100, int dataCentre = 1)
    -> MemberRecord {
  return {"m" + std::to_string(i),
          DataCentreId{static_cast<std::uint64_t>(dataCentre)},
          {0x0A000000U + static_cast<std::uint32_t>(i), 8166},
          capacity};
}

auto fleet(int n) -> std::vector<MemberRecord> {
  std::vector<MemberRecord> all;
  all.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i)
    all.push_back(member(i));
  return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EdgeMirrorTree)

BOOST_AUTO_TEST_CASE(HasOneRootAndBoundedFanout) {
  for (int n : {1, 2, 9, 100, 540}) {
    const auto all = fleet(n);
    std::map<Endpoint, int> children;
    auto roots = 0;
    for (const auto &it : all) {
      MirrorTree tree(it);
      tree.setMembers(all);
      const auto parent = tree.parent(TimePoint());
      if (parent)
        ++children[*parent];
      else
        ++roots;
    }
    BOOST_TEST(roots == 1, "fleet " << n);
    for (const auto &[address, count] : children)
      BOOST_TEST(count <= 8, toString(address) << " serves " << count);
  }
}

BOOST_AUTO_TEST_CASE(HighestCapacityIsTheRoot) {
  const std::vector<MemberRecord> all{member(1, 28), member(2, 500),
                                      member(3, 90)};
  MirrorTree tree(all[0]);
  tree.setMembers(all);
  BOOST_TEST((tree.parent(TimePoint()) == all[1].Address));
}

// An instance that started again with less capacity, and could not register it,
// ranked itself by its settings and was ranked by its old record by the others.
// Each of two instances was the parent of the other, and neither read the
// store.
BOOST_AUTO_TEST_CASE(ChangedCapacityMakesNoCycle) {
  const std::vector<MemberRecord> records{member(1, 500), member(2, 90)};
  MirrorTree changed(member(1, 28));
  changed.setMembers(records);
  MirrorTree other(records[1]);
  other.setMembers(records);
  BOOST_TEST(!changed.parent(TimePoint()).has_value());
  BOOST_TEST((other.parent(TimePoint()) == records[0].Address));
  changed.setMembers({member(1, 28), records[1]});
  BOOST_TEST((changed.parent(TimePoint()) == records[1].Address));
}

BOOST_AUTO_TEST_CASE(IgnoresOtherDataCentres) {
  MirrorTree tree(member(1, 28));
  tree.setMembers({member(1, 28), member(2, 500, 2)});
  BOOST_TEST(!tree.parent(TimePoint()).has_value());
}

BOOST_AUTO_TEST_CASE(IgnoresMemberWithoutMirror) {
  auto withoutMirror = member(2, 500);
  withoutMirror.Address = {};
  MirrorTree tree(member(1, 28));
  tree.setMembers({member(1, 28), withoutMirror});
  BOOST_TEST(!tree.parent(TimePoint()).has_value());
}

BOOST_AUTO_TEST_CASE(SkipsMemberThatIsDown) {
  ManualClock time;
  const std::vector<MemberRecord> all{member(1, 28), member(2, 500),
                                      member(3, 90)};
  MirrorTree tree(all[0]);
  tree.setMembers(all);
  tree.markDown(all[1].Address, time.now());
  BOOST_TEST((tree.parent(time.now()) == all[2].Address));
  tree.markDown(all[2].Address, time.now());
  BOOST_TEST(!tree.parent(time.now()).has_value());
  time.advance(seconds(11));
  BOOST_TEST((tree.parent(time.now()) == all[1].Address));
}

BOOST_AUTO_TEST_CASE(MemberRecordRoundTrips) {
  const auto m = member(7, 250);
  const auto r = parseMember(m.Name, formatMember(m));
  BOOST_TEST_REQUIRE(r.ok());
  BOOST_TEST((*r == m));
  for (const auto *it : {"", "{}", "[]", R"({"address":"x"})",
                         R"({"address":"1.2.3.4:5","data_centre":"a"})"})
    BOOST_TEST(!parseMember("m", it).ok(), it);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
