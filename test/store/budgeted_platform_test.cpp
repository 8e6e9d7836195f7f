#include "store/budgeted_platform.h"

#include "scripted_store.h"

#include "boragebridge/blackboard.h"
#include "boragebridge/metrics.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class NullSink final : public PacketSink {
public:
  auto sendToUpstream(const Endpoint &, const Packet &) -> void override {}
  auto sendToCaller(const Packet &) -> void override {}
};

class NullLink final : public PeerLink {
public:
  auto send(const Endpoint &, std::uint16_t, Bytes, Priority) -> void override {
  }
};

struct BudgetFixture {
  InstanceIdentity Self;
  ManualClock Time;
  SeededRandom Random{1};
  NullSink Packets;
  NullLink Peers;
  ScriptedStore Store;
  NullEventLog Log;
  MetricRegistry Metrics;
  Blackboard Board;
  ControllerContext Ctx{Self,  Time, Random,  Packets, Peers,
                        Store, Log,  Metrics, Board};
  BudgetedPlatform Platform{Ctx};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreBudgetedPlatform, BudgetFixture)

// A store that cuts off each watch at once would be called without pause.
BOOST_AUTO_TEST_CASE(WatchThatIsCutOffIsRepeatedAfterAPause) {
  absl::Status status;
  Platform.watch("k", 1, seconds(1),
                 [&](const auto &r) { status = r.status(); });
  Store.answer("k", absl::AbortedError("cut off"));
  BOOST_TEST(absl::IsDeadlineExceeded(status));
  BOOST_TEST(!Platform.mayCallInBackground());
  Time.advance(milliseconds(500));
  BOOST_TEST(Platform.mayCallInBackground());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
