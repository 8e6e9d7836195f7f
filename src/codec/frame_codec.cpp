#include "codec/frame_codec.h"

#include "codec/frame_generated.h"

namespace boragebridge {

auto encodeFrame(const PeerFrame &f) -> absl::StatusOr<Bytes> {
  constexpr std::size_t TableBytes = 96;
  if (f.Body.size() + TableBytes > MaxFrameBytes)
    return absl::InvalidArgumentError("frame body exceeds the size limit");
  flatbuffers::FlatBufferBuilder builder(f.Body.size() + TableBytes);
  auto body = builder.CreateVector(
      reinterpret_cast<const std::uint8_t *>(f.Body.data()), f.Body.size());
  builder.FinishSizePrefixed(wire::CreateFrame(
      builder, raw(f.Sender), static_cast<std::uint64_t>(f.SenderIncarnation),
      f.SenderAddress.Address, f.SenderAddress.Port, f.Kind, body));
  const auto *begin =
      reinterpret_cast<const std::byte *>(builder.GetBufferPointer());
  return Bytes(begin, begin + builder.GetSize());
}

static auto readLength(ByteView b) -> std::size_t {
  std::size_t n = 0;
  for (std::size_t i = 0; i < FrameLengthBytes; ++i)
    n |= std::to_integer<std::size_t>(b[i]) << (8 * i);
  return n;
}

/// Decodes one length field and its envelope. Precondition: \p b has exactly
/// the bytes that the length field announces.
static auto decodeEnvelope(ByteView b) -> absl::StatusOr<PeerFrame> {
  // FlatBuffers needs aligned data, and frames start at any byte of the stream.
  Bytes aligned(b.begin(), b.end());
  const auto *data = reinterpret_cast<const std::uint8_t *>(aligned.data());
  flatbuffers::Verifier verifier(data, aligned.size());
  if (!wire::VerifySizePrefixedFrameBuffer(verifier))
    return absl::InvalidArgumentError(
        "frame is not a valid FlatBuffers envelope");
  const auto *table = wire::GetSizePrefixedFrame(data);
  PeerFrame f;
  f.Sender = InstanceId{table->sender()};
  f.SenderIncarnation = Incarnation{table->sender_incarnation()};
  f.SenderAddress = {table->sender_address(), table->sender_port()};
  f.Kind = table->kind();
  if (const auto *body = table->body()) {
    const auto *begin = reinterpret_cast<const std::byte *>(body->data());
    f.Body.assign(begin, begin + body->size());
  }
  return f;
}

auto FrameDecoder::append(ByteView b) -> void {
  Buffer.erase(Buffer.begin(),
               Buffer.begin() + static_cast<std::ptrdiff_t>(Consumed));
  Consumed = 0;
  if (Failure.ok())
    Buffer.insert(Buffer.end(), b.begin(), b.end());
}

auto FrameDecoder::fail(const std::string &why) -> absl::Status {
  Failure = absl::InvalidArgumentError(why);
  Buffer.clear();
  Consumed = 0;
  return Failure;
}

auto FrameDecoder::next() -> absl::StatusOr<std::optional<PeerFrame>> {
  if (!Failure.ok())
    return Failure;
  const auto rest = ByteView(Buffer).subspan(Consumed);
  if (rest.size() < FrameLengthBytes)
    return std::nullopt;
  const auto length = readLength(rest);
  if (length == 0 || length > MaxFrameBytes)
    return fail("frame length out of range");
  if (rest.size() < FrameLengthBytes + length)
    return std::nullopt;
  auto f = decodeEnvelope(rest.first(FrameLengthBytes + length));
  if (!f.ok())
    return fail(std::string(f.status().message()));
  Consumed += FrameLengthBytes + length;
  return std::optional<PeerFrame>(*std::move(f));
}

} // namespace boragebridge
