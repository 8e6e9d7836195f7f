/// \file
/// A small edge on a manual clock: directory, estimates, picker and forwarder
/// with one route, and helpers that make packets and records.
#ifndef BORAGEBRIDGE_TEST_EDGE_EDGE_FIXTURE_H
#define BORAGEBRIDGE_TEST_EDGE_EDGE_FIXTURE_H

#include "boragebridge/clock.h"
#include "edge/forwarder.h"
#include "edge/picker.h"

namespace boragebridge {

struct EdgeFixture {
  static constexpr Endpoint RouteAddress{0xC6120001, 443};
  static constexpr std::uint32_t FirstSequence = 1000;

  const ServiceId Service = idFromName<ServiceId>("booking");
  const DataCentreId LocalDataCentre = idFromName<DataCentreId>("own");
  const DataCentreId RemoteDataCentre = idFromName<DataCentreId>("other");

  ManualClock Time;
  SeededRandom Random{7};
  UpstreamDirectory Directory;
  UpstreamEstimates Estimates;
  ColdStartQuota Quota{"a", {.Factor = 1.5, .Slack = 5}};
  Picker Policy{Directory,
                Estimates,
                Quota,
                Random,
                {.LocalDataCentre = LocalDataCentre}};
  Forwarder PacketForwarder{Directory, Estimates, Policy};
  std::uint16_t NextPort = 20'000;

  auto now() const -> TimePoint { return Time.now(); }
  auto advance(Duration d) -> void {
    // Advances in steps of the process's tick.
    constexpr Duration Step = std::chrono::milliseconds(20);
    for (; d > Duration::zero(); d -= Step) {
      Time.advance(std::min(d, Step));
      PacketForwarder.tick(now());
    }
  }

  auto record(const std::string &name, std::uint16_t port) const
      -> UpstreamRecord {
    UpstreamRecord r;
    r.Name = name;
    r.WireId = port;
    r.StartedAt = std::chrono::seconds(1000);
    r.Service = Service;
    r.DataCentre = LocalDataCentre;
    r.Address = {0x0A800001, port};
    r.Slots = 2;
    return r;
  }
  auto configuration(std::uint64_t version = 1) const -> EdgeConfiguration {
    EdgeConfiguration c;
    c.Version = version;
    c.Routes = {{"r", RouteAddress, {{Service, 1}}}};
    c.Services = {{Service, 0}};
    return c;
  }
  auto configure(std::uint64_t version = 1) -> void {
    BOOST_TEST_REQUIRE(
        Directory.setConfiguration(configuration(version), now()));
  }
  auto start(const std::vector<UpstreamRecord> &all) -> void {
    configure();
    Directory.replaceUpstreams(all, now());
    Quota.setMembers({"a"});
  }

  auto opening(std::uint16_t port, std::uint32_t retransmissions = 0) const
      -> FlowPacket {
    FlowPacket p;
    p.Flow = {{0x64400007, port}, RouteAddress};
    p.Opens = true;
    p.Sequence = FirstSequence;
    p.Acknowledged = retransmissions;
    return p;
  }
  auto data(std::uint16_t port, UpstreamTag tag, std::uint32_t offset = 0,
            std::uint32_t acknowledged = 500) const -> FlowPacket {
    FlowPacket p;
    p.Flow = {{0x64400007, port}, RouteAddress};
    p.Acknowledges = true;
    p.Sequence = FirstSequence + 1 + offset;
    p.Acknowledged = acknowledged;
    p.Tag = tag;
    p.Length = 100;
    return p;
  }
  /// Opens a flow that its upstream answers; returns its port.
  auto openAnswered() -> std::uint16_t {
    const auto port = NextPort++;
    const auto d = PacketForwarder.decide(opening(port), now());
    BOOST_TEST_REQUIRE((d.Action == EdgeAction::Forward));
    Time.advance(std::chrono::milliseconds(5));
    PacketForwarder.decide(data(port, d.Upstream->Tag), now());
    return port;
  }
  /// Name of the upstream that a new flow goes to; empty if it is reset.
  auto openedTo() -> std::string {
    const auto d = PacketForwarder.decide(opening(NextPort++), now());
    return d.Upstream == nullptr ? "" : d.Upstream->Record.Name;
  }
};

} // namespace boragebridge

#endif
