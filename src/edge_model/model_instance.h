/// \file
/// A model of one instance of the edge. The parts that decide about packets are
/// the real ones (upstream directory, estimates, placement policy, forwarder,
/// views of the store); the store, the mirrors of other instances and the
/// network are modelled. The instance's process can be stopped, killed,
/// restarted or frozen.
#ifndef BORAGEBRIDGE_EDGE_MODEL_MODEL_INSTANCE_H
#define BORAGEBRIDGE_EDGE_MODEL_MODEL_INSTANCE_H

#include "edge/cold_start_quota.h"
#include "edge/edge_views.h"
#include "edge/forwarder.h"
#include "edge/upstream_lookup.h"
#include "edge_model/json_record_format.h"
#include "edge_model/model_world.h"
#include "edge_model/time_limited_platform.h"
#include "fakes/fake_platform.h"

#include <deque>

namespace boragebridge::edge_model {

class ModelInstance;

/// How the store handles a call: it answers, refuses the call, or does not
/// respond.
enum class StoreCondition : std::uint8_t { Answers, Refuses, Unresponsive };

/// Settings that all instances of one model share.
struct InstanceOptions {
  /// A name of baselineNames(); empty for Picker.
  std::string PlacementPolicy;
  ColdStartQuotaOptions ColdStart;
  std::size_t CachedFlows = 4096;
};

/// The environment of an instance. Every reference must outlive the instance.
struct InstanceContext {
  ModelWorld &World;
  const Clock &Time;
  fakes::ObjectStore &Store;
  fakes::FakeNetwork &Timer;
  const InstanceOptions &Options;
  /// Returns the instance whose mirror has the given address if \p from can
  /// reach it, null otherwise.
  std::function<ModelInstance *(const ModelInstance &from, const Endpoint &)>
      FindPeer;
  /// Carries out what \p from decided for \p p.
  std::function<void(const ModelInstance &from, const CallerPacket &p,
                     const EdgeDecision &d)>
      ApplyDecision;
  /// Returns the objects below a prefix as the store had them some time ago.
  std::function<ObjectList(const std::string &prefix)> ReadSnapshot;
  /// Returns the version up to which a read that may be out of date tells.
  std::function<ObjectVersion()> StaleVersion;
};

/// One instance over all restarts of its process. Not thread-safe.
class ModelInstance {
public:
  ModelInstance(const InstanceContext &ctx, MemberRecord self,
                std::vector<Endpoint> seeds);
  ModelInstance(const ModelInstance &) = delete;
  auto operator=(const ModelInstance &) -> ModelInstance & = delete;
  ~ModelInstance();

  /// Starts the process if it is not running.
  auto start() -> void;
  /// Ends the process at once.
  auto kill() -> void;
  /// Makes isReady() false. The process continues until kill().
  auto beginStop() -> void { Stopping = true; }
  /// Suspends or resumes the process. Packets that arrive while it is suspended
  /// are handled when it resumes, up to a limit.
  auto setFrozen(bool frozen) -> void;
  /// Cuts the instance off from the store, other instances and upstreams, or
  /// heals that. Callers still reach it.
  auto setCutOff(bool cut) -> void;
  /// Cuts the data centre of the instance off from the store, or heals that.
  auto setStoreCut(bool cut) -> void;
  /// Sets how the store handles the calls of all instances, and the delay in
  /// each direction.
  auto setSharedStore(StoreCondition c, Duration delay) -> void;
  /// Sets how the store handles the calls of this instance alone.
  auto setInstanceStore(StoreCondition c) -> void;
  /// The next answer of the store that tells a watch of \p prefix of changes is
  /// lost; calls \p onLost then.
  auto loseNextWatchAnswer(const std::string &prefix,
                           const std::function<void()> &onLost) -> void;

  /// Handles a packet of a caller.
  auto receive(const CallerPacket &p) -> void;
  /// Runs the periodic work of the process. Must be called every TickInterval.
  auto tick() -> void;
  /// Returns the result of a router's readiness check; false also when the
  /// instance would not answer the check.
  auto isReady() const -> bool;
  auto isRunning() const -> bool { return RunningProcess != nullptr; }
  auto isFrozen() const -> bool { return Frozen; }
  auto isCutOff() const -> bool { return CutOff; }
  auto self() const -> const MemberRecord & { return Self; }
  /// Returns null while the process is not running.
  auto directory() const -> const UpstreamDirectory *;
  /// Returns null while the process is not running.
  auto mirror() -> ObjectMirror *;
  /// Returns the number of calls to the store by all processes of the instance
  /// so far. A poll or a snapshot counts as a tenth of a call.
  auto storeCalls() const -> double;
  static constexpr Duration TickInterval = std::chrono::milliseconds(20);

private:
  struct Process;

  auto applyFaults() -> void;
  auto poll(const std::string &prefix, ObjectVersion after,
            const PlatformClient::Callback<ObjectList> &done) -> void;
  auto readSnapshot(const std::string &prefix,
                    const PlatformClient::Callback<ObjectList> &done) -> void;
  /// Asks the instance whose mirror has address \p at for the upstream of \p
  /// tag.
  auto askPeer(const Endpoint &at, UpstreamTag tag,
               const UpstreamLookup::Answer &done) -> void;
  /// Counts a cheap call to the store and runs \p answer when the store handles
  /// it, or fails \p done.
  auto callCheaply(PlatformClient::Callback<ObjectList> done,
                   std::function<void()> answer) -> void;

  InstanceContext Ctx;
  MemberRecord Self;
  std::vector<Endpoint> Seeds;
  InstanceIdentity Identity;
  /// Also read by the instance's clients of the store.
  fakes::PlatformFaults Faults;
  StoreCondition SharedStore = StoreCondition::Answers;
  StoreCondition InstanceStore = StoreCondition::Answers;
  std::unique_ptr<Process> RunningProcess;
  /// Packets that arrived while the process was frozen.
  std::deque<CallerPacket> PendingPackets;
  std::uint64_t StartCount = 0;
  double EarlierStoreCalls = 0;
  bool Frozen = false;
  bool CutOff = false;
  bool StoreCut = false;
  bool Stopping = false;
};

} // namespace boragebridge::edge_model

#endif
