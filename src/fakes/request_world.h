/// \file
/// A simulated environment of the request plane, for tests and benches:
/// callers, upstream models and a fleet of instances, connected with delays and
/// losses. It records what the invariants are checked against: how often each
/// request ran, which outcome its caller received, and whether each answer
/// belongs to its request.
///
/// Example:
/// \code
///   fakes::RequestWorld world({.Seed = 7});
///   world.run(fakes::RequestWorld::WarmUp);
///   world.submit(0, {.Deadline = 2s});
///   world.run(3s);
///   BOOST_TEST(world.report().RunsOverLimit == 0);
/// \endcode
#ifndef BORAGEBRIDGE_FAKES_REQUEST_WORLD_H
#define BORAGEBRIDGE_FAKES_REQUEST_WORLD_H

#include "boragebridge/caller.h"
#include "fakes/fleet.h"
#include "fakes/upstream_model.h"

#include <set>

namespace boragebridge::fakes {

/// Options of a RequestWorld.
struct RequestWorldOptions {
  std::uint64_t Seed = 1;
  std::vector<std::string> DataCentres{"north", "south"};
  std::size_t InstancesPerDataCentre = 2;
  /// Number of upstreams of the booking service and of the upload service in
  /// each data centre.
  std::size_t BookingHosts = 2;
  std::size_t UploadHosts = 1;
  Duration BookingWork = std::chrono::milliseconds(50);
  Duration UploadWork = std::chrono::milliseconds(200);
  /// Bytes of an answer of either service.
  std::size_t BookingAnswer = 64;
  std::size_t UploadAnswer = 64;
  std::size_t Callers = 4;
  CallerSettings CallerOptions;
  bool HostsStartCold = false;
  /// Share of packets lost between callers and instances, and share of answer
  /// packets lost between upstreams and instances.
  double CallerLoss = 0;
  double AnswerLoss = 0;
  /// Share of packets to callers that arrive twice.
  double DuplicateShare = 0;
  /// Share of caller packets that go to a random data centre instead of the
  /// caller's own.
  double RoamingShare = 0.1;
  /// Time without contact after which an instance is suspected, and after which
  /// it is declared dead.
  Duration SuspectAfter = std::chrono::seconds(1);
  Duration DeadAfter = std::chrono::seconds(3);
  /// Makes the controllers of an instance. If null, an instance has only the
  /// request controller.
  ControllerFactory MakeControllers;
  /// Makes the store client of an instance. If null, calls to the store are
  /// never answered.
  std::function<std::unique_ptr<PlatformClient>(Fleet &,
                                                const InstanceIdentity &)>
      MakePlatform;
  /// True: the world publishes configuration, membership and health on the
  /// blackboards. False: the controllers of MakeControllers determine them.
  bool PublishesViews = true;
  EventLog *Log = nullptr;
};

/// One request as the world records it.
struct TrackedRequest {
  ServiceId Service{};
  TimePoint Submitted;
  TimePoint Ended;
  bool IsEnded = false;
  OutcomeKind Kind = OutcomeKind::Unknown;
  std::uint32_t Runs = 0;
};

/// Sums over all requests and hosts of a world.
struct WorldReport {
  std::uint64_t Submitted = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t AlreadyRun = 0;
  /// Requests that ran more than once.
  std::uint64_t RunsOverLimit = 0;
  /// Requests and request numbers that were refused as not run although they
  /// ran at some time.
  std::uint64_t FalseRefusals = 0;
  /// Answers that belong to another request, or are truncated.
  std::uint64_t WrongAnswers = 0;
  /// Requests beyond the slots of an upstream, and flows beyond its
  /// connections.
  std::uint64_t SlotsOverLimit = 0;
  /// Requests and flows beyond what a cold upstream can handle: one request at
  /// a time and UpstreamModel::ColdFlowsPerSecond new flows per second.
  std::uint64_t ColdOverLimit = 0;
  std::uint64_t Misdelivered = 0;
  std::uint64_t PacketsAfterWithdrawal = 0;
};

/// The environment. Not thread-safe.
class RequestWorld {
public:
  /// Time after which a new fleet leases out every slot.
  static constexpr Duration WarmUp = std::chrono::seconds(8);

  explicit RequestWorld(RequestWorldOptions opt);
  RequestWorld(const RequestWorld &) = delete;
  auto operator=(const RequestWorld &) -> RequestWorld & = delete;
  ~RequestWorld();

  auto run(Duration d) -> void;
  /// Submits \p spec from caller \p caller. An empty body is replaced by the
  /// request's identifier. Returns the index of the request in requests().
  auto submit(std::size_t caller, RequestSpec spec) -> std::uint64_t;
  auto cancel(std::uint64_t request) -> void;
  /// Submits \p spec and runs until the request has ended.
  auto submitAndWait(std::size_t caller, RequestSpec spec) -> TrackedRequest;

  auto kill(const std::string &name) -> void;
  /// Starts a new instance \p name in \p dc.
  auto join(const std::string &name, const std::string &dc) -> void;
  auto restart(const std::string &name) -> void;
  auto setPaused(const std::string &name, bool paused) -> void;
  auto beginStop(const std::string &name) -> void;
  auto setCut(const std::string &dcA, const std::string &dcB, bool cut) -> void;
  auto setWithdrawn(const std::string &dc, bool withdrawn) -> void;

  /// Returns the names of all instances, such as "north-0", including those
  /// that have been killed.
  auto instanceNames() const -> const std::vector<std::string> & {
    return Names;
  }
  /// Returns true if instance \p name is running, not paused and not stopping.
  auto isUsable(const std::string &name) const -> bool;
  auto host(std::size_t n) -> UpstreamModel &;
  auto hostCount() const -> std::size_t { return Hosts.size(); }
  auto hostDataCentre(std::size_t n) const -> const std::string &;
  auto hostAddress(std::size_t n) const -> const Endpoint &;
  /// Adds host number \p n of service \p s in \p dc to the world and to
  /// configuration().
  auto addHost(const std::string &dc, ServiceId s, std::size_t n) -> void;
  /// Sends \p p from host \p n to the instance named \p to.
  auto sendFromHost(std::size_t n, const std::string &to, const Packet &p)
      -> void;
  /// Delivers \p p to a random running instance of \p dc, as the fabric does.
  auto sendToFabric(const std::string &dc, const Packet &p) -> void;
  auto caller(std::size_t n) -> Caller &;
  auto requests() const -> const std::vector<TrackedRequest> & {
    return Tracked;
  }
  auto report() const -> WorldReport;
  /// Returns the sum of a counter over all instances. For those that have
  /// ended, the value at their end counts.
  auto counter(const std::string &name) -> std::uint64_t;
  /// Returns the requests per second that the live hosts of \p s can handle
  /// when warm.
  auto capacity(ServiceId s) const -> double;
  auto now() const -> TimePoint { return Nodes.Time.now(); }
  auto fleet() -> Fleet & { return Nodes; }
  auto configuration() -> Configuration & { return Config; }
  auto publishConfiguration() -> void { Nodes.publishConfiguration(Config); }
  /// Delivers \p p to instance \p name immediately, as if the fabric had
  /// delivered it.
  auto inject(const std::string &name, const Packet &p) -> void {
    Nodes.fromFabric(name, p);
  }

  static auto booking() -> ServiceId;
  static auto uploads() -> ServiceId;

  /// Called with packets that do not belong to the request plane: those to host
  /// number \p host from instance \p from, and those to callers. If null, the
  /// packet is lost.
  std::function<void(std::size_t host, const std::string &from, const Packet &)>
      OnHostPacket;
  std::function<void(const Packet &)> OnFlowPacket;
  /// Called with each reply before it is passed to the caller.
  std::function<void(std::size_t caller, const Packet &)> OnReply;
  /// Called with each packet that a caller sends. Returning true drops the
  /// packet.
  std::function<bool(const Packet &)> DropFromCaller;

private:
  struct CallerNode;
  struct Host;
  using Key = std::pair<std::uint64_t, std::uint64_t>;

  auto makePlatformFactory() -> PlatformFactory;
  auto addInstance(const std::string &name) -> void;
  auto publishViews() -> void;
  auto isReachable(const std::string &from, const std::string &to) const
      -> bool;
  auto sendFromCaller(CallerNode &c, const Packet &p) -> void;
  auto sendToCaller(const Packet &p) -> void;
  auto sendToUpstream(const Instance &from, const Endpoint &to, const Packet &p)
      -> void;
  auto execute(Host &h, const std::string &from, const Packet &p) -> void;
  auto pollHosts() -> void;
  auto answer(Host &h, const ExecuteResult &r) -> void;
  auto onOutcome(CallerNode &c, RequestHandle h, const RequestOutcome &o)
      -> void;
  auto recordCounters() -> void;
  auto addCountersOfStopped() -> void;
  auto countersOf(const std::string &name)
      -> std::map<std::string, std::uint64_t>;

  RequestWorldOptions Options;
  SeededRandom Random;
  Fleet Nodes;
  Configuration Config;
  std::vector<std::string> Names;
  std::map<std::string, std::string> DataCentreOf;
  std::set<std::string> Paused;
  std::set<std::string> Stopping;
  std::set<std::pair<std::string, std::string>> Cuts;
  std::map<std::pair<std::string, std::string>, TimePoint> LastReachable;
  std::map<std::pair<std::string, std::string>, Member> LastSeen;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<std::unique_ptr<CallerNode>> Callers;
  std::vector<TrackedRequest> Tracked;
  std::map<Key, std::uint32_t> RunsOfNumber;
  std::set<Key> RefusedNumbers;
  std::uint64_t WrongAnswerCount = 0;
  std::map<std::string, std::uint64_t> EndedCounters;
  std::map<std::string, std::map<std::string, std::uint64_t>> LastCounters;
  TimePoint NextViews;
  TimePoint NextCallerTick;
};

} // namespace boragebridge::fakes

#endif
