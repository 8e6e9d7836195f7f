#include "packet_codec.h"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace boragebridge::users {

namespace {

constexpr std::size_t Headroom = 8;

/// The documented example of an opening packet, with headroom in front.
struct PacketCodecFixture {
  PacketCodec Codec{8172};
  std::vector<std::byte> Buffer{Headroom};

  PacketCodecFixture() {
    for (int it :
         {0x80, 0x00, 0x64, 0x40, 0x00, 0x07, 0x9c, 0x41, 0x01, 0xbb, 0xc6,
          0x12, 0x00, 0x01, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00,
          0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5})
      Buffer.push_back(static_cast<std::byte>(it));
  }
  auto packet() -> std::span<std::byte> {
    return std::span(Buffer).subspan(Headroom);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UsersPacketCodec, PacketCodecFixture)

BOOST_AUTO_TEST_CASE(OpeningPacketIsDecoded) {
  FlowPacket p;
  BOOST_TEST_REQUIRE(Codec.decode(packet(), p));
  BOOST_TEST(p.Opens);
  BOOST_TEST(toString(p.Flow.Caller) == "100.64.0.7:40001");
  BOOST_TEST(toString(p.Flow.Service) == "198.18.0.1:443");
  BOOST_TEST(p.Sequence == 0x11223344U);
  BOOST_TEST((p.Tag == UpstreamTag::None));
}

BOOST_AUTO_TEST_CASE(TagAndWireIdAreWritten) {
  const auto out =
      Codec.encapsulate(packet(), UpstreamTag{0x01020304}, 0x7f3a91c2);
  BOOST_TEST(out.size() == 40U);
  BOOST_TEST(std::to_integer<int>(out[4]) == 0x7f);
  BOOST_TEST(std::to_integer<int>(out[7]) == 0xc2);
  FlowPacket p;
  BOOST_TEST_REQUIRE(Codec.decode(out.subspan(8), p));
  BOOST_TEST((p.Tag == UpstreamTag{0x01020304}));
}

BOOST_AUTO_TEST_CASE(ResetMatchesTheDocumentedExample) {
  FlowPacket p;
  BOOST_TEST_REQUIRE(Codec.decode(packet(), p));
  PacketFormat::ResetBuffer buf;
  const auto out = Codec.makeReset(p, buf);
  std::vector<int> bytes;
  for (const auto it : out.first(16))
    bytes.push_back(std::to_integer<int>(it));
  const std::vector<int> expected{0x01, 0x00, 0xc6, 0x12, 0x00, 0x01,
                                  0x01, 0xbb, 0x9c, 0x41, 0x64, 0x40,
                                  0x00, 0x07, 0x00, 0x00};
  BOOST_TEST(bytes == expected, boost::test_tools::per_element());
  BOOST_TEST(out.size() == 32U);
}

BOOST_AUTO_TEST_CASE(CallerAddressUsesTheCallerPort) {
  BOOST_TEST(toString(Codec.callerAddress({0x64400007, 40001})) ==
             "100.64.0.7:8172");
}

BOOST_AUTO_TEST_CASE(PacketsOfWrongLengthAreRejected) {
  FlowPacket p;
  for (std::size_t n = 0; n < 32; ++n)
    BOOST_TEST(!Codec.decode(packet().first(n), p));
  Buffer.push_back(std::byte{1});
  BOOST_TEST(!Codec.decode(packet(), p));
}

BOOST_AUTO_TEST_CASE(UpstreamAnswerIsNotDecodedAsCallerPacket) {
  packet()[0] = std::byte{128 | 2};
  FlowPacket p;
  BOOST_TEST(!Codec.decode(packet(), p));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge::users
