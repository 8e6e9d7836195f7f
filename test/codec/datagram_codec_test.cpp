#include "codec/datagram_codec.h"

#include "boragebridge/random.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

namespace {

auto makePacket(std::size_t payload) -> Packet {
  Packet p;
  p.Kind = PacketKind::Execute;
  p.Flow = {{0x0A000001, 4000}, {0x0A640001, 443}, 17};
  p.Payload.assign(payload, std::byte{7});
  return p;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DatagramCodec)

BOOST_AUTO_TEST_CASE(RoundTripKeepsEveryField) {
  auto p = makePacket(300);
  auto out = decodeDatagram(encodeDatagram(p).value());
  BOOST_REQUIRE(out.ok());
  BOOST_TEST((out->Kind == p.Kind));
  BOOST_TEST((out->Flow == p.Flow));
  BOOST_TEST((out->Payload == p.Payload));
}

BOOST_AUTO_TEST_CASE(MaxPayloadFitsAndLongerIsNotEncoded) {
  auto longest = encodeDatagram(makePacket(MaxPayloadBytes));
  BOOST_REQUIRE(longest.ok());
  BOOST_TEST(longest->size() <= MaxDatagramBytes);
  BOOST_TEST(!encodeDatagram(makePacket(MaxPayloadBytes + 1)).ok());
}

BOOST_AUTO_TEST_CASE(UnknownKindIsRefused) {
  auto p = makePacket(1);
  p.Kind = PacketKind{99};
  BOOST_TEST(!decodeDatagram(encodeDatagram(p).value()).ok());
}

BOOST_AUTO_TEST_CASE(TruncatedDatagramIsRefused) {
  const auto encoded = encodeDatagram(makePacket(64)).value();
  for (std::size_t n = 0; n + 1 < encoded.size(); ++n)
    if (auto p = decodeDatagram(ByteView(encoded).first(n)); p.ok())
      BOOST_TEST(p->Payload.size() <= n);
  BOOST_TEST(!decodeDatagram({}).ok());
  BOOST_TEST(!decodeDatagram(ByteView(encoded).first(encoded.size() / 2)).ok());
}

// Guards against reading outside a corrupted datagram; the sanitizers report
// such a read.
BOOST_AUTO_TEST_CASE(MutatedDatagramsAreRefusedOrBounded) {
  constexpr int Rounds = 20000;
  SeededRandom random(11);
  const auto encoded = encodeDatagram(makePacket(80)).value();
  int refused = 0;
  for (int n = 0; n < Rounds; ++n) {
    auto b = encoded;
    for (auto changes = 1 + random.below(8); changes > 0; --changes)
      b[random.below(b.size())] = static_cast<std::byte>(random.next());
    b.resize(b.size() - random.below(4));
    auto p = decodeDatagram(b);
    refused += p.ok() ? 0 : 1;
    if (p.ok())
      BOOST_TEST(p->Payload.size() <= b.size());
  }
  BOOST_TEST(refused > 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
