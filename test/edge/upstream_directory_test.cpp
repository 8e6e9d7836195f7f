#include <boost/test/unit_test.hpp>

#include "edge_fixture.h"

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_FIXTURE_TEST_SUITE(EdgeUpstreamDirectory, EdgeFixture)

BOOST_AUTO_TEST_CASE(IgnoresOlderConfiguration) {
  configure(7);
  EdgeConfiguration older;
  older.Version = 6;
  BOOST_TEST(!Directory.setConfiguration(older, now()));
  BOOST_TEST(Directory.configuration().Version == 7U);
  BOOST_TEST(Directory.route(RouteAddress) != nullptr);
}

BOOST_AUTO_TEST_CASE(FindsUpstreamByTag) {
  start({record("i-1", 1), record("i-2", 2)});
  const auto tag = tagOf("i-2", seconds(1000));
  BOOST_TEST_REQUIRE(Directory.find(tag) != nullptr);
  BOOST_TEST(Directory.find(tag)->Record.Name == "i-2");
  BOOST_TEST(Directory.find(UpstreamTag{12345}) == nullptr);
}

BOOST_AUTO_TEST_CASE(RestartEndsEarlierLifetime) {
  auto r = record("i-1", 1);
  start({r});
  const auto old = tagOf(r.Name, r.StartedAt);
  r.StartedAt += seconds(9);
  Directory.putUpstream(r, now());
  BOOST_TEST(Directory.isGone(*Directory.find(old), now()));
  BOOST_TEST(
      !Directory.isGone(*Directory.find(tagOf(r.Name, r.StartedAt)), now()));
}

BOOST_AUTO_TEST_CASE(ReusedAddressEndsPreviousUpstream) {
  start({record("i-1", 1)});
  auto successor = record("i-2", 1);
  successor.StartedAt += seconds(5);
  Directory.putUpstream(successor, now());
  BOOST_TEST(
      Directory.isGone(*Directory.find(tagOf("i-1", seconds(1000))), now()));
}

BOOST_AUTO_TEST_CASE(IgnoresLateRecordOfEndedLifetime) {
  start({record("i-1", 1)});
  auto successor = record("i-2", 1);
  successor.StartedAt += seconds(5);
  Directory.putUpstream(successor, now());
  Directory.replaceUpstreams({successor, record("i-1", 1)}, now());
  BOOST_TEST(
      Directory.isGone(*Directory.find(tagOf("i-1", seconds(1000))), now()));
  BOOST_TEST(!Directory.isGone(
      *Directory.find(tagOf("i-2", successor.StartedAt)), now()));
}

// A record of an ended lifetime that came back for some seconds, or one of
// another writer without a start, ended the living upstream at its address for
// instances that had not seen the earlier lifetime.
BOOST_AUTO_TEST_CASE(EarlierLifetimeTakesNoAddress) {
  start({record("i-2", 1)});
  for (const auto &[name, startedAt] :
       {std::pair{"i-1", seconds(900)}, std::pair{"i-3", seconds(0)}}) {
    auto earlier = record(name, 1);
    earlier.StartedAt = startedAt;
    Directory.putUpstream(earlier, now());
    BOOST_TEST(
        !Directory.isGone(*Directory.find(tagOf("i-2", seconds(1000))), now()));
    BOOST_TEST(
        Directory.isGone(*Directory.find(tagOf(name, startedAt)), now()));
    BOOST_TEST(Directory.upstreamsOf(Service).size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(UnregisteredUpstreamIsFoundByItsTagAndTakesNoFlows) {
  const auto r = record("i-2", 2);
  start({record("i-1", 1)});
  advance(seconds(10));
  Directory.addUnregistered(r, now());
  const auto *u = Directory.find(tagOf(r.Name, r.StartedAt));
  BOOST_TEST_REQUIRE(u != nullptr);
  BOOST_TEST(Directory.mayBeRunning(*u, now()));
  BOOST_TEST(!Directory.mayOpenAsLastResort(*u, now()));
  Directory.putUpstream(r, now());
  BOOST_TEST(Directory.mayOpen(*u, now()));
  // What the store has a record of is not changed.
  Directory.addUnregistered(r, now());
  BOOST_TEST(Directory.mayOpen(*u, now()));
}

// An upstream that was looked up just after a failure of the store got new
// flows for 2.5 s (beside review/10).
BOOST_AUTO_TEST_CASE(UnregisteredUpstreamTakesNoFlowsWhenTheStoreFails) {
  const auto r = record("i-2", 2);
  start({record("i-1", 1)});
  advance(seconds(10));
  Directory.onStoreFailure(now());
  Directory.addUnregistered(r, now());
  const auto *u = Directory.find(tagOf(r.Name, r.StartedAt));
  BOOST_TEST(!Directory.mayOpenAsLastResort(*u, now()));
  Time.advance(seconds(1));
  Directory.onStoreFailure(now());
  BOOST_TEST(!Directory.mayOpenAsLastResort(*u, now()));
  BOOST_TEST(Directory.mayBeRunning(*u, now()));
}

BOOST_AUTO_TEST_CASE(UnregisteredEarlierLifetimeEndsNoLaterOne) {
  const auto earlier = record("i-1", 1);
  auto later = earlier;
  later.StartedAt += seconds(9);
  start({later});
  Directory.addUnregistered(earlier, now());
  const auto *u = Directory.find(tagOf(earlier.Name, earlier.StartedAt));
  BOOST_TEST_REQUIRE(u != nullptr);
  BOOST_TEST(!Directory.mayBeRunning(*u, now()));
  const auto *latest = Directory.successor(*u, now());
  BOOST_TEST_REQUIRE(latest != nullptr);
  BOOST_TEST((latest->Record == later));
  BOOST_TEST(Directory.mayOpen(*latest, now()));
}

// A lifetime that started later, and is gone, must not keep the address.
BOOST_AUTO_TEST_CASE(AddressReturnsWhenItsHolderIsGone) {
  start({record("i-1", 1)});
  auto later = record("i-2", 1);
  later.StartedAt += seconds(5);
  Directory.putUpstream(later, now());
  const auto *u = Directory.find(tagOf("i-1", seconds(1000)));
  BOOST_TEST(Directory.isGone(*u, now()));
  Time.advance(seconds(10));
  Directory.removeUpstream("i-2", now());
  Directory.expire(now());
  BOOST_TEST(Directory.isGone(*u, now()));
  Time.advance(seconds(3));
  Directory.expire(now());
  BOOST_TEST(Directory.mayOpen(*u, now()));
}

BOOST_AUTO_TEST_CASE(EarlierHolderOfAnAddressEndsNoUpstreamWithoutRecord) {
  const auto earlier = record("i-1", 1);
  auto later = record("i-2", 1);
  later.StartedAt += seconds(5);
  start({later});
  const auto *u = Directory.find(tagOf("i-2", later.StartedAt));
  Directory.replaceUpstreams({earlier}, now());
  Time.advance(seconds(4));
  Directory.expire(now());
  BOOST_TEST((Directory.goneReason(*u, now()) == GoneReason::Missing));
  BOOST_TEST(Directory.mayBeRunning(*u, now()));
  BOOST_TEST(Directory.mayOpen(*Directory.find(tagOf("i-1", earlier.StartedAt)),
                               now()));
}

BOOST_AUTO_TEST_CASE(AddressIsFreeAfterItsHolderMoves) {
  auto later = record("i-2", 1);
  later.StartedAt += seconds(5);
  start({record("i-1", 1), later});
  later.Address.Port = 2;
  Directory.putUpstream(later, now());
  for (const auto *it : Directory.upstreamsOf(Service))
    BOOST_TEST(!Directory.isGone(*it, now()));
  BOOST_TEST(Directory.upstreamsOf(Service).size() == 2U);
}

namespace {

/// Lifetimes at one address, by their start, and how far the history of each
/// has come. Its steps: its record is put, removed, and put again.
struct AddressHistory {
  std::vector<UpstreamRecord> Lifetimes;
  /// Number of steps of each lifetime.
  std::vector<int> Steps;

  auto isRegistered(std::size_t i) const -> bool { return Steps[i] % 2 == 1; }
  /// The indexes of the lifetimes, each as often as it has steps.
  auto firstOrder() const -> std::vector<std::size_t> {
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < Steps.size(); ++i)
      out.insert(out.end(), static_cast<std::size_t>(Steps[i]), i);
    return out;
  }
  /// The lifetime that must hold the address; unset if none is registered.
  auto holder() const -> std::optional<std::size_t> {
    std::optional<std::size_t> last;
    for (std::size_t i = 0; i < Lifetimes.size(); ++i)
      if (isRegistered(i))
        last = i;
    return last;
  }
  auto check(UpstreamDirectory &d, TimePoint now) const -> bool {
    d.expire(now);
    for (std::size_t i = 0; i < Lifetimes.size(); ++i) {
      const auto &it = Lifetimes[i];
      const auto *u = d.find(tagOf(it.Name, it.StartedAt));
      const auto isHolder = u != nullptr && !d.isGone(*u, now);
      if (isRegistered(i) && isHolder != (holder() == i))
        return false;
    }
    return true;
  }
};

} // namespace

// Instances must agree on the holder of an address in whatever order they see
// the events, also when they see some twice or started after them.
BOOST_AUTO_TEST_CASE(HolderOfAnAddressDoesNotDependOnTheOrderOfEvents) {
  AddressHistory history;
  for (const auto *name : {"i-3", "i-1", "i-2"}) {
    history.Lifetimes.push_back(record(name, 1));
    history.Lifetimes.back().StartedAt += seconds(5 * history.Lifetimes.size());
  }
  // A record without a start.
  history.Lifetimes.front().StartedAt = {};
  // Each lifetime has 0 to 3 steps.
  constexpr int Cases = 64;
  auto failures = 0;
  for (int n = 0; n < Cases; ++n) {
    history.Steps = {n % 4, n / 4 % 4, n / 16};
    auto order = history.firstOrder();
    do {
      UpstreamDirectory early;
      early.setConfiguration(configuration(), now());
      early.replaceUpstreams({}, now());
      std::vector<int> done(history.Lifetimes.size());
      for (const auto i : order) {
        for (int copy = 0; copy < 2; ++copy) {
          if (done[i] % 2 == 0)
            early.putUpstream(history.Lifetimes[i], now());
          else
            early.removeUpstream(history.Lifetimes[i].Name, now());
        }
        ++done[i];
      }
      std::vector<UpstreamRecord> registered;
      for (std::size_t i = 0; i < history.Lifetimes.size(); ++i)
        if (history.isRegistered(i))
          registered.push_back(history.Lifetimes[i]);
      UpstreamDirectory late;
      late.setConfiguration(configuration(), now());
      late.replaceUpstreams(registered, now());
      const auto end = now() + seconds(10);
      failures += history.check(early, end) && history.check(late, end) ? 0 : 1;
    } while (std::next_permutation(order.begin(), order.end()));
  }
  BOOST_TEST(failures == 0);
}

BOOST_AUTO_TEST_CASE(MissingUpstreamIsGoneAfterLimit) {
  start({record("i-1", 1)});
  Time.advance(seconds(10));
  Directory.removeUpstream("i-1", now());
  const auto *u = Directory.find(tagOf("i-1", seconds(1000)));
  BOOST_TEST(!Directory.mayOpen(*u, now()));
  BOOST_TEST(Directory.mayOpenAsLastResort(*u, now()));
  BOOST_TEST(!Directory.isGone(*u, now()));
  Time.advance(milliseconds(2600));
  BOOST_TEST(Directory.isGone(*u, now()));
}

BOOST_AUTO_TEST_CASE(RecordExpiredDuringStoreOutageTakesFlows) {
  start({record("i-1", 1)});
  Time.advance(seconds(10));
  Directory.onStoreFailure(now());
  Time.advance(seconds(1));
  Directory.removeUpstream("i-1", now());
  BOOST_TEST(
      Directory.mayOpen(*Directory.find(tagOf("i-1", seconds(1000))), now()));
}

BOOST_AUTO_TEST_CASE(ReturningRecordKeepsItsTag) {
  start({record("i-1", 1)});
  Directory.removeUpstream("i-1", now());
  Time.advance(seconds(1));
  Directory.putUpstream(record("i-1", 1), now());
  Time.advance(seconds(30));
  Directory.expire(now());
  const auto *u = Directory.find(tagOf("i-1", seconds(1000)));
  BOOST_TEST_REQUIRE(u != nullptr);
  BOOST_TEST(Directory.mayOpen(*u, now()));
}

// An upstream that drained took new flows again, as the restored store had its
// record from before.
BOOST_AUTO_TEST_CASE(RecordFromBeforeARestoreOfTheStoreIsIgnored) {
  auto ready = record("i-1", 1);
  ready.Sequence = 4;
  start({ready});
  auto draining = ready;
  draining.Draining = true;
  draining.Sequence = 6;
  Directory.putUpstream(draining, now());
  const auto *u = Directory.find(tagOf("i-1", ready.StartedAt));
  Directory.replaceByRestored({ready}, now());
  BOOST_TEST(!Directory.mayOpen(*u, now()));
  draining.Sequence = 7;
  Directory.putUpstream(draining, now());
  Time.advance(seconds(5));
  Directory.expire(now());
  BOOST_TEST(!Directory.mayOpen(*u, now()));
}

BOOST_AUTO_TEST_CASE(UpstreamThatLeftDoesNotReturnWithARestoreOfTheStore) {
  auto r = record("i-1", 1);
  r.Sequence = 4;
  start({r});
  Time.advance(seconds(10));
  Directory.removeUpstream("i-1", now());
  Time.advance(seconds(3));
  const auto *u = Directory.find(tagOf("i-1", r.StartedAt));
  Directory.replaceByRestored({r}, now());
  Time.advance(seconds(3));
  BOOST_TEST(Directory.isGone(*u, now()));
  Directory.removeUpstream("i-1", now());
  Time.advance(seconds(5));
  Directory.expire(now());
  BOOST_TEST(Directory.isGone(*u, now()));
}

// A heartbeat that changes only the sequence gives no event.
BOOST_AUTO_TEST_CASE(RecordThatTheRestoredStoreKeepsIsTaken) {
  auto r = record("i-1", 1);
  r.Sequence = 4;
  start({r});
  Directory.removeUpstream("i-1", now());
  Time.advance(seconds(3));
  const auto *u = Directory.find(tagOf("i-1", r.StartedAt));
  Directory.replaceByRestored({r}, now());
  Directory.replaceUpstreams({r}, now());
  Time.advance(seconds(5));
  BOOST_TEST(Directory.isGone(*u, now()));
  Directory.expire(now());
  BOOST_TEST(Directory.mayOpen(*u, now()));
}

BOOST_AUTO_TEST_CASE(RecordThatExpiredJustBeforeARestoreOfTheStoreIsTaken) {
  auto r = record("i-1", 1);
  r.Sequence = 4;
  start({r});
  Directory.removeUpstream("i-1", now());
  Time.advance(seconds(1));
  Directory.replaceByRestored({r}, now());
  Time.advance(seconds(3));
  BOOST_TEST(
      Directory.mayOpen(*Directory.find(tagOf("i-1", r.StartedAt)), now()));
}

BOOST_AUTO_TEST_CASE(RestoredRecordOfAnEarlierLifetimeEndsNoLaterOne) {
  const auto earlier = record("i-1", 1);
  auto later = earlier;
  later.StartedAt += seconds(5);
  start({later});
  Directory.replaceByRestored({earlier}, now());
  later.Draining = true;
  Directory.putUpstream(later, now());
  const auto *u = Directory.find(tagOf("i-1", later.StartedAt));
  BOOST_TEST(!Directory.isGone(*u, now()));
  BOOST_TEST(!Directory.mayOpen(*u, now()));
  BOOST_TEST(Directory.find(tagOf("i-1", earlier.StartedAt)) == nullptr);
}

BOOST_AUTO_TEST_CASE(RetainsGoneUpstreamWhileFlowsMayLast) {
  start({record("i-1", 1)});
  Directory.removeUpstream("i-1", now());
  Time.advance(seconds(60));
  Directory.expire(now());
  BOOST_TEST(Directory.find(tagOf("i-1", seconds(1000))) != nullptr);
  Time.advance(seconds(60));
  Directory.expire(now());
  BOOST_TEST(Directory.find(tagOf("i-1", seconds(1000))) == nullptr);
}

BOOST_AUTO_TEST_CASE(WithdrawnDataCentreTakesNoFlowsAndReturnsCold) {
  start({record("i-1", 1)});
  const auto *u = Directory.find(tagOf("i-1", seconds(1000)));
  Directory.setWithdrawn({LocalDataCentre}, now());
  BOOST_TEST(!Directory.mayOpen(*u, now()));
  Directory.setWithdrawn({}, now());
  BOOST_TEST(Directory.mayOpen(*u, now()));
  BOOST_TEST(Directory.isCold(*u, now()));
  Time.advance(seconds(4));
  BOOST_TEST(!Directory.isCold(*u, now()));
}

BOOST_AUTO_TEST_CASE(UnchangedRecordDoesNotExtendColdTime) {
  auto r = record("i-1", 1);
  r.ColdFor = seconds(2);
  start({r});
  Time.advance(milliseconds(2100));
  Directory.putUpstream(r, now());
  BOOST_TEST(
      !Directory.isCold(*Directory.find(tagOf("i-1", seconds(1000))), now()));
}

BOOST_AUTO_TEST_CASE(IsStableOnlyAfterMissingLimit) {
  start({record("i-1", 1)});
  BOOST_TEST(!Directory.isStable(now()));
  Time.advance(seconds(3));
  BOOST_TEST(Directory.isStable(now()));
  Directory.onStoreFailure(now());
  BOOST_TEST(!Directory.isStable(now()));
}

BOOST_AUTO_TEST_CASE(RemembersRemovedRoutesUpToALimit) {
  UpstreamDirectory directory({.MaxRemovedRoutes = 2});
  const auto address = [](std::uint16_t port) {
    return Endpoint{0xC6120001, port};
  };
  const auto configure = [&](std::uint64_t version,
                             const std::vector<std::uint16_t> &ports) {
    EdgeConfiguration c;
    c.Version = version;
    for (const auto it : ports)
      c.Routes.push_back({"r", address(it), {{ServiceId{1}, 1}}});
    const auto isInForce = directory.setConfiguration(std::move(c), now());
    BOOST_TEST(isInForce);
  };
  configure(1, {1, 2});
  BOOST_TEST(!directory.isRemovedRoute(address(1)));
  BOOST_TEST(!directory.isRemovedRoute(address(9)));
  configure(2, {2, 3});
  BOOST_TEST(directory.isRemovedRoute(address(1)));
  configure(3, {1, 2, 3});
  BOOST_TEST(!directory.isRemovedRoute(address(1)));
  configure(4, {1, 3});
  configure(5, {1});
  configure(6, {});
  BOOST_TEST(!directory.isRemovedRoute(address(2)));
  BOOST_TEST(directory.isRemovedRoute(address(3)));
  BOOST_TEST(directory.isRemovedRoute(address(1)));
}

// A watch that was cut off made an upstream that was gone take flows again, for
// as long as its record was kept (review/10).
BOOST_AUTO_TEST_CASE(UpstreamThatIsGoneStaysGoneWhenTheStoreFails) {
  start({record("i-1", 1)});
  Time.advance(seconds(10));
  Directory.removeUpstream("i-1", now());
  const auto *u = Directory.find(tagOf("i-1", seconds(1000)));
  Time.advance(seconds(1));
  Directory.onStoreFailure(now());
  BOOST_TEST(!Directory.mayOpen(*u, now()));
  Time.advance(seconds(2));
  BOOST_TEST(Directory.isGone(*u, now()));
  Directory.onStoreFailure(now());
  BOOST_TEST(Directory.isGone(*u, now()));
}

BOOST_AUTO_TEST_CASE(UpstreamThatMayHaveExpiredIsGoneOnceItHadTimeToReturn) {
  start({record("i-1", 1)});
  Time.advance(seconds(10));
  Directory.onStoreFailure(now());
  Directory.removeUpstream("i-1", now());
  const auto *u = Directory.find(tagOf("i-1", seconds(1000)));
  Time.advance(seconds(2));
  Directory.onStoreFailure(now());
  Time.advance(seconds(2));
  BOOST_TEST(Directory.mayOpen(*u, now()));
  Time.advance(seconds(1));
  BOOST_TEST(Directory.isGone(*u, now()));
  Directory.onStoreFailure(now());
  BOOST_TEST(!Directory.mayOpen(*u, now()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
