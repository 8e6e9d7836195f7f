/// \file
/// A simulation of the whole system on a manual clock: instances with the
/// production controllers, the platform's store, upstream models, callers of
/// requests and of flows, and an operator. Scenarios and the chaos experiment
/// run on it.
#ifndef BORAGEBRIDGE_SCENARIO_SYSTEM_WORLD_H
#define BORAGEBRIDGE_SCENARIO_SYSTEM_WORLD_H

#include "config/change.h"
#include "fakes/fake_platform.h"
#include "fakes/request_world.h"

namespace boragebridge::scenario {

/// The initial components of a world. The counts are per data centre, except
/// Callers.
struct Topology {
  std::uint64_t Seed = 1;
  std::vector<std::string> DataCentres{"palermo", "catania"};
  std::size_t Instances = 3;
  std::size_t BookingHosts = 3;
  std::size_t UploadHosts = 1;
  std::size_t Callers = 8;
};

/// The load that callers generate.
struct Load {
  double RequestsPerSecond = 0;
  double FlowsPerSecond = 0;
  /// Maximum number of flows that are open at the same time.
  std::size_t MaxFlows = 200;
};

/// Counts of flows and changes. fakes::WorldReport has those of requests.
struct WorldCounts {
  std::uint64_t FlowsEstablished = 0;
  std::uint64_t FlowsBroken = 0;
  /// Flows that broke for an allowed reason: their upstream ended or crashed,
  /// or the data centre of their upstream was withdrawn.
  std::uint64_t FlowsExcused = 0;
  std::uint64_t ChangesAccepted = 0;
  std::uint64_t ChangesRefused = 0;
  /// Pairs of an accepted change and an instance at which the change was not in
  /// force within EffectTimeLimit.
  std::uint64_t ChangesLate = 0;
  /// Number of times that an instance went back to a lower revision.
  std::uint64_t RevisionsLost = 0;
};

/// The simulated system. Not thread-safe.
class SystemWorld {
public:
  /// Time limit for a change to take effect: after it, an accepted revision is
  /// in force at every instance, a withdrawn data centre receives no packets,
  /// and a draining upstream receives no new work.
  static constexpr Duration EffectTimeLimit = std::chrono::seconds(5);

  explicit SystemWorld(const Topology &t);
  SystemWorld(const SystemWorld &) = delete;
  auto operator=(const SystemWorld &) -> SystemWorld & = delete;
  ~SystemWorld();

  /// Imports the first sheet and runs until the instances lease out all slots
  /// and have sent requests to the hosts for some time.
  auto settle() -> void;
  auto run(Duration d) -> void;
  auto setLoad(const Load &l) -> void { CurrentLoad = l; }

  // Instances.
  auto kill(const std::string &name) -> void;
  auto pause(const std::string &name) -> void;
  auto resume(const std::string &name) -> void;
  auto join(const std::string &name, const std::string &dc) -> void;
  auto leave(const std::string &name) -> void;

  // Upstreams, by name.
  auto hostNames() const -> std::vector<std::string>;
  /// Precondition: hasHost(name).
  auto host(const std::string &name) -> fakes::UpstreamModel &;
  auto hasHost(const std::string &name) const -> bool;
  auto killHost(const std::string &name) -> void;
  auto restartHost(const std::string &name) -> void;

  // Operators.
  auto drain(const std::string &host) -> void;
  auto activate(const std::string &host) -> void;
  auto withdraw(const std::string &dc) -> void;
  auto returnToService(const std::string &dc) -> void;
  /// Imports the sheet again with one more booking host in \p dc.
  auto importWithNewHost(const std::string &dc) -> void;

  // Network and platform.
  auto setCut(const std::string &a, const std::string &b, bool cut) -> void;
  auto platform() -> fakes::PlatformFaults & { return Faults; }

  auto topology() const -> const Topology & { return InitialTopology; }
  auto instanceNames() const -> std::vector<std::string>;
  auto isRunning(const std::string &name) -> bool;
  auto isPaused(const std::string &name) const -> bool {
    return Paused.contains(name);
  }
  auto now() const -> TimePoint { return Requests->now(); }
  auto requests() -> fakes::RequestWorld & { return *Requests; }
  auto counts() const -> const WorldCounts & { return Counts; }
  /// Returns the sum of one count over all hosts.
  auto sumOverHosts(std::uint64_t fakes::UpstreamCounts::*count)
      -> std::uint64_t;
  /// Returns the number of requests that ended as Unknown or AlreadyRun (the
  /// answer was lost) while only planned changes had happened.
  auto requestsLostToPlannedChanges() const -> std::uint64_t;
  /// Records an unplanned fault. After the first one,
  /// requestsLostToPlannedChanges() leaves out the oldest request that was then
  /// in progress and all requests submitted after it.
  auto recordUnplannedFault() -> void;

private:
  struct Flow;
  struct AcceptedChange;

  auto makeWorld() -> std::unique_ptr<fakes::RequestWorld>;
  auto step() -> void;
  auto startLoad() -> void;
  auto openFlow() -> void;
  auto driveFlows() -> void;
  auto onHostPacket(std::size_t host, const std::string &from, const Packet &p)
      -> void;
  auto onFlowPacket(const Packet &p) -> void;
  auto excuseFlows(std::size_t host) -> void;
  auto recordCrashes() -> void;
  auto hostIndex(const std::string &name) const -> std::size_t;

  auto operate(std::vector<Operation> all,
               const std::function<void()> &accepted) -> void;
  auto submit(ChangeRequest r, const std::function<void()> &accepted) -> void;
  auto checkRevisions() -> void;
  auto currentSheet() -> Sheet;

  Topology InitialTopology;
  Load CurrentLoad;
  double DueRequests = 0;
  double DueFlows = 0;
  fakes::PlatformFaults Faults;
  std::unique_ptr<fakes::ObjectStore> Store;
  SeededRandom Random;
  std::unique_ptr<fakes::RequestWorld> Requests;
  std::set<std::string> Paused;
  std::map<std::pair<std::string, Incarnation>, Revision> HighestRevisions;
  std::vector<std::unique_ptr<Flow>> Flows;
  std::map<Endpoint, Flow *> FlowOf;
  std::map<std::string, std::uint64_t> CrashesOf;
  std::vector<AcceptedChange> AcceptedChanges;
  std::optional<std::size_t> TrackedBeforeFault;
  std::set<std::pair<std::string, std::string>> Cuts;
  /// Data centres that operators have withdrawn.
  std::set<std::string> Withdrawn;
  TimePoint LastDisruption;
  WorldCounts Counts;
  std::uint64_t NextChange = 1;
  std::uint32_t NextCaller = 0;
};

} // namespace boragebridge::scenario

#endif
