#include "boragebridge/instance.h"

#include "fakes/fake_network.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

namespace boragebridge {

namespace {

/// Accepts FlowData packets and frames of its family with a non-empty body.
class EchoController final : public Controller {
public:
  auto name() const -> std::string_view override { return "echo"; }
  auto family() const -> MessageFamily override { return MessageFamily::Flow; }
  auto tick(TimePoint) -> void override { ++Ticks; }
  auto onPeerFrame(const PeerFrame &f) -> bool override {
    return !f.Body.empty();
  }
  auto onPacket(PacketOrigin, const Endpoint &, const Packet &p)
      -> bool override {
    return p.Kind == PacketKind::FlowData;
  }
  auto dump() const -> boost::json::object override {
    return {{"ticks", Ticks}};
  }

private:
  std::uint64_t Ticks = 0;
};

class NullSink final : public PacketSink {
public:
  auto sendToUpstream(const Endpoint &, const Packet &) -> void override {}
  auto sendToCaller(const Packet &) -> void override {}
};

class NullPlatform final : public PlatformClient {
public:
  auto get(std::string, Callback<StoredObject>) -> void override {}
  auto list(std::string, Callback<ObjectList>) -> void override {}
  auto put(std::string, std::string, ObjectVersion, Callback<ObjectVersion>)
      -> void override {}
  auto remove(std::string, ObjectVersion, Callback<ObjectVersion>)
      -> void override {}
  auto watch(std::string, ObjectVersion, Duration, Callback<ObjectList>)
      -> void override {}
};

struct InstanceFixture {
  ManualClock Time;
  SeededRandom Random{1};
  NullSink Packets;
  fakes::FakeNetwork Network{Time, 1};
  std::unique_ptr<PeerLink> Link = Network.attach(
      {1, 1}, InstanceId{1}, Incarnation{1}, DataCentreId{1}, nullptr);
  NullPlatform Platform;
  NullEventLog Log;
  InstanceIdentity Self{
      "a", InstanceId{1}, Incarnation{1}, DataCentreId{1}, {1, 1}, {}};
  Instance Subject{Self,
                   {Time, Random, Packets, *Link, Platform, Log},
                   [](const ControllerContext &) {
                     ControllerList all;
                     all.push_back(std::make_unique<EchoController>());
                     return all;
                   }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(InstanceCore, InstanceFixture)

BOOST_AUTO_TEST_CASE(UnhandledPacketIsCounted) {
  Subject.onPacket(PacketOrigin::Fabric, {}, {PacketKind::FlowData, {}, {}});
  BOOST_TEST(Subject.metrics().counterValue("packets_unhandled_total") == 0);
  Subject.onPacket(PacketOrigin::Fabric, {}, {PacketKind::Report, {}, {}});
  BOOST_TEST(Subject.metrics().counterValue("packets_unhandled_total") == 1);
}

BOOST_AUTO_TEST_CASE(MalformedOrUnknownFramesAreRefusedAndCounted) {
  const auto kind = messageKind(MessageFamily::Flow, 1);
  BOOST_TEST(Subject.onPeerFrame({{}, {}, {}, kind, Bytes(1)}));
  BOOST_TEST(!Subject.onPeerFrame({{}, {}, {}, kind, {}}));
  BOOST_TEST(!Subject.onPeerFrame({{}, {}, {}, 0xFF01, Bytes(1)}));
  BOOST_TEST(Subject.metrics().counterValue("peer_frames_bad_total") == 2);
}

BOOST_AUTO_TEST_CASE(StateDumpIncludesEveryController) {
  Subject.tick();
  auto root = boost::json::parse(Subject.dumpState()).as_object();
  BOOST_TEST(root["instance"].as_string() == "a");
  BOOST_TEST(root["echo"].as_object()["ticks"].as_int64() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
