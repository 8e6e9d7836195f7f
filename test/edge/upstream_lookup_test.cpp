#include "edge/upstream_lookup.h"
#include "edge/upstream_record_text.h"

#include <boost/test/unit_test.hpp>

#include "edge_fixture.h"

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct UpstreamLookupFixture : EdgeFixture {
  struct Call {
    Endpoint Peer;
    UpstreamTag Tag = UpstreamTag::None;
    UpstreamLookup::Answer Done;
  };

  NullEventLog Log;
  std::vector<Endpoint> Peers{{1, 1}, {1, 2}, {1, 3}, {1, 4}, {1, 5}};
  std::vector<Call> Calls;
  UpstreamLookup Lookup{Time, Log, Directory, [this] { return Peers; },
                        [this](const auto &peer, auto tag, const auto &done) {
                          Calls.push_back({peer, tag, done});
                        }};
  const UpstreamRecord Missing = record("i-2", 2);
  const UpstreamTag Tag = tagOf(Missing.Name, Missing.StartedAt);

  UpstreamLookupFixture() {
    start({record("i-1", 1)});
    advance(seconds(10));
  }
  auto refuse() -> void {
    const auto done = Calls.back().Done;
    done(absl::NotFoundError("no such upstream"));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EdgeUpstreamLookup, UpstreamLookupFixture)

BOOST_AUTO_TEST_CASE(FlowOfUpstreamThatAnotherInstanceKnowsGoesOn) {
  const auto p = data(1, Tag);
  BOOST_TEST(
      (PacketForwarder.decide(p, now()).Reason == EdgeReason::UnknownTag));
  Lookup.onUnknownTag(Tag, now());
  BOOST_TEST_REQUIRE(Calls.size() == 1U);
  Calls.front().Done(Missing);
  const auto d = PacketForwarder.decide(p, now());
  BOOST_TEST_REQUIRE((d.Action == EdgeAction::Forward));
  BOOST_TEST((d.Upstream->Record == Missing));
  for (int i = 0; i < 20; ++i)
    BOOST_TEST(openedTo() == "i-1");
}

BOOST_AUTO_TEST_CASE(AsksFewPeersInTurn) {
  Lookup.onUnknownTag(Tag, now());
  for (std::size_t n = 1; n <= UpstreamLookupOptions().MaxPeers; ++n) {
    BOOST_TEST_REQUIRE(Calls.size() == n);
    BOOST_TEST((Calls.back().Peer == Peers[n - 1]));
    BOOST_TEST((Calls.back().Tag == Tag));
    refuse();
  }
  BOOST_TEST(Calls.size() == UpstreamLookupOptions().MaxPeers);
  BOOST_TEST(Directory.find(Tag) == nullptr);
}

BOOST_AUTO_TEST_CASE(PacketsOfOneTagCauseOneLookupAtATime) {
  for (int i = 0; i < 10; ++i)
    Lookup.onUnknownTag(Tag, now());
  BOOST_TEST(Calls.size() == 1U);
  advance(seconds(1));
  Lookup.onUnknownTag(Tag, now());
  BOOST_TEST(Calls.size() == 2U);
}

BOOST_AUTO_TEST_CASE(NumberOfLookupsIsBounded) {
  for (std::uint32_t i = 1; i < 1000; ++i)
    Lookup.onUnknownTag(UpstreamTag{i}, now());
  BOOST_TEST(Calls.size() == UpstreamLookupOptions().MaxTags);
}

BOOST_AUTO_TEST_CASE(RecordThatTheTagDoesNotNameIsIgnored) {
  Lookup.onUnknownTag(UpstreamTag{99}, now());
  Calls.front().Done(Missing);
  BOOST_TEST(Directory.find(Tag) == nullptr);
  BOOST_TEST(Calls.size() == 2U);
}

// An instance that started after another writer's entry had taken the
// upstream's name, for another address, took the upstream for ended, although
// another instance knew that it might be running.
BOOST_AUTO_TEST_CASE(FlowOfUpstreamWhoseNameAnEntryHasTakenGoesOn) {
  auto other = Missing;
  other.StartedAt += seconds(9);
  other.Address.Port = 99;
  Directory.putUpstream(other, now());
  const auto p = data(1, Tag);
  const auto reason = PacketForwarder.decide(p, now()).Reason;
  BOOST_TEST_REQUIRE(isOfUnknownLifetime(reason));
  Lookup.onUnknownTag(Tag, now());
  Calls.front().Done(Missing);
  const auto d = PacketForwarder.decide(p, now());
  BOOST_TEST_REQUIRE((d.Action == EdgeAction::Forward));
  BOOST_TEST((d.Upstream->Record == Missing));
}

// An instance that has found the upstream to be silent denies it.
BOOST_AUTO_TEST_CASE(SilentUpstreamIsNotPassedOn) {
  start({record("i-1", 1), Missing});
  BOOST_TEST(PacketForwarder.upstreamWithFlows(Tag, now()) != nullptr);
  Directory.removeUpstream(Missing.Name, now());
  advance(seconds(3));
  BOOST_TEST(PacketForwarder.upstreamWithFlows(Tag, now()) != nullptr);
  PacketForwarder.decide(data(1, Tag), now());
  advance(milliseconds(600));
  PacketForwarder.decide(data(1, Tag), now());
  BOOST_TEST(PacketForwarder.upstreamWithFlows(Tag, now()) == nullptr);
  BOOST_TEST(PacketForwarder.upstreamWithFlows(UpstreamTag{99}, now()) ==
             nullptr);
}

BOOST_AUTO_TEST_CASE(TargetNamesTag) {
  BOOST_TEST((parseLookupTarget(lookupTarget(Tag)) == Tag));
  for (const auto *const it :
       {"", "/v1/upstreams/", "/v1/upstreams/x", "/v1/upstreams/1x",
        "/v1/upstreams/4294967296", "/v1/upstreams/-1", "/v1/seed"})
    BOOST_TEST((parseLookupTarget(it) == UpstreamTag::None), it);
}

BOOST_AUTO_TEST_CASE(RecordTextRoundTrips) {
  auto r = Missing;
  r.Draining = true;
  r.ColdFor = milliseconds(700);
  r.WireId = 0xFEDCBA9876543210;
  const auto read = parseUpstreamRecord(formatUpstreamRecord(r));
  BOOST_TEST_REQUIRE(read.ok());
  BOOST_TEST((*read == r));
  BOOST_TEST(absl::IsInvalidArgument(parseUpstreamRecord("{}").status()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
