/// \file
/// A model of a whole installation of the edge on the manual clock: callers,
/// routers, instances with their real deciding parts, upstreams and the store.
/// It plays troubles and checks the promises of rules.h; thousands of runs take
/// minutes, and the same seed gives the same run.
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
/// Not modelled: processor time, bytes, packet loss, windows, and what a store
/// does with conditions of other writers. Not thread-safe.
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
  /// Over all data centres; a fifth of them takes uploads.
  std::size_t Upstreams = 18;
  /// Requests a second for each upstream of bookings; about half of what it
  /// bears.
  double RequestsPerUpstream = 25;
  /// Empty: Picker. Else a name of baseline_placement.h.
  std::string PlacementPolicy = {};
  /// An answer within it is in time.
  Duration ResponseTimeTarget = std::chrono::milliseconds(100);
};

/// What callers got.
struct ModelOutcome {
  std::uint64_t Requests = 0;
  std::uint64_t Served = 0;
  /// Served, but not within the aim.
  std::uint64_t Late = 0;
  /// Sum over the served ones.
  Duration ResponseTime{};
  std::uint64_t OpeningPackets = 0;
  /// At upstreams of another data centre than the instance's.
  std::uint64_t RemoteOpeningPackets = 0;
};

class EdgeModel final : public ModelWorld {
public:
  /// One way to an undisturbed store.
  static constexpr Duration StoreDelay = std::chrono::milliseconds(2);

  explicit EdgeModel(const EdgeModelOptions &opt);
  ~EdgeModel() override;

  /// Moves the time on by \p d.
  auto run(Duration d) -> void;
  /// No new requests from now on.
  auto stopCallers() -> void;

  auto instances() const -> std::size_t { return InstanceEntries.size(); }
  auto dataCentres() const -> std::size_t { return Options.DataCentres; }
  /// Numbers of the upstreams whose lifetime goes on.
  auto upstreams() const -> std::vector<std::size_t>;

  /// Troubles of one instance. Each disturbs it; the second one of a pair ends
  /// the first.
  auto kill(std::size_t instance) -> void;
  auto start(std::size_t instance) -> void;
  /// Stops it in order, and starts it again.
  auto roll(std::size_t instance) -> void;
  auto setFrozen(std::size_t instance, bool frozen) -> void;
  auto setCutOff(std::size_t instance, bool cut) -> void;
  auto setInstanceStore(std::size_t instance, StoreCondition c) -> void;

  /// Troubles of the store.
  auto setStore(StoreCondition c, Duration delay) -> void;
  auto dropHistory() -> void;

  /// Cuts a data centre off from the others and from the store, or heals that.
  auto setDataCentreCut(std::size_t dataCentre, bool cut) -> void;

  /// Troubles of upstreams.
  auto setUpstreamState(std::size_t upstream, UpstreamState s) -> void;
  /// Multiplies its speed; a factor of 1 or more ends an earlier trouble.
  auto setUpstreamSpeed(std::size_t upstream, double factor) -> void;
  /// It leaves in order; a new one takes its place, or its address under
  /// another service when \p reuseAddress.
  auto replaceUpstream(std::size_t upstream, bool reuseAddress) -> void;
  /// All of a data centre crash and come back cold.
  auto returnCold(std::size_t dataCentre) -> void;

  /// What operators do.
  auto setWithdrawn(std::size_t dataCentre, bool withdrawn) -> void;
  /// Adds a route and drops the one that was added before.
  auto changeRoutes() -> void;
  auto setLoad(double factor) -> void;

  auto rules() -> RuleChecker & { return Checker; }
  auto outcome() const -> const ModelOutcome & { return Outcome; }
  /// Calls to the store by all instances so far.
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

  /// One instance and what its router knows of it.
  struct InstanceEntry {
    std::unique_ptr<ModelInstance> Instance;
    std::size_t DataCentre = 0;
    unsigned FailedChecks = 0;
    bool InRotation = false;
  };
  struct UpstreamEntry {
    std::shared_ptr<ModelUpstream> Model;
    std::size_t DataCentre = 0;
    bool Ended = false;
  };

  auto addInstance(std::size_t n) -> void;
  auto addUpstream(std::size_t dataCentre, ServiceId service,
                   const Endpoint &address, double speed, Duration cold)
      -> std::size_t;
  auto nextAddress(std::size_t dataCentre) -> Endpoint;
  auto addCallers(std::size_t dataCentre) -> void;
  auto writeConfiguration() -> void;
  /// Writes what \p value gives to the store once it answers, then calls
  /// \p accepted.
  auto write(const std::string &key, std::function<std::string()> value,
             std::function<void()> accepted) -> void;
  auto erase(const std::string &key, std::function<void()> accepted = {})
      -> void;
  auto whenStoreAvailable(std::function<void()> f) -> void;
  auto registerUpstream(std::size_t upstream) -> void;
  /// The record lapses unless the upstream lives again by then.
  auto scheduleRecordExpiry(std::size_t upstream) -> void;
  /// It ends for good, and its record goes.
  auto endUpstream(std::size_t upstream) -> void;
  auto setAffected(const std::string &component, bool isAffected) -> void;
  auto scheduleTick(std::size_t instance) -> void;
  auto scheduleCheck(std::size_t instance) -> void;
  auto scheduleProbe() -> void;
  auto checkReady(InstanceEntry &m) -> void;
  /// Sends an opening packet to \p address straight to each ready instance.
  auto probeRoute(const Endpoint &address) -> void;
  auto chooseInstance(DataCentreId from, const FlowKey &f) -> InstanceEntry *;
  auto findPeer(const ModelInstance &from, const Endpoint &at)
      -> ModelInstance *;
  auto applyDecision(const ModelInstance &from, const CallerPacket &p,
                     const EdgeDecision &d) -> void;
  auto deliver(const std::string &from, const Endpoint &to,
               std::uint64_t wireId, const CallerPacket &p) -> void;
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
  std::vector<InstanceEntry> InstanceEntries;
  std::vector<UpstreamEntry> UpstreamEntries;
  std::unordered_map<Endpoint, std::size_t> UpstreamAt;
  std::vector<std::unique_ptr<ModelCallers>> Callers;
  EdgeConfiguration Configuration;
  std::uint16_t NextRoutePort = 1000;
  std::optional<Endpoint> AddedRoute;
  std::optional<Endpoint> DroppedRoute;
  StoreCondition CurrentStoreCondition = StoreCondition::Answers;
  Duration CurrentStoreDelay = StoreDelay;
  /// Of the instance whose packet is being delivered.
  std::string ForwardingInstance;
  std::uint32_t NextUpstreamHost = 0;
  std::uint16_t NextProbe = 1;
};

} // namespace boragebridge::edge_model

#endif
