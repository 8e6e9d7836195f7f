/// \file
/// A model of a whole installation of the edge on a manual clock: callers,
/// routers, instances with the real code that decides about packets, upstreams
/// and the store. The model injects faults and checks the rules of rules.h.
/// Thousands of runs take minutes, and the same seed gives the same run.
///
/// Example:
/// \code
///   EdgeModel model({.Seed = 7, .Instances = 6});
///   model.run(std::chrono::seconds(10));
///   model.kill(0);
///   model.run(std::chrono::seconds(10));
///   BOOST_TEST(model.rules().total() == 0U);
/// \endcode
///
/// Not modelled: processor time, bytes, packet loss, flow-control windows, and
/// conditional writes to the store that conflict with other writers. Not
/// thread-safe.
#ifndef BORAGEBRIDGE_EDGE_MODEL_EDGE_MODEL_H
#define BORAGEBRIDGE_EDGE_MODEL_EDGE_MODEL_H

#include "edge_model/model_caller.h"
#include "edge_model/model_instance.h"
#include "edge_model/model_upstream.h"
#include "edge_model/rules.h"

namespace boragebridge::edge_model {

struct EdgeModelOptions {
  std::uint64_t Seed = 1;
  std::size_t Instances = 6;
  std::size_t DataCentres = 3;
  /// Upstreams of all data centres; a fifth of them serves uploads.
  std::size_t Upstreams = 18;
  /// Requests a second for each upstream of bookings; the default is about half
  /// of what one can handle.
  double RequestsPerUpstream = 25;
  /// A name of baselineNames(); empty for Picker.
  std::string PlacementPolicy = {};
  /// A request that takes longer counts as late.
  Duration ResponseTimeTarget = std::chrono::milliseconds(100);
};

/// Results of the callers' requests.
struct ModelOutcome {
  /// Requests that have ended.
  std::uint64_t Requests = 0;
  std::uint64_t Served = 0;
  /// Served requests that took longer than ResponseTimeTarget.
  std::uint64_t Late = 0;
  /// Sum over the served requests.
  Duration ResponseTime{};
  /// Opening packets that instances forwarded, retransmissions included.
  std::uint64_t OpeningPackets = 0;
  /// Those of them that went to an upstream outside the instance's data centre.
  std::uint64_t RemoteOpeningPackets = 0;
};

/// The whole model. Instances, data centres and upstreams are named by their
/// index. Not thread-safe.
class EdgeModel final : public ModelWorld {
public:
  /// Delay in each direction to a store that no fault affects.
  static constexpr Duration StoreDelay = std::chrono::milliseconds(2);

  explicit EdgeModel(const EdgeModelOptions &opt);
  ~EdgeModel() override;

  /// Advances the model by \p d.
  auto run(Duration d) -> void;
  /// Stops new requests; open requests continue until they end.
  auto stopCallers() -> void;

  auto instances() const -> std::size_t { return InstanceEntries.size(); }
  auto dataCentres() const -> std::size_t { return Options.DataCentres; }
  /// Returns the upstreams whose lifetime has not ended.
  auto upstreams() const -> std::vector<std::size_t>;

  /// Faults of one instance; each marks the instance as affected. start() ends
  /// kill(); the setters end a fault with \c false or StoreCondition::Answers.
  auto kill(std::size_t instance) -> void;
  auto start(std::size_t instance) -> void;
  /// Stops the instance gracefully, and starts it again.
  auto roll(std::size_t instance) -> void;
  auto setFrozen(std::size_t instance, bool frozen) -> void;
  auto setCutOff(std::size_t instance, bool cut) -> void;
  auto setInstanceStore(std::size_t instance, StoreCondition c) -> void;
  /// Each instance that reads the store itself loses the next answer to a watch
  /// that tells it of changes, for each kind of object.
  auto loseNextWatchAnswers() -> void;

  /// Faults of the store that affect all instances. \p delay counts in each
  /// direction.
  auto setStore(StoreCondition c, Duration delay) -> void;
  /// Drops the store's history of changes, so that watches of earlier versions
  /// have to list the objects again.
  auto dropHistory() -> void;
  /// Restores the store from a copy of \p age, or the oldest one. Upstreams and
  /// operators write again what is lost; records of upstreams that have ended
  /// expire.
  auto restoreStore(Duration age) -> void;

  /// Cuts a data centre off from the others and from the store, or heals that.
  auto setDataCentreCut(std::size_t dataCentre, bool cut) -> void;

  /// Faults of upstreams. The record of an upstream that is not running expires
  /// unless the upstream runs again in time.
  auto setUpstreamState(std::size_t upstream, UpstreamState s) -> void;
  /// Removes the records of a data centre's upstreams, which go on serving,
  /// from the store, or writes them again.
  auto setRecordsMissing(std::size_t dataCentre, bool missing) -> void;
  /// Multiplies the speed by \p factor. A factor below 1 begins a fault; any
  /// other factor ends it.
  auto setUpstreamSpeed(std::size_t upstream, double factor) -> void;
  /// Ends an upstream, which starts again at once under its name, identity and
  /// address. It is not cold: nobody can know the start before its record.
  auto restartUpstream(std::size_t upstream) -> void;
  /// Drains and ends an upstream. A new upstream takes its place at another
  /// address; with \p reuseAddress, one of the other service takes over its
  /// address.
  auto replaceUpstream(std::size_t upstream, bool reuseAddress) -> void;
  /// Crashes all upstreams of a data centre; each returns cold at the same
  /// address as a new lifetime.
  auto returnCold(std::size_t dataCentre) -> void;

  /// Actions of operators.
  auto setWithdrawn(std::size_t dataCentre, bool withdrawn) -> void;
  /// Adds a route and removes the one that the previous call added.
  auto changeRoutes() -> void;
  /// Sends the next of a number of routes to another service, and the one that
  /// the previous call sent there back to its own.
  auto moveNextRoute() -> void;
  /// Sends the route that moveNextRoute() moved last back to its own service.
  auto moveRouteBack() -> void;
  /// Multiplies the rate of all callers' requests by \p factor.
  auto setLoad(double factor) -> void;

  auto rules() -> RuleChecker & { return Checker; }
  auto outcome() const -> const ModelOutcome & { return Outcome; }
  /// Returns the number of calls to the store by all instances so far.
  auto storeCalls() const -> double;

  auto now() const -> TimePoint override { return Time.now(); }
  auto random() -> RandomSource & override { return Random; }
  auto after(Duration d, std::function<void()> f) -> void override;
  auto sendToEdge(DataCentreId from, CallerPacket p) -> void override;
  auto sendToCaller(const Reply &r) -> void override;
  auto onFlowAccepted(const ModelUpstream &u, const CallerPacket &p)
      -> void override;
  auto onFlowPacket(const ModelUpstream &u, const CallerPacket &p, bool hasFlow)
      -> void override;
  auto onWorkStarted(Request &r) -> void override;
  auto onRequestEnded(const Request &r, bool isServed) -> void override;

private:
  static constexpr Endpoint BookingsAddress{0xC6120001, 443};
  static constexpr Endpoint UploadsAddress{0xC6120002, 8443};

  /// One instance with the state that its router keeps for it.
  struct InstanceEntry {
    std::unique_ptr<ModelInstance> Instance;
    std::size_t DataCentre = 0;
    unsigned FailedChecks = 0;
    bool InRotation = false;
  };
  /// One lifetime of an upstream, kept after its end.
  struct UpstreamEntry {
    std::shared_ptr<ModelUpstream> Model;
    std::size_t DataCentre = 0;
    bool Ended = false;
  };

  auto addInstance(std::size_t n) -> void;
  auto addUpstream(std::size_t dataCentre, ServiceId service,
                   const Endpoint &address, double speed, Duration cold)
      -> std::size_t;
  /// Adds the lifetime that \p r describes; it starts now.
  auto startUpstream(std::size_t dataCentre, UpstreamRecord r, double speed,
                     Duration cold) -> std::size_t;
  /// Whether a later lifetime has the name and the address of an upstream.
  auto hasRestarted(std::size_t upstream) const -> bool;
  auto nextAddress(std::size_t dataCentre) -> Endpoint;
  auto addCallers(std::size_t dataCentre) -> void;
  auto writeConfiguration() -> void;
  /// Sends the movable route \p n to \p service.
  auto setMovableRoute(std::size_t n, ServiceId service) -> void;
  /// Writes the result of \p value to the store as soon as the store answers,
  /// then calls \p accepted. The write is retried until the store accepts it.
  auto write(const std::string &key, std::function<std::string()> value,
             std::function<void()> accepted) -> void;
  auto erase(const std::string &key, std::function<void()> accepted = {})
      -> void;
  auto whenStoreAvailable(std::function<void()> f) -> void;
  auto registerUpstream(std::size_t upstream) -> void;
  /// Writes or removes the withdrawal of a data centre.
  auto writeWithdrawal(std::size_t dataCentre) -> void;
  /// Removes the upstream's record after the timeout of its heartbeats, unless
  /// the upstream is running again by then.
  auto scheduleRecordExpiry(std::size_t upstream) -> void;
  /// Ends the upstream permanently and removes its record.
  auto endUpstream(std::size_t upstream) -> void;
  /// Reports the start or the end of a fault to the rule checker.
  auto setAffected(const std::string &component, bool isAffected) -> void;
  auto scheduleTick(std::size_t instance) -> void;
  auto scheduleCheck(std::size_t instance) -> void;
  auto scheduleProbe() -> void;
  /// Takes a snapshot of the store at regular intervals.
  auto scheduleSnapshot() -> void;
  /// The objects below \p prefix in one of the latest snapshots.
  auto readSnapshot(const std::string &prefix) -> ObjectList;
  /// The version that reads which may be out of date tell, some seconds old.
  auto staleVersion() const -> ObjectVersion;
  /// The prefixes of all kinds of objects.
  auto prefixes() const -> std::array<std::string, 4>;
  /// Updates the router's rotation with a readiness check.
  auto checkReady(InstanceEntry &entry) -> void;
  /// Sends an opening packet for \p address to each ready instance directly, so
  /// that Rule::Configuration is checked at every instance.
  auto probeRoute(const Endpoint &address) -> void;
  /// Returns the instance that the routers of data centre \p from send the flow
  /// to; null if none is in the rotation anywhere.
  auto chooseInstance(DataCentreId from, const FlowKey &f) -> InstanceEntry *;
  /// Returns the instance whose mirror is at \p at if \p from can reach it,
  /// null otherwise.
  auto findPeer(const ModelInstance &from, const Endpoint &at)
      -> ModelInstance *;
  /// Forwards, resets or drops \p p as \p from decided.
  auto applyDecision(const ModelInstance &from, const CallerPacket &p,
                     const EdgeDecision &d) -> void;
  auto deliver(const std::string &from, const Endpoint &to,
               std::uint64_t wireId, const CallerPacket &p) -> void;
  /// Returns whether the network between data centres \p a and \p b is cut.
  auto isCut(std::size_t a, std::size_t b) const -> bool;
  auto indexOf(DataCentreId d) const -> std::size_t;

  const ServiceId Bookings = idFromName<ServiceId>("bookings");
  const ServiceId Uploads = idFromName<ServiceId>("uploads");
  EdgeModelOptions Options;
  ManualClock Time;
  SeededRandom Random;
  fakes::FakeNetwork Timer;
  fakes::ObjectStore Store;
  JsonRecordFormat Format;
  InstanceOptions InstanceSettings;
  RuleChecker Checker;
  ModelOutcome Outcome;
  std::vector<DataCentreId> DataCentreIds;
  std::set<std::size_t> CutDataCentres;
  std::set<std::size_t> WithdrawnDataCentres;
  /// The data centres whose upstreams write no records.
  std::set<std::size_t> UnregisteredDataCentres;
  std::vector<InstanceEntry> InstanceEntries;
  std::vector<UpstreamEntry> UpstreamEntries;
  std::unordered_map<Endpoint, std::size_t> UpstreamAt;
  std::vector<std::unique_ptr<ModelCallers>> Callers;
  EdgeConfiguration Configuration;
  std::uint16_t NextRoutePort = 1000;
  std::optional<Endpoint> AddedRoute;
  std::optional<Endpoint> RemovedRoute;
  /// The routes of moveNextRoute(); empty before its first call.
  std::vector<Endpoint> MovableRoutes;
  /// Index in MovableRoutes of the route that was moved last.
  std::size_t MovedRoute = 0;
  /// The latest snapshots of the store by prefix, the oldest one first.
  std::deque<std::map<std::string, ObjectList>> Snapshots;
  /// Copies of the store at the same times, the oldest one first.
  std::deque<fakes::ObjectStore::Copy> StoreCopies;
  StoreCondition CurrentStoreCondition = StoreCondition::Answers;
  Duration CurrentStoreDelay = StoreDelay;
  /// Name of the instance whose packet is being delivered.
  std::string ForwardingInstance;
  std::uint32_t NextUpstreamHost = 0;
  std::uint16_t NextProbe = 1;
};

} // namespace boragebridge::edge_model

#endif
