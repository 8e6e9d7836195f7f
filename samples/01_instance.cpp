// Runs three entry instances in two data centres in one process, with a manual
// clock and without sockets or threads. A caller opens one flow, the fabric
// delivers each packet to another instance, and all packets reach the same
// upstream.
#include "fakes/fleet.h"
#include "flow/flow_controller.h"

#include <iostream>
#include <set>

using namespace boragebridge;

/// Makes a configuration of two data centres and one service with three
/// upstreams.
static auto makeConfiguration(const Endpoint &service) -> Configuration {
  Configuration cfg;
  cfg.RevisionNumber = Revision{1};
  for (const auto *name : {"palermo", "catania"})
    cfg.DataCentres.push_back({idFromName<DataCentreId>(name), name, false});
  const auto id = idFromName<ServiceId>("booking");
  cfg.Services.push_back({id, "booking", "cenacolo", service});
  for (std::uint32_t n = 1; n <= 3; ++n) {
    Upstream u;
    u.Name = "host-" + std::to_string(n);
    u.Id = idFromName<UpstreamId>(u.Name);
    u.Service = id;
    u.DataCentre = cfg.DataCentres[n % 2].Id;
    u.Address = {0x0A010000 + n, 80};
    cfg.Upstreams.push_back(u);
  }
  return cfg;
}

/// Makes only the flow controller, since the sample itself publishes membership
/// and configuration. makeDefaultControllers() makes all controllers of the
/// product.
static auto makeControllers(const ControllerContext &ctx) -> ControllerList {
  ControllerList all;
  all.push_back(makeFlowController(ctx));
  return all;
}

auto main() -> int {
  const Endpoint service{0x0A0A0001, 443};
  fakes::FleetOptions options;
  options.Seed = 7;
  options.MakeControllers = makeControllers;
  fakes::Fleet fleet(options);
  fleet.addInstance("a", "palermo");
  fleet.addInstance("b", "palermo");
  fleet.addInstance("c", "catania");

  std::set<Endpoint> reached;
  fleet.OnUpstreamPacket = [&](Instance &from, const Endpoint &upstream,
                               const Packet &p) {
    if (p.Kind != PacketKind::FlowOpen && p.Kind != PacketKind::FlowData)
      return;
    std::cout << from.identity().Name << " -> " << toString(upstream) << '\n';
    reached.insert(upstream);
  };

  fleet.publishMembership();
  fleet.publishConfiguration(makeConfiguration(service));
  // The instances agree on a placement.
  fleet.run(std::chrono::seconds(5));

  const FlowKey flow{{0xC0A80001, 40000}, service, 6};
  fleet.fromFabric("a", {PacketKind::FlowOpen, flow, {}});
  for (const auto *name : {"b", "a", "b", "a"}) {
    fleet.run(std::chrono::milliseconds(100));
    fleet.fromFabric(name, {PacketKind::FlowData, flow, Bytes(10)});
  }
  fleet.run(std::chrono::milliseconds(100));
  std::cout << reached.size() << " upstream(s) reached\n";
  return reached.size() == 1 ? 0 : 1;
}
