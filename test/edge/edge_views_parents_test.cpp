// The views of an instance that reads from the store and from mirrors in turn.
#include <boost/test/unit_test.hpp>

#include "edge_views_fixture.h"

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A configuration whose route goes to \p service.
auto configurationTo(const std::string &service, int version) -> StoredObject {
  return {"config/main",
          R"({"version":)" + std::to_string(version) +
              R"(,"routes":[{"name":"r","host":"198.18.0.1",
                 "pathPrefix":"/443/","service":")" +
              service + R"("}],"services":[{"name":"s"},{"name":"t"}],
                 "limits":{}})",
          static_cast<ObjectVersion>(version)};
}

/// An instance that has lost its parent, whose mirror is Parent, and reads the
/// store until regainParent().
struct ChangeOfParentFixture : ViewsFixture {
  static constexpr Endpoint RouteAddress{0xC6120001, 443};
  const std::string Parts{ConfigurationPartsPrefix};
  ObjectMirror Parent;
  ConfigurationParts ParentParts{Format};

  /// The parent reads a version of the configuration from the store.
  auto parentReads(const StoredObject &o) -> void {
    const auto text = Format.splitConfiguration(o);
    const ObjectList changes{*ParentParts.changesTo(*text), o.Version};
    if (ParentParts.isEmpty())
      Parent.replace(Parts, changes);
    else
      Parent.apply(Parts, changes);
    ParentParts.apply(changes.Events);
  }
  auto startAtStore() -> void {
    Views.tick(Time.now());
    Store.answer("config/",
                 ObjectList{{{configurationTo("s", 10), false}}, 10});
    Store.answer("servers/", ObjectList{{}, 10});
    Store.answer("evacuations/", ObjectList{{}, 10});
    Views.tick(Time.now());
  }
  auto regainParent() -> void {
    const auto parent = strongerMember();
    Store.answer(
        "instances/",
        ObjectList{{{{"instances/b", formatMember(parent), 8}, false}}, 9});
    advance(seconds(1));
    BOOST_TEST_REQUIRE(Peers.size() == 1U);
  }
  /// Answers the open call of \p prefix at the parent as its mirror does.
  auto answerFromParent(const std::string &prefix) -> void {
    const auto call = Peers[0]->take(prefix);
    call.Done(call.IsWatch ? Parent.changes(prefix, call.After)
                           : Parent.list(prefix));
    Views.tick(Time.now());
  }
  auto service() const -> ServiceId {
    return Directory.route(RouteAddress)->Services.front().Service;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EdgeViewsParents, ChangeOfParentFixture)

// A reader that went back to its parent kept a route's service of a version
// that the parent had skipped, with the newest version in force (review/11).
BOOST_AUTO_TEST_CASE(ReaderKeepsNoPartOfAVersionThatItsParentSkipped) {
  parentReads(configurationTo("s", 10));
  startAtStore();
  Store.answer("config/", ObjectList{{{configurationTo("t", 12), false}}, 12});
  BOOST_TEST((service() == idFromName<ServiceId>("t")));
  parentReads(configurationTo("s", 15));
  regainParent();
  answerFromParent(Parts);
  BOOST_TEST(Directory.configuration().Version == 15U);
  answerFromParent(Parts);
  BOOST_TEST((service() == idFromName<ServiceId>("s")));
  BOOST_TEST(Directory.configuration().Version == 15U);
}

// The same for records: an upstream came and went while the history of the
// store was gone, so the parent's list never had it.
BOOST_AUTO_TEST_CASE(ReaderKeepsNoRecordThatItsParentNeverHad) {
  Parent.replace("servers/", ObjectList{{}, 10});
  startAtStore();
  Store.answer("servers/",
               ObjectList{{{{"servers/i-1", upstreamText(1), 12}, false}}, 12});
  BOOST_TEST(Directory.size() == 1U);
  Parent.replace("servers/", ObjectList{{}, 15});
  regainParent();
  answerFromParent("servers/");
  answerFromParent("servers/");
  BOOST_TEST(Directory.size() == 0U);
}

// Withdrawals: a data centre stayed withdrawn.
BOOST_AUTO_TEST_CASE(ReaderKeepsNoWithdrawalThatItsParentNeverHad) {
  const auto zone = idFromName<DataCentreId>("z");
  Parent.replace("evacuations/", ObjectList{{}, 10});
  startAtStore();
  Store.answer("evacuations/",
               ObjectList{{{{"evacuations/z", "{}", 12}, false}}, 12});
  BOOST_TEST(Directory.isWithdrawn(zone));
  Parent.replace("evacuations/", ObjectList{{}, 15});
  regainParent();
  answerFromParent("evacuations/");
  answerFromParent("evacuations/");
  BOOST_TEST(!Directory.isWithdrawn(zone));
}

// Members: an instance that has left stayed a possible parent.
BOOST_AUTO_TEST_CASE(ReaderKeepsNoMemberThatItsParentNeverHad) {
  startAtStore();
  regainParent();
  const auto parent = strongerMember();
  const auto gone = strongerMember("c");
  Parent.replace("instances/",
                 ObjectList{{{{"instances/b", formatMember(parent), 8}, false},
                             {{"instances/c", formatMember(gone), 9}, false}},
                            9});
  answerFromParent("instances/");
  answerFromParent("instances/");
  BOOST_TEST(Views.peers().size() == 2U);
  Parent.replace(
      "instances/",
      ObjectList{{{{"instances/b", formatMember(parent), 8}, false}}, 9});
  advance(seconds(1));
  answerFromParent("instances/");
  advance(seconds(1));
  answerFromParent("instances/");
  BOOST_TEST(Views.peers().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
