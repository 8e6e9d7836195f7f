/// \file
/// Callers, upstream models and a fleet of instances, joined with delays and
/// losses, for tests and benches of the request plane. It keeps the books that
/// the promises are checked against: which request ran how often, what each
/// caller was told, and whether each answer was its own.
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

/// What a world is made with.
struct RequestWorldOptions {
  std::uint64_t Seed = 1;
  std::vector<std::string> DataCentres{"north", "south"};
  std::size_t InstancesPerDataCentre = 2;
  /// Upstreams of the booking service and of the upload service in each.
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
  /// Share of packets lost between callers and instances, and of answers lost
  /// between upstreams and instances.
  double CallerLoss = 0;
  double AnswerLoss = 0;
  /// Share of packets to callers that arrive twice.
  double DuplicateShare = 0;
  /// Share of caller packets that go to another data centre.
  double RoamingShare = 0.1;
  /// How long an instance is silent until others suspect it and hold it dead.
  Duration SuspectAfter = std::chrono::seconds(1);
  Duration DeadAfter = std::chrono::seconds(3);
  /// Makes the controllers of an instance; the request controller by default.
  ControllerFactory MakeControllers;
  /// Makes the store's client of an instance; one that is silent by default.
  std::function<std::unique_ptr<PlatformClient>(Fleet &,
                                                const InstanceIdentity &)>
      MakePlatform;
  /// False: the controllers of Make find out configuration, members and health
  /// by themselves.
  bool PublishesViews = true;
  EventLog *Log = nullptr;
};

/// One request as the world knows it.
struct TrackedRequest {
  ServiceId Service{};
  TimePoint Submitted;
  TimePoint Ended;
  bool IsEnded = false;
  OutcomeKind Kind = OutcomeKind::Unknown;
  std::uint32_t Runs = 0;
};

/// The books, closed.
struct WorldReport {
  std::uint64_t Submitted = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t AlreadyRun = 0;
  /// Requests that ran more often than once.
  std::uint64_t RunsOverLimit = 0;
  /// Numbers that were refused as not run, and did run at some time.
  std::uint64_t FalseRefusals = 0;
  /// Answers that were not the caller's own, or not whole.
  std::uint64_t WrongAnswers = 0;
  /// Arrivals at upstreams beyond their slots.
  std::uint64_t SlotsOverLimit = 0;
  /// Arrivals at a cold upstream beyond the one that it bears.
  std::uint64_t ColdOverLimit = 0;
  std::uint64_t Misdelivered = 0;
  std::uint64_t PacketsAfterWithdrawal = 0;
};

/// Not thread-safe.
class RequestWorld {
public:
  /// After this a new fleet lends every slot.
  static constexpr Duration WarmUp = std::chrono::seconds(8);

  explicit RequestWorld(RequestWorldOptions opt);
  RequestWorld(const RequestWorld &) = delete;
  auto operator=(const RequestWorld &) -> RequestWorld & = delete;
  ~RequestWorld();

  auto run(Duration d) -> void;
  /// Submits \p spec for caller \p caller; the body is filled in when empty.
  /// Returns the identifier of the request in requests().
  auto submit(std::size_t caller, RequestSpec spec) -> std::uint64_t;
  auto cancel(std::uint64_t request) -> void;
  /// Submits and runs until the request has ended.
  auto submitAndWait(std::size_t caller, RequestSpec spec) -> TrackedRequest;

  auto kill(const std::string &name) -> void;
  /// Starts a new instance \p name in \p dc.
  auto join(const std::string &name, const std::string &dc) -> void;
  auto restart(const std::string &name) -> void;
  auto setPaused(const std::string &name, bool paused) -> void;
  auto beginStop(const std::string &name) -> void;
  auto setCut(const std::string &dcA, const std::string &dcB, bool cut) -> void;
  auto setWithdrawn(const std::string &dc, bool withdrawn) -> void;

  /// "north-0" and so on, killed ones included.
  auto instanceNames() const -> const std::vector<std::string> & {
    return Names;
  }
  auto isUsable(const std::string &name) const -> bool;
  auto host(std::size_t n) -> UpstreamModel &;
  auto hostCount() const -> std::size_t { return Hosts.size(); }
  auto hostDataCentre(std::size_t n) const -> const std::string &;
  auto hostAddress(std::size_t n) const -> const Endpoint &;
  /// Adds host \p n of service \p s in \p dc to the world and configuration().
  auto addHost(const std::string &dc, ServiceId s, std::size_t n) -> void;
  /// Sends \p p from host \p n to the instance called \p to.
  auto sendFromHost(std::size_t n, const std::string &to, const Packet &p)
      -> void;
  /// Hands \p p to some instance of \p dc, as the fabric does.
  auto sendToFabric(const std::string &dc, const Packet &p) -> void;
  auto caller(std::size_t n) -> Caller &;
  auto requests() const -> const std::vector<TrackedRequest> & {
    return Tracked;
  }
  auto report() const -> WorldReport;
  /// The sum of a counter over the running instances, and over those that
  /// ended as it was then.
  auto counter(const std::string &name) -> std::uint64_t;
  /// Requests a second that the hosts of \p s bear when warm.
  auto capacity(ServiceId s) const -> double;
  auto now() const -> TimePoint { return Nodes.Time.now(); }
  auto fleet() -> Fleet & { return Nodes; }
  auto configuration() -> Configuration & { return Config; }
  auto publishConfiguration() -> void { Nodes.publishConfiguration(Config); }
  /// A packet as if caller \p caller had sent it, to instance \p name.
  auto inject(const std::string &name, const Packet &p) -> void {
    Nodes.fromFabric(name, p);
  }

  static auto booking() -> ServiceId;
  static auto uploads() -> ServiceId;

  /// Packets that are not of the request plane: to host number \p host from the
  /// instance \p from, and to callers. Null: lost.
  std::function<void(std::size_t host, const std::string &from, const Packet &)>
      OnHostPacket;
  std::function<void(const Packet &)> OnFlowPacket;
  /// Called for each reply that a caller gets, before the caller.
  std::function<void(std::size_t caller, const Packet &)> OnReply;
  /// Asked for each packet of a caller; true drops it.
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
