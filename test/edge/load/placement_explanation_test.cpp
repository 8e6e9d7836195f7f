#include "edge/load/placement_explanation.h"

#include <boost/test/unit_test.hpp>

#include "../edge_fixture.h"
#include "load_fixture.h"

#include <algorithm>
#include <set>

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// What LoadFixture's upstreams of one data centre can handle, in requests per
/// second.
constexpr double Capacity =
    12 * LoadFixture::Slots /
    std::chrono::duration<double>(LoadFixture::MeanWork).count();

/// One instance without a load, whose random factors are all equal.
struct QuietFixture : EdgeFixture {
  Picker Equal{Directory,
               Estimates,
               Quota,
               Random,
               {.LocalDataCentre = LocalDataCentre, .CostJitter = 0}};
  LoadControl Load;
  UpstreamSubsets Subsets{Directory, "a", LocalDataCentre};
  LoadAwarePolicy Placement{
      Equal, Load, Subsets, Random, {.Parts = {}, .CostJitter = 0}};

  auto explain() const -> PlacementExplanation {
    const auto e = explainPlacement({Directory, Equal, Load, Placement},
                                    RouteAddress, milliseconds(40), now());
    BOOST_TEST_REQUIRE(e.ok());
    return *e;
  }
  auto upstream(const std::string &name) const -> UpstreamExplanation {
    const auto e = explain();
    for (const auto &it : e.Services.at(0).Upstreams)
      if (it.Name == name)
        return it;
    BOOST_FAIL("no upstream " << name);
    return {};
  }
  auto lifetime(const std::string &name) const -> const UpstreamLifetime & {
    return *Directory.find(tagOf(name, seconds(1000)));
  }
  /// Name of the upstream that a new flow goes to; empty if there is none.
  auto pick() -> std::string {
    const auto p =
        Placement.pick({.Route = *Directory.route(RouteAddress)}, now());
    return p.Upstream == nullptr ? "" : p.Upstream->Record.Name;
  }
};

auto explain(const FakeInstance &it, const RouteRecord &route, TimePoint now)
    -> ServiceExplanation {
  const auto e = explainPlacement({it.Directory, it.Base, it.Load, it.Policy},
                                  route.Address, Duration::zero(), now);
  BOOST_TEST_REQUIRE(e.ok());
  return e->Services.at(0);
}

/// Many less urgent requests and some urgent ones at both data centres.
auto sendBurst(LoadFixture &f, Duration d) -> void {
  for (std::size_t i = 0; i < 2; ++i) {
    f.send(f.Urgent, i, Capacity / 8, d);
    f.send(f.Other, i, 3 * Capacity, d);
  }
}

/// Has all instances explain both routes every 30 ms until \p end.
auto askRepeatedly(LoadFixture &f, TimePoint end) -> void {
  f.after(milliseconds(30), [&f, end] {
    if (f.Time.now() >= end)
      return;
    for (std::size_t i = 0; i < 12; ++i)
      for (const auto *route : {&f.Urgent, &f.Other})
        explain(f.instance(i), *route, f.Time.now());
    askRepeatedly(f, end);
  });
}

} // namespace

BOOST_AUTO_TEST_SUITE(EdgePlacementExplanation)

BOOST_FIXTURE_TEST_CASE(FirstUpstreamIsPickersChoice, QuietFixture) {
  auto remote = record("i-4", 4);
  remote.DataCentre = RemoteDataCentre;
  start({record("i-1", 1), record("i-2", 2), record("i-3", 3), remote});
  Estimates.onResponse(lifetime("i-1"), milliseconds(400));
  Estimates.onUnanswered(lifetime("i-3"), now());
  auto picked = std::set<std::string>();
  for (int i = 0; i < 200; ++i) {
    const auto first = explain().Services.at(0).Upstreams.at(0);
    const auto name = pick();
    BOOST_TEST(first.Name == name);
    BOOST_TEST(first.IsChosen);
    picked.insert(name);
    Time.advance(milliseconds(i % 7));
  }
  // The load of the picks moves the choice, so several were compared.
  BOOST_TEST(picked.size() >= 3U);
}

BOOST_FIXTURE_TEST_CASE(FirstUpstreamIsPickersChoiceAmongOtherClasses,
                        QuietFixture) {
  auto cold = record("i-1", 1);
  cold.ColdFor = seconds(60);
  start({cold, record("i-2", 2), record("i-3", 3)});
  Estimates.onUnanswered(lifetime("i-2"), now());
  Directory.onStoreFailure(now() - seconds(2));
  Directory.removeUpstream("i-3", now() + seconds(1));
  for (const auto *expected : {"i-1", "i-2"}) {
    const auto first = explain().Services.at(0).Upstreams.at(0);
    BOOST_TEST(first.Name == expected);
    BOOST_TEST(pick() == expected);
  }
  BOOST_TEST((upstream("i-1").Class == PickReason::None));
  BOOST_TEST((upstream("i-2").Class == PickReason::Avoided));
  BOOST_TEST((upstream("i-3").Class == PickReason::Missing));
}

BOOST_FIXTURE_TEST_CASE(RemoteUpstreamIsShownWithPenalty, QuietFixture) {
  auto remote = record("i-2", 2);
  remote.DataCentre = RemoteDataCentre;
  start({record("i-1", 1), remote});
  BOOST_TEST(!upstream("i-1").IsRemote);
  BOOST_TEST(upstream("i-2").IsRemote);
  const auto penalty = *upstream("i-2").Expected - *upstream("i-1").Expected;
  BOOST_TEST((penalty == PickerOptions().RemotePenalty));
}

BOOST_FIXTURE_TEST_CASE(DrainingUpstreamIsNoChoice, QuietFixture) {
  auto draining = record("i-1", 1);
  draining.Draining = true;
  start({draining, record("i-2", 2)});
  BOOST_TEST((upstream("i-1").Class == PickReason::None));
  BOOST_TEST(!upstream("i-1").IsUsedUnderPressure);
  BOOST_TEST(explain().Services.at(0).Upstreams.at(0).Name == "i-2");
  BOOST_TEST(render(explain()).find("i-1: none, local") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(ServiceWithoutUpstreamsIsExplained, QuietFixture) {
  start({});
  BOOST_TEST(explain().Services.at(0).Upstreams.empty());
  BOOST_TEST(render(explain()).find("finds no upstream") != std::string::npos);
  auto draining = record("i-1", 1);
  draining.Draining = true;
  Directory.putUpstream(draining, now());
  BOOST_TEST(!explain().Services.at(0).Upstreams.at(0).IsChosen);
  BOOST_TEST(render(explain()).find("finds no upstream") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(UnknownRouteIsNotFound, QuietFixture) {
  start({record("i-1", 1)});
  const auto e = explainPlacement({Directory, Equal, Load, Placement},
                                  {RouteAddress.Address, 444}, {}, now());
  BOOST_TEST(absl::IsNotFound(e.status()));
  BOOST_TEST(e.status().message() ==
             "no route is configured at 198.18.0.1:444");
}

BOOST_AUTO_TEST_CASE(RequestNamesTheRoute) {
  const auto route = parseExplainTarget("/explain?route=198.18.0.1:443");
  BOOST_TEST_REQUIRE(route.ok());
  BOOST_TEST((*route == Endpoint{0xC6120001, 443}));
  BOOST_TEST(!isExplainTarget("/"));
  BOOST_TEST(!isExplainTarget("/metrics"));
  BOOST_TEST(!isExplainTarget("/explained?route=198.18.0.1:443"));
}

BOOST_AUTO_TEST_CASE(RequestWithMissingOrMalformedRouteIsRefused) {
  for (const std::string it :
       {"/explain", "/explain?", "/explain?route=", "/explain?route=198.18.0.1",
        "/explain?route=198.18.0.1:443x", "/explain?route=%zz",
        "/explain?rout=198.18.0.1:443"}) {
    BOOST_TEST(isExplainTarget(it), it);
    const auto route = parseExplainTarget(it);
    BOOST_TEST(absl::IsInvalidArgument(route.status()), it);
    BOOST_TEST(route.status().message().find("?route=ADDRESS:PORT, found " +
                                             it) != std::string::npos);
  }
}

BOOST_FIXTURE_TEST_CASE(TextNamesRouteChoiceAndAgeOfTheView, QuietFixture) {
  start({record("i-1", 1)});
  const auto service = std::to_string(raw(Service));
  BOOST_TEST(render(explain()) ==
             "route r at 198.18.0.1:443, priority 255\n"
             "view of the store: 40 ms old\n"
             "service " +
                 service +
                 ", weight 1\n"
                 "  pressure: off; the rules without pressure decide\n"
                 "  reserved for more urgent routes: 0% of the upstreams\n"
                 "  a new request goes to i-1 (best, local)\n"
                 "  upstreams: 1, best first\n"
                 "    i-1: best, local, expected ms 30.0, in progress 0.0 of "
                 "limit 2.0, used under pressure, chosen\n");
}

BOOST_FIXTURE_TEST_CASE(LongListIsCut, QuietFixture) {
  std::vector<UpstreamRecord> all;
  for (std::size_t i = 0; i < MaxExplainedUpstreams + 5; ++i)
    all.push_back(
        record("u-" + std::to_string(i), static_cast<std::uint16_t>(i + 1)));
  start(all);
  BOOST_TEST(render(explain()).find("    and 5 more\n") != std::string::npos);
}

// Compared with a policy over the same parts whose random factors are equal.
BOOST_AUTO_TEST_CASE(ExplainsThePolicysChoiceUnderPressure) {
  LoadFixture f;
  f.start({});
  sendBurst(f, seconds(8));
  f.run(seconds(2));
  auto &it = f.instance(0);
  LoadAwarePolicy equal(it.Base, it.Load, it.Subsets, it.Random,
                        {.Parts = {}, .CostJitter = 0});
  auto turnedAway = 0;
  auto sent = 0;
  for (int i = 0; i < 200; ++i) {
    f.run(milliseconds(20));
    const auto &route = i % 2 == 0 ? f.Urgent : f.Other;
    const auto e = explain(it, route, f.Time.now());
    BOOST_TEST(e.IsUnderPressure == it.Load.isUnderPressure(f.Service));
    if (!e.IsDecidedByLoad)
      continue;
    const auto p = equal.pick({.Route = route}, f.Time.now());
    BOOST_TEST(e.IsTurnedAway == (p.Reason == PickReason::Full));
    BOOST_TEST(e.Upstreams.at(0).IsChosen == (p.Upstream != nullptr));
    if (p.Upstream != nullptr)
      BOOST_TEST(e.Upstreams.at(0).Name == p.Upstream->Record.Name);
    ++(p.Upstream == nullptr ? turnedAway : sent);
  }
  BOOST_TEST(turnedAway > 0);
  BOOST_TEST(sent > 0);
}

BOOST_AUTO_TEST_CASE(LessUrgentRouteIsSaidToBeTurnedAwayUnderPressure) {
  LoadFixture f;
  f.start({});
  sendBurst(f, seconds(4));
  f.run(seconds(3));
  auto &it = f.instance(0);
  BOOST_TEST_REQUIRE(it.Load.isUnderPressure(f.Service));
  // Fills what the instance may use for the less urgent route.
  for (auto p = it.Policy.pick({.Route = f.Other}, f.Time.now());
       p.Upstream != nullptr;
       p = it.Policy.pick({.Route = f.Other}, f.Time.now()))
    it.Load.onSent(f.Other, *p.Upstream, f.Time.now());
  const auto other = explain(it, f.Other, f.Time.now());
  BOOST_TEST(other.IsUnderPressure);
  BOOST_TEST(other.IsTurnedAway);
  BOOST_TEST(other.ReservedShare > 0);
  const auto kept = [](const ServiceExplanation &e) {
    return std::count_if(e.Upstreams.begin(), e.Upstreams.end(),
                         [](const auto &u) { return u.IsReserved; });
  };
  BOOST_TEST(kept(other) > 0);
  const auto urgent = explain(it, f.Urgent, f.Time.now());
  BOOST_TEST(!urgent.IsTurnedAway);
  BOOST_TEST(urgent.Upstreams.at(0).IsChosen);
  BOOST_TEST(kept(urgent) == 0);
  const auto e = explainPlacement({it.Directory, it.Base, it.Load, it.Policy},
                                  f.Other.Address, {}, f.Time.now());
  BOOST_TEST(render(*e).find("a new request is turned away") !=
             std::string::npos);
}

// The same requests reach the same upstreams, whether or not the instances are
// asked meanwhile, without pressure and under it.
BOOST_AUTO_TEST_CASE(AskingChangesNothing) {
  LoadFixture asked;
  asked.start({});
  LoadFixture quiet;
  quiet.start({});
  askRepeatedly(asked, asked.Time.now() + seconds(7));
  for (auto *f : {&asked, &quiet}) {
    f->send(f->Other, 0, Capacity / 4, seconds(8));
    f->run(seconds(2));
    sendBurst(*f, seconds(4));
    f->run(seconds(3));
    BOOST_TEST(f->instance(0).Load.isUnderPressure(f->Service));
    f->run(seconds(5));
  }
  BOOST_TEST((asked.ArrivalsOf == quiet.ArrivalsOf));
  BOOST_TEST(asked.Refusals == quiet.Refusals);
  for (std::size_t i = 0; i < 12; ++i) {
    BOOST_TEST(asked.instance(i).Random.next() ==
               quiet.instance(i).Random.next());
    BOOST_TEST(asked.instance(i).Load.counts().TurnedAway ==
               quiet.instance(i).Load.counts().TurnedAway);
  }
}

BOOST_FIXTURE_TEST_CASE(AskingUsesNoColdStartQuotaAndNoTrial, QuietFixture) {
  auto cold = record("i-1", 1);
  cold.ColdFor = seconds(60);
  start({cold, record("i-2", 2)});
  Estimates.onUnanswered(lifetime("i-2"), now());
  Time.advance(milliseconds(450));
  const auto before = explain();
  for (int i = 0; i < 20; ++i)
    BOOST_TEST((explain() == before));
  BOOST_TEST(pick() == "i-2");
  BOOST_TEST(pick() == "i-1");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
