/// \file
/// A model of one machine of the edge: the real parts that decide (directory,
/// estimates, placement, forwarder, views) around a modelled store, mirror and
/// network. Its process may stop, be killed, start again or stand still.
#ifndef BORAGEBRIDGE_EDGE_MODEL_MODEL_INSTANCE_H
#define BORAGEBRIDGE_EDGE_MODEL_MODEL_INSTANCE_H

#include "edge/cold_start_quota.h"
#include "edge/edge_views.h"
#include "edge/forwarder.h"
#include "edge_model/json_record_format.h"
#include "edge_model/model_world.h"
#include "edge_model/time_limited_platform.h"
#include "fakes/fake_platform.h"

#include <deque>

namespace boragebridge::edge_model {

class ModelInstance;

/// How the store treats a call.
enum class StoreCondition : std::uint8_t { Answers, Refuses, Unresponsive };

/// What an instance is made of; the same for all of one model.
struct InstanceOptions {
  /// Empty: Picker. Else a name of baseline_placement.h.
  std::string PlacementPolicy;
  ColdStartQuotaOptions ColdStart;
  std::size_t CachedFlows = 4096;
};

/// Its surroundings. Every reference outlives the instance.
struct InstanceContext {
  ModelWorld &World;
  const Clock &Time;
  fakes::ObjectStore &Store;
  fakes::FakeNetwork &Timer;
  const InstanceOptions &Options;
  /// The instance whose mirror is at an address, if \p from reaches it; null
  /// otherwise.
  std::function<ModelInstance *(const ModelInstance &from, const Endpoint &)>
      FindPeer;
  /// Carries out what \p from decided for \p p.
  std::function<void(const ModelInstance &from, const CallerPacket &p,
                     const EdgeDecision &d)>
      ApplyDecision;
};

class ModelInstance {
public:
  ModelInstance(const InstanceContext &ctx, MemberRecord self,
                std::vector<Endpoint> seeds);
  ModelInstance(const ModelInstance &) = delete;
  auto operator=(const ModelInstance &) -> ModelInstance & = delete;
  ~ModelInstance();

  auto start() -> void;
  /// The process ends at once.
  auto kill() -> void;
  /// Not ready from now on; the process goes on until kill().
  auto beginStop() -> void { Stopping = true; }
  auto setFrozen(bool frozen) -> void;
  /// It reaches nobody and nobody reaches it, but for callers.
  auto setCutOff(bool cut) -> void;
  /// Its data centre is cut off from the store.
  auto setStoreCut(bool cut) -> void;
  /// How the store treats all instances, and how long it takes each way.
  auto setSharedStore(StoreCondition c, Duration delay) -> void;
  /// How the store treats this instance alone.
  auto setInstanceStore(StoreCondition c) -> void;

  auto receive(const CallerPacket &p) -> void;
  /// Call every TickInterval.
  auto tick() -> void;
  /// Answers a router's readiness check; false when there is no answer.
  auto isReady() const -> bool;
  auto isRunning() const -> bool { return RunningProcess != nullptr; }
  auto isFrozen() const -> bool { return Frozen; }
  auto isCutOff() const -> bool { return CutOff; }
  auto self() const -> const MemberRecord & { return Self; }
  /// Null while it is not running.
  auto directory() const -> const UpstreamDirectory *;
  auto mirror() -> ObjectMirror *;
  /// Calls to the store so far, polls included at their share of the price.
  auto storeCalls() const -> double;
  static constexpr Duration TickInterval = std::chrono::milliseconds(20);

private:
  struct Process;

  auto applyFaults() -> void;
  auto poll(const std::string &prefix, ObjectVersion after,
            PlatformClient::Callback<ObjectList> done) -> void;

  InstanceContext Ctx;
  MemberRecord Self;
  std::vector<Endpoint> Seeds;
  InstanceIdentity Identity;
  /// Shared with its clients of the store.
  fakes::PlatformFaults Faults;
  StoreCondition SharedStore = StoreCondition::Answers;
  StoreCondition InstanceStore = StoreCondition::Answers;
  std::unique_ptr<Process> RunningProcess;
  /// Packets that wait while it stands still.
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
