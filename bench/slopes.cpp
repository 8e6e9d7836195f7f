// boragebench slopes: measures how the heap and the processor time of one
// instance grow with services, upstreams, members and flows. docs/CAPACITY.md
// uses its figures.
#include "experiments.h"

#include "fakes/fleet.h"
#include "flow/flow_controller.h"
#include "health/health_controller.h"
#include "request/request_controller.h"

#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <malloc.h>

#include <ctime>
#include <iomanip>
#include <iostream>

namespace boragebridge::bench {

namespace {

using std::chrono::seconds;

/// The configuration and the flows of the measured instance.
struct InstanceLoad {
  std::uint32_t Services = 10;
  std::uint32_t UpstreamsPerService = 10;
  std::uint32_t Members = 8;
  std::uint32_t Flows = 0;
};

/// The heap and the processor time that an instance needs for an InstanceLoad.
struct Cost {
  double HeapBytes = 0;
  /// Processor time to apply the configuration and build all tables.
  Duration Build{};
  /// Processor time per second without packets.
  Duration IdleSecond{};
};

auto heapBytes() -> double {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

auto processorTime() -> Duration {
  std::timespec t{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec);
}

auto makeConfiguration(const InstanceLoad &load) -> Configuration {
  constexpr std::uint32_t ServiceNet = 0x0B000000;
  constexpr std::uint32_t UpstreamNet = 0x0C000000;
  Configuration c;
  c.RevisionNumber = Revision{1};
  c.DataCentres = {{idFromName<DataCentreId>("one"), "one", false}};
  for (std::uint32_t s = 0; s < load.Services; ++s) {
    const auto name = "service-" + std::to_string(s);
    const auto id = idFromName<ServiceId>(name);
    c.Services.push_back({id, name, "team", {ServiceNet + s, 80}});
    for (std::uint32_t n = 0; n < load.UpstreamsPerService; ++n) {
      const auto host = name + "-" + std::to_string(n);
      const auto address = UpstreamNet + s * load.UpstreamsPerService + n;
      c.Upstreams.push_back({idFromName<UpstreamId>(host),
                             host,
                             id,
                             c.DataCentres[0].Id,
                             {address, 9000}});
    }
  }
  return c;
}

auto makeMembership(const InstanceIdentity &self, std::uint32_t n)
    -> MembershipView {
  constexpr std::uint32_t MemberNet = 0x0D000000;
  MembershipView view;
  view.Members.push_back({self.Id, self.IncarnationNumber, self.DataCentre,
                          self.PeerAddress, MemberState::Alive});
  for (std::uint32_t i = 1; i < n; ++i)
    view.Members.push_back(
        {idFromName<InstanceId>("member-" + std::to_string(i)),
         Incarnation{i},
         self.DataCentre,
         {MemberNet + i, 7000},
         MemberState::Alive});
  std::sort(view.Members.begin(), view.Members.end(),
            [](const Member &a, const Member &b) { return a.Id < b.Id; });
  return view;
}

/// Makes the controllers whose state grows with the load. Membership and
/// configuration have experiments of their own.
auto makeDataPathControllers(const ControllerContext &ctx) -> ControllerList {
  auto health = makeHealthController(ctx);
  auto *observer = health.get();
  ControllerList all;
  all.push_back(std::move(health));
  all.push_back(makeFlowController(ctx));
  all.push_back(makeRequestController(ctx, observer));
  return all;
}

auto measure(const InstanceLoad &load) -> Cost {
  constexpr std::uint32_t CallerNet = 0x0E000000;
  constexpr int IdleSeconds = 5;
  fakes::FleetOptions opt;
  opt.MakeControllers = makeDataPathControllers;
  fakes::Fleet fleet(opt);
  auto &instance = fleet.addInstance("self", "one");
  auto cfg = makeConfiguration(load);
  auto view = makeMembership(instance.identity(), load.Members);
  const auto heapBefore = heapBytes();
  Cost c;
  auto start = processorTime();
  instance.board().Membership.publish(std::move(view));
  instance.board().Configuration.publish(std::move(cfg));
  instance.board().Readiness.publish({true, true});
  fleet.run(Instance::TickInterval);
  c.Build = processorTime() - start;
  fleet.run(seconds(IdleSeconds));
  for (std::uint32_t n = 0; n < load.Flows; ++n) {
    const FlowKey flow{{CallerNet + n, 1000}, {0x0B000000, 80}, 6};
    instance.onPacket(PacketOrigin::Fabric, {},
                      {PacketKind::FlowOpen, flow, {}});
  }
  fleet.run(seconds(1));
  c.HeapBytes = heapBytes() - heapBefore;
  start = processorTime();
  fleet.run(seconds(IdleSeconds));
  c.IdleSecond = (processorTime() - start) / IdleSeconds;
  return c;
}

auto toMicroseconds(Duration d) -> double {
  return std::chrono::duration<double, std::micro>(d).count();
}

/// Measures \p small and \p large, prints both results, and adds to \p out the
/// cost per unit, where \p large has \p units more units than \p small.
auto addSlope(boost::json::object &out, const std::string &unit,
              const InstanceLoad &small, const InstanceLoad &large,
              double units) -> void {
  const auto a = measure(small);
  const auto b = measure(large);
  for (const auto &c : {a, b})
    std::cout << std::left << std::setw(10) << unit << " heap " << c.HeapBytes
              << " B, build " << toMicroseconds(c.Build) << " us, idle second "
              << toMicroseconds(c.IdleSecond) << " us\n";
  out[unit] = boost::json::object{
      {"heap_bytes", (b.HeapBytes - a.HeapBytes) / units},
      {"build_us", toMicroseconds(b.Build - a.Build) / units},
      {"idle_us_per_second",
       toMicroseconds(b.IdleSecond - a.IdleSecond) / units}};
}

auto measureAll() -> void {
  boost::json::object out;
  addSlope(out, "service", {.Services = 100, .UpstreamsPerService = 1},
           {.Services = 2100, .UpstreamsPerService = 1}, 2000);
  addSlope(out, "upstream", {.Services = 100, .UpstreamsPerService = 2},
           {.Services = 100, .UpstreamsPerService = 22}, 2000);
  addSlope(out, "member", {.Members = 8}, {.Members = 540}, 532);
  addSlope(out, "settled_flow", {}, {.Flows = 100000}, 100000);
  std::cout << boost::json::serialize(out) << '\n';
}

} // namespace

auto runSlopes(int argc, char **argv) -> int {
  cxxopts::Options spec("boragebench slopes",
                        "Heap and processor time of one instance by services, "
                        "upstreams, members and flows.");
  spec.add_options()("h,help", "print this");
  constexpr int UsageError = 2;
  try {
    if (spec.parse(argc, argv).count("help") != 0) {
      std::cout << spec.help() << '\n';
      return 0;
    }
  } catch (const cxxopts::exceptions::exception &e) {
    std::cerr << "boragebench slopes: " << e.what() << '\n';
    return UsageError;
  }
  measureAll();
  return 0;
}

} // namespace boragebridge::bench
