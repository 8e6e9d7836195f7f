#include "codec/frame_codec.h"

#include "boragebridge/random.h"

#include <boost/test/unit_test.hpp>

namespace boragebridge {

namespace {

auto makeFrame(std::size_t body) -> PeerFrame {
  return {InstanceId{1},
          Incarnation{2},
          {0x7F000001, 7000},
          messageKind(MessageFamily::Flow, 3),
          Bytes(body, std::byte{5})};
}

} // namespace

BOOST_AUTO_TEST_SUITE(FrameCodec)

BOOST_AUTO_TEST_CASE(DecodesFramesSplitAtAnyByte) {
  Bytes stream;
  for (std::size_t n = 0; n < 20; ++n) {
    auto f = encodeFrame(makeFrame(n * 37)).value();
    stream.insert(stream.end(), f.begin(), f.end());
  }
  SeededRandom random(3);
  FrameDecoder decoder;
  std::size_t decoded = 0;
  for (std::size_t at = 0; at < stream.size();) {
    auto n = std::min<std::size_t>(1 + random.below(90), stream.size() - at);
    decoder.append(ByteView(stream).subspan(at, n));
    at += n;
    for (auto f = decoder.next().value(); f; f = decoder.next().value()) {
      BOOST_TEST(f->Body.size() == decoded * 37);
      BOOST_TEST((f->SenderAddress == Endpoint{0x7F000001, 7000}));
      ++decoded;
    }
  }
  BOOST_TEST(decoded == 20U);
  BOOST_TEST(!decoder.isInsideFrame());
}

BOOST_AUTO_TEST_CASE(OverlongLengthIsRefusedBeforeTheBody) {
  FrameDecoder decoder;
  const Bytes length{std::byte{1}, std::byte{0}, std::byte{0x10}, std::byte{0}};
  decoder.append(length);
  BOOST_TEST(!decoder.next().ok());
  decoder.append(encodeFrame(makeFrame(1)).value());
  BOOST_TEST(!decoder.next().ok());
}

BOOST_AUTO_TEST_CASE(OverlongBodyIsNotEncoded) {
  BOOST_TEST(!encodeFrame(makeFrame(MaxFrameBytes)).ok());
  BOOST_TEST(encodeFrame(makeFrame(MaxFrameBytes - 200)).ok());
}

// Guards against reading outside a corrupted frame; the sanitizers report such
// a read.
BOOST_AUTO_TEST_CASE(MutatedStreamsAreRefusedOrBounded) {
  constexpr int Rounds = 20000;
  SeededRandom random(12);
  const auto encoded = encodeFrame(makeFrame(120)).value();
  int refused = 0;
  for (int n = 0; n < Rounds; ++n) {
    auto b = encoded;
    for (auto changes = 1 + random.below(6); changes > 0; --changes)
      b[random.below(b.size())] = static_cast<std::byte>(random.next());
    FrameDecoder decoder;
    decoder.append(b);
    auto f = decoder.next();
    refused += f.ok() ? 0 : 1;
    if (f.ok() && *f)
      BOOST_TEST((*f)->Body.size() <= b.size());
  }
  BOOST_TEST(refused > 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
