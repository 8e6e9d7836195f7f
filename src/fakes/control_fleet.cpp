#include "fakes/control_fleet.h"

#include "membership/membership_controller.h"

namespace boragebridge::fakes {

static auto makeControlControllers(const ControllerContext &ctx)
    -> ControllerList {
  ControllerList all;
  auto platform = std::make_shared<BudgetedPlatform>(ctx);
  all.push_back(makeMembershipController(ctx, platform));
  all.push_back(std::make_unique<ConfigurationController>(ctx, platform));
  return all;
}

static auto makeOptions(ControlFleet &owner, std::uint64_t seed)
    -> FleetOptions {
  FleetOptions opt;
  opt.Seed = seed;
  opt.MakeControllers = makeControlControllers;
  opt.MakePlatform = [&owner](const InstanceIdentity &self) {
    return std::make_unique<FakePlatform>(owner.Store, owner.Nodes.Network,
                                          owner.Faults, self);
  };
  return opt;
}

ControlFleet::ControlFleet(std::uint64_t seed)
    : Nodes(makeOptions(*this, seed)), Store(Nodes.Time) {}

auto ControlFleet::addInstances(const std::string &prefix, std::size_t n,
                                const std::vector<std::string> &dcs) -> void {
  for (std::size_t k = 0; k < n; ++k)
    Nodes.addInstance(prefix + std::to_string(k), dcs[k % dcs.size()]);
}

auto ControlFleet::config(const std::string &name)
    -> ConfigurationController & {
  auto *it = Nodes.instance(name).findController("configuration");
  return dynamic_cast<ConfigurationController &>(*it);
}

auto ControlFleet::setPaused(const std::string &name, bool paused) -> void {
  const auto id = idFromName<InstanceId>(name);
  if (paused)
    Faults.Paused.insert(id);
  else
    Faults.Paused.erase(id);
  Nodes.setPaused(name, paused);
}

auto ControlFleet::submit(const std::string &name, ChangeRequest request)
    -> std::shared_ptr<const ChangeOutcome> {
  auto outcome = std::make_shared<ChangeOutcome>();
  config(name).submit(std::move(request),
                      [outcome](const auto &o) { *outcome = o; });
  return outcome;
}

auto ControlFleet::change(const std::string &name, ChangeRequest request,
                          Duration limit) -> ChangeOutcome {
  const auto end = Nodes.Time.now() + limit;
  const auto outcome = submit(name, std::move(request));
  while (outcome->State == ChangeState::Pending && Nodes.Time.now() < end)
    Nodes.run(Instance::TickInterval);
  return *outcome;
}

auto ControlFleet::lowestRevision() -> Revision {
  auto lowest = Revision{~std::uint64_t{0}};
  for (auto *it : Nodes.running())
    lowest = std::min(lowest, it->board().Configuration.read()->RevisionNumber);
  return lowest;
}

auto ControlFleet::timeToTakeEffect(Revision n, Duration limit) -> Duration {
  const auto begin = Nodes.Time.now();
  while (lowestRevision() < n && Nodes.Time.now() - begin < limit)
    Nodes.run(Instance::TickInterval);
  return Nodes.Time.now() - begin;
}

auto makeChange(const std::string &id, std::vector<Operation> operations)
    -> ChangeRequest {
  ChangeRequest r;
  r.Id = id;
  r.Actor = "operator";
  r.Operations = std::move(operations);
  return r;
}

auto makeImport(const std::string &id, const std::string &csv)
    -> ChangeRequest {
  auto r = makeChange(id, {});
  r.Import = parseSheet(csv).Rows;
  return r;
}

auto makeSheet(std::size_t upstreams, const std::vector<std::string> &dcs)
    -> std::string {
  constexpr std::uint32_t FirstAddress = 0x0A010001;
  constexpr std::uint16_t Port = 80;
  Sheet rows;
  SheetRow row;
  row.Kind = RowKind::DataCentre;
  for (const auto &it : dcs) {
    row.Name = it;
    rows.push_back(row);
  }
  const std::array<std::string, 2> services{"booking", "uploads"};
  for (std::uint32_t n = 0; n < services.size(); ++n) {
    row = {};
    row.Kind = RowKind::Service;
    row.Name = services[n];
    row.Team = services[n] + "-team";
    row.Address = {0x0A000A01 + n, Port};
    rows.push_back(row);
  }
  for (std::uint32_t n = 0; n < upstreams; ++n) {
    row = {};
    row.Name = "host-" + std::to_string(n);
    row.Service = services[n % services.size()];
    row.DataCentre = dcs[n % dcs.size()];
    row.Address = {FirstAddress + n, Port};
    rows.push_back(row);
  }
  return renderSheet(rows);
}

} // namespace boragebridge::fakes
