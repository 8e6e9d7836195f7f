#include "membership/membership_controller.h"

#include "fakes/fake_platform.h"
#include "fakes/fleet.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

namespace {

using namespace std::chrono_literals;

auto makeOnlyMembership(const ControllerContext &ctx) -> ControllerList {
  ControllerList all;
  auto platform = std::make_shared<BudgetedPlatform>(ctx);
  all.push_back(makeMembershipController(ctx, std::move(platform)));
  return all;
}

auto makeOptions() -> fakes::FleetOptions {
  fakes::FleetOptions opt;
  opt.Seed = 5;
  opt.MakeControllers = makeOnlyMembership;
  return opt;
}

class NullSink final : public PacketSink {
public:
  auto sendToUpstream(const Endpoint &, const Packet &) -> void override {}
  auto sendToCaller(const Packet &) -> void override {}
};

/// An instance whose settings name no seeds.
struct SeedlessInstance {
  SeedlessInstance(const std::string &name, std::uint32_t address,
                   fakes::ObjectStore &store, fakes::FakeNetwork &net,
                   const ManualClock &clock,
                   const fakes::PlatformFaults &faults)
      : Random(address), Self{name,
                              idFromName<InstanceId>(name),
                              Incarnation{address},
                              DataCentreId{1},
                              {address, 7000},
                              {}},
        Link(net.attach(
            Self.PeerAddress, Self.Id, Self.IncarnationNumber, Self.DataCentre,
            [this](const auto &f) { return Process.onPeerFrame(f); })),
        Platform(store, net, faults, Self),
        Process(Self, {clock, Random, Packets, *Link, Platform, Log},
                makeOnlyMembership) {
    Process.start();
  }

  SeededRandom Random;
  InstanceIdentity Self;
  NullSink Packets;
  NullEventLog Log;
  std::unique_ptr<PeerLink> Link;
  fakes::FakePlatform Platform;
  Instance Process;
};

struct MembershipFixture {
  fakes::Fleet Fleet{makeOptions()};

  MembershipFixture() {
    for (auto n = 0; n < 8; ++n)
      Fleet.addInstance(nameOf(n), n < 4 ? "palermo" : "catania");
    Fleet.run(5s);
  }

  static auto nameOf(int n) -> std::string { return "e" + std::to_string(n); }

  /// Returns the state of \p name in the view of \p viewer; Dead if the view
  /// does not contain it.
  auto stateAt(Instance &viewer, const std::string &name) -> MemberState {
    auto view = viewer.board().Membership.read();
    const auto *it = view->find(idFromName<InstanceId>(name));
    return it == nullptr ? MemberState::Dead : it->State;
  }

  /// Returns the number of other running instances that see \p name in \p
  /// state.
  auto countSeeing(const std::string &name, MemberState state) -> std::size_t {
    std::size_t n = 0;
    for (auto *it : Fleet.running())
      if (it->identity().Name != name && stateAt(*it, name) == state)
        ++n;
    return n;
  }

  auto allSeeAllAlive() -> bool {
    for (auto *viewer : Fleet.running())
      for (auto *other : Fleet.running())
        if (stateAt(*viewer, other->identity().Name) != MemberState::Alive)
          return false;
    return true;
  }

  auto total(const std::string &metric) -> std::uint64_t {
    std::uint64_t n = 0;
    for (auto *it : Fleet.running())
      n += it->metrics().counterValue(metric);
    return n;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Membership, MembershipFixture)

BOOST_AUTO_TEST_CASE(InstancesFindOneAnotherFromSeeds) {
  BOOST_TEST(allSeeAllAlive());
  auto view = Fleet.instance("e0").board().Membership.read();
  BOOST_TEST(view->Members.size() == 8U);
  BOOST_TEST(std::is_sorted(
      view->Members.begin(), view->Members.end(),
      [](const Member &a, const Member &b) { return a.Id < b.Id; }));
}

BOOST_AUTO_TEST_CASE(ViewIsPublishedOnlyOnChange) {
  const auto before = Fleet.instance("e0").board().Membership.version();
  Fleet.run(30s);
  BOOST_TEST(Fleet.instance("e0").board().Membership.version() == before);
}

BOOST_AUTO_TEST_CASE(DeadInstanceIsDetectedWithoutFalseSuspicions) {
  Fleet.kill("e3");
  Fleet.run(10s);
  BOOST_TEST(countSeeing("e3", MemberState::Dead) == 7U);
  for (auto n : {0, 1, 2, 4, 5, 6, 7})
    BOOST_TEST(countSeeing(nameOf(n), MemberState::Alive) == 6U);
}

BOOST_AUTO_TEST_CASE(RestartedInstanceIsSeenWithItsNewIncarnation) {
  Fleet.kill("e3");
  auto &again = Fleet.addInstance("e3", "palermo");
  Fleet.run(5s);
  BOOST_TEST(allSeeAllAlive());
  for (auto *it : Fleet.running()) {
    const auto *m = it->board().Membership.read()->find(again.identity().Id);
    BOOST_TEST((m->IncarnationNumber == again.identity().IncarnationNumber));
  }
}

BOOST_AUTO_TEST_CASE(DeadInstanceCanRejoin) {
  Fleet.kill("e3");
  Fleet.run(30s);
  Fleet.addInstance("e3", "palermo");
  Fleet.run(5s);
  BOOST_TEST(allSeeAllAlive());
}

BOOST_AUTO_TEST_CASE(PausedInstanceRefutesItsDeathAndSuspectsNobody) {
  Fleet.setPaused("e2", true);
  Fleet.run(20s);
  BOOST_TEST(countSeeing("e2", MemberState::Dead) == 7U);
  const auto suspicions = total("membership_suspicions_total");
  Fleet.setPaused("e2", false);
  Fleet.run(5s);
  BOOST_TEST(allSeeAllAlive());
  BOOST_TEST(total("membership_suspicions_total") == suspicions);
  BOOST_TEST(Fleet.instance("e2").metrics().counterValue(
                 "membership_refutations_total") >= 1U);
}

BOOST_AUTO_TEST_CASE(PlannedStopIsNotReportedAsDeath) {
  Fleet.beginStop("e1");
  Fleet.run(500ms);
  BOOST_TEST(countSeeing("e1", MemberState::Leaving) == 7U);
  BOOST_TEST(total("membership_suspicions_total") == 0U);
}

BOOST_AUTO_TEST_CASE(MembersRejoinAfterPartitionHeals) {
  const auto a = idFromName<DataCentreId>("palermo");
  const auto b = idFromName<DataCentreId>("catania");
  Fleet.Network.setCut(a, b, true);
  Fleet.run(60s);
  BOOST_TEST((stateAt(Fleet.instance("e0"), "e7") == MemberState::Dead));
  BOOST_TEST((stateAt(Fleet.instance("e0"), "e1") == MemberState::Alive));
  Fleet.Network.setCut(a, b, false);
  Fleet.run(15s);
  BOOST_TEST(allSeeAllAlive());
}

BOOST_AUTO_TEST_CASE(FrameLossAndOneBadLinkCauseNoDeaths) {
  Fleet.Network.setLoss(0.05);
  Fleet.Network.setCut({0x0A000001, 7000}, {0x0A000002, 7000}, true);
  Fleet.run(60s);
  BOOST_TEST(total("membership_deaths_total") == 0U);
}

BOOST_AUTO_TEST_CASE(MalformedFrameIsRefused) {
  auto &it = Fleet.instance("e0");
  const auto ping = messageKind(MessageFamily::Membership, 1);
  BOOST_TEST(!it.onPeerFrame({{}, {}, {}, ping, Bytes(16, std::byte{0xFF})}));
  const auto unknown = messageKind(MessageFamily::Membership, 99);
  BOOST_TEST(!it.onPeerFrame({{}, {}, {}, unknown, encodeMembership({})}));
  MembershipMessage m;
  m.Updates.emplace_back();
  m.Updates.back().Subject.State = static_cast<MemberState>(9);
  BOOST_TEST(!it.onPeerFrame({{}, {}, {}, ping, encodeMembership(m)}));
}

BOOST_AUTO_TEST_CASE(JoinsFromPlatformListWithoutSeeds) {
  ManualClock clock;
  fakes::FakeNetwork net(clock, 1);
  fakes::ObjectStore store(clock);
  const fakes::PlatformFaults faults;
  SeedlessInstance a("a", 1, store, net, clock, faults);
  SeedlessInstance b("b", 2, store, net, clock, faults);
  for (auto n = 0; n < 500; ++n) {
    clock.advance(Instance::TickInterval);
    net.deliver();
    a.Process.tick();
    b.Process.tick();
  }
  BOOST_TEST((stateAt(a.Process, "b") == MemberState::Alive));
  BOOST_TEST((stateAt(b.Process, "a") == MemberState::Alive));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
