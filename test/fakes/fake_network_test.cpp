#include "fakes/fake_network.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge::fakes {

namespace {

struct NetworkFixture {
  ManualClock Time;
  FakeNetwork Network{Time, 1};
  int Received = 0;
  std::unique_ptr<PeerLink> A = attach({1, 1}, DataCentreId{1});
  std::unique_ptr<PeerLink> B = attach({2, 1}, DataCentreId{2});

  auto attach(const Endpoint &e, DataCentreId dc) -> std::unique_ptr<PeerLink> {
    return Network.attach(e, InstanceId{e.Address}, Incarnation{1}, dc,
                          [this](const PeerFrame &) {
                            ++Received;
                            return true;
                          });
  }
  auto run(Duration d) -> void {
    Time.advance(d);
    Network.deliver();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FakeNetworkLinks, NetworkFixture)

BOOST_AUTO_TEST_CASE(FrameArrivesAfterItsDelay) {
  A->send({2, 1}, 1, Bytes(4));
  run(std::chrono::microseconds(100));
  BOOST_TEST(Received == 0);
  run(std::chrono::milliseconds(2));
  BOOST_TEST(Received == 1);
  BOOST_TEST(Network.bytesSent({1, 1}) == 4 + FakeNetwork::FrameOverhead);
}

BOOST_AUTO_TEST_CASE(CutDropsFramesUntilHealed) {
  Network.setCut(DataCentreId{1}, DataCentreId{2}, true);
  A->send({2, 1}, 1, {});
  run(std::chrono::milliseconds(2));
  BOOST_TEST(Received == 0);
  Network.setCut(DataCentreId{1}, DataCentreId{2}, false);
  A->send({2, 1}, 1, {});
  run(std::chrono::milliseconds(2));
  BOOST_TEST(Received == 1);
}

BOOST_AUTO_TEST_CASE(PausedInstanceReceivesFramesOnResume) {
  Network.setPaused({2, 1}, true);
  A->send({2, 1}, 1, {});
  run(std::chrono::milliseconds(2));
  BOOST_TEST(Received == 0);
  Network.setPaused({2, 1}, false);
  BOOST_TEST(Received == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge::fakes
