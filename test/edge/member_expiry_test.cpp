#include "edge/member_expiry.h"

#include "boragebridge/clock.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

using std::chrono::minutes;
using std::chrono::seconds;

namespace {

struct ExpiryFixture {
  static auto member(const std::string &name, std::uint64_t dataCentre = 1)
      -> MemberRecord {
    return {name, DataCentreId{dataCentre}, {1, 8166}, 55};
  }
  auto check(const std::string &name, bool answered) -> bool {
    return Expiry.onChecked(name, answered, Time.now());
  }

  ManualClock Time;
  MemberExpiry Expiry{"self", DataCentreId{1}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EdgeMemberExpiry, ExpiryFixture)

BOOST_AUTO_TEST_CASE(ChecksLocalMembersInTurn) {
  auto withoutMirror = member("silent");
  withoutMirror.Address.Port = 0;
  Expiry.setMembers({member("a"), member("b"), member("self"),
                     member("other", 2), withoutMirror});
  std::string order;
  for (int i = 0; i < 3; ++i) {
    order += Expiry.nextToCheck(Time.now())->Name;
    BOOST_TEST(Expiry.nextToCheck(Time.now()) == nullptr);
    Time.advance(seconds(5));
  }
  BOOST_TEST(order == "aba");
}

BOOST_AUTO_TEST_CASE(ChecksNobodyWhenAlone) {
  Expiry.setMembers({member("self")});
  BOOST_TEST(Expiry.nextToCheck(Time.now()) == nullptr);
}

BOOST_AUTO_TEST_CASE(ExpiresMemberAfterMissedChecks) {
  Expiry.setMembers({member("a")});
  BOOST_TEST(!check("a", false));
  Time.advance(minutes(14));
  BOOST_TEST(!check("a", false));
  Time.advance(minutes(1));
  BOOST_TEST(check("a", false));
}

BOOST_AUTO_TEST_CASE(TwoMissesFarApartAreNotEnough) {
  Expiry.setMembers({member("a")});
  BOOST_TEST(!check("a", false));
  Time.advance(minutes(60));
  BOOST_TEST(!check("a", false));
}

BOOST_AUTO_TEST_CASE(AnswerResetsExpiry) {
  Expiry.setMembers({member("a")});
  check("a", false);
  Time.advance(minutes(14));
  check("a", true);
  for (int i = 0; i < 3; ++i) {
    Time.advance(minutes(4));
    BOOST_TEST(!check("a", false));
  }
}

BOOST_AUTO_TEST_CASE(ChangedRecordResetsExpiry) {
  Expiry.setMembers({member("a"), member("b")});
  check("a", false);
  check("b", false);
  auto moved = member("a");
  moved.Address.Address = 9;
  Expiry.setMembers({moved, member("b")});
  Time.advance(minutes(16));
  for (int i = 0; i < 2; ++i) {
    BOOST_TEST(!check("a", false));
    check("b", false);
  }
  BOOST_TEST(check("b", false));
  BOOST_TEST(!check("unknown", false));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
