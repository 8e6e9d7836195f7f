// Tests of single components of the flow module.
#include "flow/address_quarantine.h"
#include "flow/flow_wire.h"
#include "flow/proposer.h"
#include "flow/record_stream.h"
#include "flow/stalled_flow_detector.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(FlowProposer)

struct ProposerFixture {
  ProposerFixture() {
    Config.DataCentres = {{Local, "near", false}, {Remote, "far", false}};
    for (std::uint64_t i = 1; i <= 4; ++i)
      add(i, Local);
    add(5, Remote);
  }
  auto add(std::uint64_t id, DataCentreId dc) -> void {
    Upstream u;
    u.Id = UpstreamId{id};
    u.Service = ServiceId{1};
    u.DataCentre = dc;
    Config.Upstreams.push_back(u);
  }
  auto wanted(std::span<const WeightedUpstream> inUse = {}) -> WantedPlacement {
    std::vector<const Upstream *> all;
    for (const auto &u : Config.Upstreams)
      all.push_back(&u);
    return wantedPlacement(Config, Health, Local, all, inUse,
                           [](const Upstream &) { return false; });
  }
  auto makeUnfit(std::uint64_t id) -> void {
    Health.Upstreams[UpstreamId{id}].Fitness = UpstreamFitness::Unfit;
  }
  static constexpr DataCentreId Local{1};
  static constexpr DataCentreId Remote{2};
  Configuration Config;
  HealthView Health;
};

BOOST_FIXTURE_TEST_CASE(LocalDataCentreIsPreferred, ProposerFixture) {
  BOOST_TEST(wanted().Upstreams.size() == 4U);
  Config.DataCentres[0].Withdrawn = true;
  const auto w = wanted();
  BOOST_REQUIRE(w.Upstreams.size() == 1U);
  BOOST_TEST(raw(w.Upstreams[0].Id) == 5U);
}

BOOST_FIXTURE_TEST_CASE(UnfitUpstreamsAreDroppedUnlessTooFewRemain,
                        ProposerFixture) {
  makeUnfit(1);
  BOOST_TEST(wanted().Upstreams.size() == 3U);
  makeUnfit(2);
  makeUnfit(3);
  BOOST_TEST(wanted().Upstreams.size() == 4U);
}

BOOST_FIXTURE_TEST_CASE(DrainingIsUrgentAndWeightChangesAreNot,
                        ProposerFixture) {
  const auto inUse = wanted().Upstreams;
  Health.Upstreams[UpstreamId{1}] = {UpstreamFitness::Ready, 1, 95};
  BOOST_TEST((wanted(inUse).Upstreams == inUse));
  Health.Upstreams[UpstreamId{1}].SpeedPercent = 50;
  BOOST_TEST(wanted(inUse).Upstreams.front().Weight == FullWeight / 2);
  BOOST_TEST(!wanted(inUse).Urgent);
  Config.Upstreams[0].Mode = UpstreamMode::Draining;
  BOOST_TEST(wanted(inUse).Urgent);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FlowWire)

BOOST_AUTO_TEST_CASE(TruncatedOrOtherBodyIsRejected) {
  StateMessage m;
  m.Services.push_back({ServiceId{1},
                        {{{Revision{1}, 1, Incarnation{1}},
                          1024,
                          {{UpstreamId{1}, 3}, {UpstreamId{2}, 4}}}},
                        {},
                        {}});
  const auto body = encode(m);
  StateMessage out;
  BOOST_REQUIRE(decode(body, out));
  BOOST_TEST((out.Services[0].Chain == m.Services[0].Chain));
  for (std::size_t n = 0; n < body.size(); ++n) {
    StateMessage cut;
    BOOST_TEST(!decode(ByteView(body).first(n), cut));
  }
  RelayMessage relay;
  BOOST_TEST(!decode(body, relay));
}

BOOST_AUTO_TEST_CASE(InvalidGenerationIsRejected) {
  auto isRejected = [](std::uint32_t slots, std::vector<WeightedUpstream> all) {
    StateMessage m;
    m.Services.push_back(
        {ServiceId{1},
         {{{Revision{1}, 1, Incarnation{1}}, slots, std::move(all)}},
         {},
         {}});
    StateMessage out;
    return !decode(encode(m), out);
  };
  BOOST_TEST(isRejected(1000, {{UpstreamId{1}, 1}}));
  BOOST_TEST(isRejected(1U << 20, {{UpstreamId{1}, 1}}));
  BOOST_TEST(isRejected(1024, {{UpstreamId{1}, 0}}));
  BOOST_TEST(isRejected(1024, {{UpstreamId{2}, 1}, {UpstreamId{2}, 1}}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FlowComponents)

// The quarantine ends only when its time is over and every participant has the
// revision that moved the address; either condition alone is not enough.
BOOST_AUTO_TEST_CASE(ReassignedAddressIsQuarantined) {
  const TimePoint start{std::chrono::hours(1)};
  AddressQuarantine q(seconds(5));
  Configuration cfg;
  cfg.RevisionNumber = Revision{1};
  cfg.Upstreams.resize(1);
  cfg.Upstreams[0].Service = ServiceId{1};
  cfg.Upstreams[0].Address = {1, 1};
  q.update(cfg, start);
  BOOST_TEST(!q.isQuarantined({1, 1}, Revision{1}, start));
  cfg.RevisionNumber = Revision{2};
  cfg.Upstreams[0].Service = ServiceId{2};
  q.update(cfg, start);
  BOOST_TEST(q.isQuarantined({1, 1}, Revision{2}, start + seconds(4)));
  BOOST_TEST(q.isQuarantined({1, 1}, Revision{1}, start + seconds(60)));
  BOOST_TEST(!q.isQuarantined({1, 1}, Revision{2}, start + seconds(5)));
}

BOOST_AUTO_TEST_CASE(FlowIsStalledOnlyWhenUpstreamAnswersOthers) {
  const FlowOptions opt;
  const Endpoint up{1, 1};
  auto stalledAfter = [&](bool othersAnswered, bool answered) {
    auto d = std::make_unique<StalledFlowDetector>(opt);
    TimePoint now{std::chrono::hours(1)};
    bool stalled = false;
    for (int i = 0; i < 20 && !stalled; ++i, now += seconds(1)) {
      if (othersAnswered)
        d->onAnswer(FlowHash{99}, up, now);
      stalled = d->onSent(FlowHash{7}, up, now);
      if (answered)
        d->onAnswer(FlowHash{7}, up, now);
    }
    return stalled;
  };
  BOOST_TEST(stalledAfter(true, false));
  BOOST_TEST(!stalledAfter(false, false));
  BOOST_TEST(!stalledAfter(true, true));
}

BOOST_AUTO_TEST_CASE(FullRecordTableRejectsUntilExpiry) {
  RecordTable t(2, seconds(10), seconds(1));
  const TimePoint start{std::chrono::hours(1)};
  FlowRecord r;
  r.LastActive = start;
  BOOST_TEST(t.put(FlowHash{1}, r));
  r.Closing = true;
  BOOST_TEST(t.put(FlowHash{2}, r));
  BOOST_TEST(!t.put(FlowHash{3}, r));
  int kept = 0;
  while (!t.sweep(1000, start + seconds(2),
                  [&](FlowHash, const FlowRecord &) { ++kept; }))
    kept = 0;
  BOOST_TEST(kept == 1);
  BOOST_TEST(t.put(FlowHash{3}, r));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
