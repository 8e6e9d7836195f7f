// Passes an arbitrary peer frame and arbitrary packets to an instance with all
// controllers. The first two bytes of the input select the kinds of message and
// packet; the rest is the body.
#include "fuzz_target.h"

#include "fakes/fleet.h"

namespace boragebridge::fuzz {

namespace {

auto sampleConfiguration() -> Configuration {
  Configuration c;
  c.RevisionNumber = Revision{1};
  c.DataCentres = {{DataCentreId{1}, "one", false}};
  c.Services = {{ServiceId{1}, "s", "t", {1, 80}}};
  for (std::uint32_t n = 1; n <= 3; ++n)
    c.Upstreams.push_back({UpstreamId{n},
                           "u" + std::to_string(n),
                           ServiceId{1},
                           DataCentreId{1},
                           {n, 9000}});
  return c;
}

auto packetKind(std::byte b) -> PacketKind {
  return static_cast<PacketKind>(static_cast<unsigned>(b) & 0x1FU);
}

} // namespace

auto testOneInput(ByteView data) -> void {
  constexpr std::size_t HeaderSize = 2;
  if (data.size() < HeaderSize)
    return;
  fakes::Fleet fleet({.Seed = 1});
  auto &instance = fleet.addInstance("a", "one");
  fleet.publishConfiguration(sampleConfiguration());
  fleet.publishMembership();
  fleet.run(Instance::TickInterval);
  const auto body = data.subspan(HeaderSize);
  const Bytes copy(body.begin(), body.end());
  const Endpoint peer{2, 7000};
  const auto kind = messageKind(
      static_cast<MessageFamily>(static_cast<unsigned>(data[0]) % 6U),
      static_cast<std::uint8_t>(data[1]));
  static_cast<void>(
      instance.onPeerFrame({InstanceId{2}, Incarnation{2}, peer, kind, copy}));
  const FlowKey flow{{9, 9}, {1, 80}, 6};
  instance.onPacket(PacketOrigin::Fabric, {},
                    {packetKind(data[0]), flow, copy});
  instance.onPacket(PacketOrigin::Upstream, {1, 9000},
                    {packetKind(data[0]), flow, copy});
  fleet.run(Instance::TickInterval);
  static_cast<void>(instance.dumpState());
}

} // namespace boragebridge::fuzz
