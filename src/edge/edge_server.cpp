#include "edge/edge_server.h"

#include "boragebridge/metrics.h"
#include "edge/edge_events.h"
#include "edge/edge_metrics.h"
#include "edge/edge_views.h"
#include "edge/flow_log.h"
#include "edge/forwarder.h"
#include "edge/load/load_report.h"
#include "edge/load/placement_explanation.h"
#include "edge/memory_gauges.h"
#include "edge/picker.h"
#include "edge/upstream_lookup.h"
#include "edge/upstream_record_text.h"
#include "logging/process_events.h"
#include "logging/stream_log.h"
#include "net/datagram_socket.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "store/http_platform.h"
#include "store/mirror_api.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <utility>

namespace boragebridge {

namespace asio = boost::asio;

namespace {

constexpr auto TickInterval = std::chrono::milliseconds(20);
constexpr auto ExpireInterval = std::chrono::seconds(1);
constexpr auto ReloadInterval = std::chrono::seconds(3);
constexpr auto StoreTimeout = std::chrono::milliseconds(1500);
constexpr auto WatchGrace = std::chrono::milliseconds(1000);
constexpr auto PollTimeout = std::chrono::milliseconds(700);
/// Longer than MirrorTimeout: the lists may be long and the links slow, and
/// there is no other source while the store is unavailable.
constexpr auto AdoptionTimeout = std::chrono::milliseconds(1500);
constexpr auto MirrorTimeout = std::chrono::milliseconds(500);
/// After this time a client that does not send its request, or does not take
/// its response, is given up.
constexpr auto ServerTimeout = std::chrono::seconds(30);
/// After this time without progress a reader of the mirror that does not take
/// its response is given up. Readers give up their calls sooner, and the
/// responses may be long.
constexpr auto MirrorServerTimeout = std::chrono::seconds(5);
/// No request has a longer body than an address.
constexpr std::size_t RequestBytes = 1024;
/// Path at which an instance accepts advertisements of mirrors. The body is the
/// address of the mirror.
constexpr auto SeedPath = "/v1/seed";

auto textResponse(HttpStatus status, std::string text) -> HttpResponse {
  return {static_cast<unsigned>(status), "text/plain", std::move(text), {}};
}

class EdgeServer {
public:
  EdgeServer(const EdgeSettings &s, const EdgeAdapter &a,
             ReadEdgeSettings readSettings)
      : Settings(s), Adapter(a), ReadSettings(std::move(readSettings)),
        Log(s.InstanceName, Time), Store(Io, {.Address = s.Store,
                                              .Dialect = a.Store,
                                              .Timeout = StoreTimeout,
                                              .WatchGrace = WatchGrace}),
        Random(SystemRandom().next()),
        Platform(
            Store, Time,
            [this](const auto &it, auto view) { return connectTo(it, view); },
            [this](const auto &it, const auto &why) {
              Views.onParentLost(it, why);
            },
            {.Probe = [this](auto done) { probeStore(std::move(done)); }}),
        Quota(s.InstanceName, {.Factor = s.ColdFactor, .Slack = s.ColdSlack}),
        BasePolicy(Directory, Estimates, Quota, Random,
                   {.LocalDataCentre = s.DataCentre}),
        Subsets(Directory, s.InstanceName, s.DataCentre),
        Policy(BasePolicy, Load, Subsets, Random, {.Parts = s.Parts}),
        PacketForwarder(Directory, Estimates, Policy,
                        {.MaxRefusalBytes = a.Packets->maxRefusalBytes(),
                         .MaxAckDelay = a.Packets->maxAckDelay(),
                         .SinglePacketBytes = a.Packets->singlePacketBytes()},
                        s.Parts.Limits ? &Load : nullptr),
        Flows(Log, Directory, Estimates),
        Views(Time, Random, Log, Platform, *a.Records, Directory, Quota,
              {.Self = {s.InstanceName, s.DataCentre, s.Mirror, s.Capacity},
               .Seeds = s.Seeds,
               .Poll =
                   [this](const auto &prefix, auto after, auto done) {
                     ++Totals.Polls;
                     Store.poll(prefix, after, PollTimeout, std::move(done));
                   },
               .MemberSnapshot =
                   [this](auto done) {
                     ++Totals.Snapshots;
                     Store.listSnapshot(Adapter.Records->memberPrefix(),
                                        std::move(done));
                   },
               .Discovery = {.IsNewFleet = s.IsNewFleet},
               .OnMembers =
                   [this](const auto &all) { Subsets.setMembers(all); }}),
        Lookup(
            Time, Log, Directory, [this] { return Views.peers(); },
            [this](const auto &peer, auto tag, const auto &done) {
              askPeer(peer, tag, done);
            }),
        Timer(Io), Signals(Io, SIGTERM, SIGINT, SIGHUP),
        HandshakeMs(Metrics.distribution("edge_handshake_milliseconds",
                                         "From an opening to its answer")) {}

  auto run() -> absl::Status;

private:
  auto listen() -> absl::Status;
  auto listenHttp(const Endpoint &at, Duration timeout, const HttpHandler &h,
                  std::unique_ptr<HttpServer> &out) -> absl::Status;
  auto connectTo(const Endpoint &mirror, MirrorView view)
      -> std::unique_ptr<PlatformClient>;
  /// Handler of the requests of other instances.
  auto makePeerApi() -> HttpHandler;
  /// The response to an instance that asks for the upstream of \p tag.
  auto answerLookup(UpstreamTag tag) -> HttpResponse;
  auto askPeer(const Endpoint &peer, UpstreamTag tag,
               const UpstreamLookup::Answer &done) -> void;
  auto advertiseMirror() -> void;
  /// Finds out whether the store answers, by a cheap call for few objects.
  auto probeStore(StoreProbe::Result done) -> void;
  auto onDatagram(std::span<std::byte> datagram) -> void;
  auto onDecision(const FlowPacket &p, const EdgeDecision &d,
                  std::span<std::byte> datagram) -> void;
  auto reset(const FlowPacket &p, const EdgeDecision &d) -> void;
  auto handleRequest(const HttpRequest &r) -> HttpResponse;
  /// The response to an operator who asks where a new request would go.
  auto explain(const std::string &target) -> HttpResponse;
  auto renderMetrics() -> std::string;
  auto scheduleTick() -> void;
  auto tick() -> void;
  auto logPauseAndSuspects(TimePoint lastTick) -> void;
  auto reload() -> void;
  auto awaitSignal() -> void;
  auto beginStop() -> void;

  EdgeSettings Settings;
  const EdgeAdapter &Adapter;
  ReadEdgeSettings ReadSettings;
  BootClock Time;
  StreamLog Log;
  asio::io_context Io{1};
  HttpPlatform Store;
  SeededRandom Random;
  MirroredPlatform Platform;
  UpstreamDirectory Directory;
  UpstreamEstimates Estimates;
  ColdStartQuota Quota;
  Picker BasePolicy;
  LoadControl Load;
  UpstreamSubsets Subsets;
  LoadAwarePolicy Policy;
  Forwarder PacketForwarder;
  FlowLog Flows;
  EdgeViews Views;
  UpstreamLookup Lookup;
  asio::steady_timer Timer;
  asio::signal_set Signals;
  MetricRegistry Metrics;
  Distribution &HandshakeMs;
  std::unique_ptr<DatagramSocket> Socket;
  std::unique_ptr<HttpServer> Readiness;
  std::unique_ptr<HttpServer> MetricsServer;
  std::unique_ptr<HttpServer> MirrorServer;
  /// Resets of the batch in progress.
  std::array<PacketFormat::ResetBuffer, DatagramSocket::BatchSize> Resets{};
  std::size_t NextReset = 0;
  EdgeTotals Totals;
  TimePoint Now;
  TimePoint LastTick;
  TimePoint LastExpire;
  TimePoint NextReload;
  absl::Status LastReload;
  bool WasReady = false;
  std::optional<TimePoint> StopAt;
};

auto EdgeServer::run() -> absl::Status {
  if (auto s = listen(); !s.ok())
    return s;
  Log.write(events::ProcessStarted, {{"packets", toString(Settings.Packets)},
                                     {"store", toString(Settings.Store)},
                                     {"load", toString(Settings.Parts)},
                                     {"version", BORAGEBRIDGE_VERSION}});
  NextReload = Time.now() + ReloadInterval;
  awaitSignal();
  tick();
  Io.run();
  Log.write(events::ProcessStopped, {});
  return absl::OkStatus();
}

auto EdgeServer::listen() -> absl::Status {
  auto socket = DatagramSocket::open(Io, Settings.Packets);
  if (!socket.ok())
    return socket.status();
  Socket = *std::move(socket);
  auto handler = [this](const HttpRequest &r, const HttpRespond &respond) {
    respond(handleRequest(r));
  };
  if (auto s =
          listenHttp(Settings.Readiness, ServerTimeout, handler, Readiness);
      !s.ok())
    return s;
  // Packets are forwarded even if the metrics or the mirror cannot be served.
  for (const auto &s :
       {listenHttp(Settings.Metrics, ServerTimeout, handler, MetricsServer),
        listenHttp(Settings.Mirror, MirrorServerTimeout, makePeerApi(),
                   MirrorServer)})
    if (!s.ok())
      Log.write(events::ListenFailed, {{"why", std::string(s.message())}});
  Socket->start([this](auto datagram, const auto &) { onDatagram(datagram); });
  return absl::OkStatus();
}

auto EdgeServer::listenHttp(const Endpoint &at, Duration timeout,
                            const HttpHandler &h,
                            std::unique_ptr<HttpServer> &out) -> absl::Status {
  if (at.Port == 0)
    return absl::OkStatus();
  auto server = HttpServer::open(
      Io, at, h, {.Timeout = timeout, .RequestBytes = RequestBytes});
  if (!server.ok())
    return server.status();
  out = *std::move(server);
  return absl::OkStatus();
}

auto EdgeServer::connectTo(const Endpoint &mirror, MirrorView view)
    -> std::unique_ptr<PlatformClient> {
  HttpPlatformSettings settings{.Address = mirror,
                                .Dialect = std::make_shared<MirrorDialect>(),
                                .AcceptsDeflate = true};
  settings.Timeout = MirrorTimeout;
  if (view == MirrorView::Any) {
    settings.Dialect = std::make_shared<UnconfirmedDialect>();
    settings.Timeout = AdoptionTimeout;
  }
  settings.WatchGrace = MirrorTimeout;
  settings.StallTimeout = MirrorTimeout;
  return std::make_unique<HttpPlatform>(Io, std::move(settings));
}

auto EdgeServer::makePeerApi() -> HttpHandler {
  return [this, mirror = makeMirrorApi(Views.mirror(), Time)](
             const HttpRequest &r, const HttpRespond &respond) {
    if (const auto tag = parseLookupTarget(r.Target); tag != UpstreamTag::None)
      return respond(answerLookup(tag));
    if (r.Method != "POST" || r.Target != SeedPath)
      return mirror(r, respond);
    Endpoint peer;
    if (!parseEndpoint(r.Body, peer))
      return respond(textResponse(HttpStatus::BadRequest, "no address\n"));
    Views.onMirrorAdvertised(peer);
    respond(textResponse(HttpStatus::Ok, ""));
  };
}

auto EdgeServer::answerLookup(UpstreamTag tag) -> HttpResponse {
  const auto now = Time.now();
  const auto *u = PacketForwarder.upstreamWithFlows(tag, now);
  if (u == nullptr)
    return textResponse(HttpStatus::NotFound, "unknown\n");
  auto r = u->Record;
  r.ColdFor = std::max(u->ColdUntil - now, Duration::zero());
  return {static_cast<unsigned>(HttpStatus::Ok),
          "application/json",
          formatUpstreamRecord(r),
          {}};
}

auto EdgeServer::askPeer(const Endpoint &peer, UpstreamTag tag,
                         const UpstreamLookup::Answer &done) -> void {
  httpCall(
      Io, peer,
      {.Method = "GET", .Target = lookupTarget(tag), .Body = {}, .Headers = {}},
      MirrorTimeout, [done](const auto &r) {
        if (!r.ok())
          return done(r.status());
        if (r->Status != static_cast<unsigned>(HttpStatus::Ok))
          return done(absl::NotFoundError("no such upstream"));
        done(parseUpstreamRecord(r->Body));
      });
}

auto EdgeServer::probeStore(StoreProbe::Result done) -> void {
  // Of no era: if the store has eras, the poll says so without reading changes.
  constexpr ObjectVersion AnyVersion = 1;
  ++Totals.Polls;
  Store.poll(Adapter.Records->withdrawalPrefix(), AnyVersion, PollTimeout,
             [done = std::move(done)](const auto &r) {
               // That the history is gone or too long is an answer as well.
               done(r.ok() || absl::IsOutOfRange(r.status()) ||
                    absl::IsDataLoss(r.status()));
             });
}

auto EdgeServer::advertiseMirror() -> void {
  for (const auto &it : Views.nextAdvertisements(Now))
    // A lost advertisement does no harm: the next round sends it again.
    httpCall(Io, it,
             {.Method = "POST",
              .Target = SeedPath,
              .Body = toString(Settings.Mirror),
              .Headers = {}},
             MirrorTimeout, [](const auto &) {});
}

auto EdgeServer::onDatagram(std::span<std::byte> datagram) -> void {
  FlowPacket p;
  if (!Adapter.Packets->decode(datagram, p)) {
    ++Totals.Malformed;
    Log.write(
        events::PacketRefused,
        {{"why", "malformed"}, {"bytes", std::to_string(datagram.size())}});
    return;
  }
  Now = Time.now();
  const auto d = PacketForwarder.decide(p, Now);
  if (isOfUnknownLifetime(d.Reason))
    Lookup.onUnknownTag(p.Tag, Now);
  onDecision(p, d, datagram);
}

auto EdgeServer::onDecision(const FlowPacket &p, const EdgeDecision &d,
                            std::span<std::byte> datagram) -> void {
  if (const auto took = PacketForwarder.lastAnswerTime();
      took > Duration::zero())
    HandshakeMs.record(std::chrono::duration<double, std::milli>(took).count());
  switch (d.Action) {
  case EdgeAction::Forward:
    Socket->queue(Adapter.Packets->encapsulate(datagram, d.Upstream->Tag,
                                               d.Upstream->Record.WireId),
                  d.Upstream->Record.Address);
    if (p.Opens)
      Flows.onOpened(p, d, Views.age(Now), Now);
    return;
  case EdgeAction::Reset:
    return reset(p, d);
  case EdgeAction::Drop:
    return;
  }
}

auto EdgeServer::reset(const FlowPacket &p, const EdgeDecision &d) -> void {
  auto &buf = Resets[NextReset++ % Resets.size()];
  Socket->queue(Adapter.Packets->makeReset(p, buf),
                Adapter.Packets->callerAddress(p.Flow.Caller));
  if (d.Reason == EdgeReason::Overloaded)
    logTurnedAway(Log, p, Policy, Views.age(Now));
  else
    Flows.onReset(p, d, Views.age(Now), Now);
}

auto EdgeServer::handleRequest(const HttpRequest &r) -> HttpResponse {
  if (r.Target == "/metrics")
    return {static_cast<unsigned>(HttpStatus::Ok),
            "text/plain; version=0.0.4",
            renderMetrics(),
            {}};
  if (isExplainTarget(r.Target))
    return explain(r.Target);
  if (Views.isComplete() && !StopAt)
    return textResponse(HttpStatus::Ok, "ready");
  return textResponse(HttpStatus::ServiceUnavailable, "not ready");
}

auto EdgeServer::explain(const std::string &target) -> HttpResponse {
  const auto route = parseExplainTarget(target);
  if (!route.ok())
    return textResponse(HttpStatus::BadRequest,
                        std::string(route.status().message()));
  const auto now = Time.now();
  const auto e = explainPlacement({Directory, BasePolicy, Load, Policy}, *route,
                                  Views.age(now), now);
  if (!e.ok())
    return textResponse(HttpStatus::NotFound,
                        std::string(e.status().message()));
  return textResponse(HttpStatus::Ok, render(*e));
}

auto EdgeServer::renderMetrics() -> std::string {
  setPacketMetrics(Metrics, PacketForwarder, Socket->counts(), Totals);
  setReadMetrics(Metrics, Platform, Totals);
  setViewMetrics(Metrics, Views, Directory, Time.now());
  Metrics.setTotal("edge_log_lines_left_out_total", "Log lines over a limit",
                   Log.droppedLines());
  setLoadMetrics(Metrics, Load, Settings.Parts);
  setMemoryGauges(Metrics, std::as_const(Views).mirror());
  return Metrics.renderText();
}

auto EdgeServer::scheduleTick() -> void {
  Timer.expires_after(TickInterval);
  Timer.async_wait([this](auto ec) {
    if (!ec)
      tick();
  });
}

auto EdgeServer::tick() -> void {
  // Packets queued in the socket may be the answers that tick() would miss.
  Socket->receivePending();
  Now = Time.now();
  PacketForwarder.tick(Now);
  logPauseAndSuspects(std::exchange(LastTick, Now));
  logPressureChanges(Log, Load, Now);
  Views.tick(Now);
  advertiseMirror();
  if (Now >= NextReload)
    reload();
  if (Now - LastExpire >= ExpireInterval) {
    Directory.expire(Now);
    Load.tick(Now);
    LastExpire = Now;
  }
  if (!WasReady && Views.isComplete()) {
    WasReady = true;
    Log.write(
        events::EdgeReady,
        {{"upstreams", std::to_string(Directory.size())},
         {"configuration", std::to_string(Directory.configuration().Version)}});
  }
  Log.flush();
  if (StopAt && Now >= *StopAt)
    return Io.stop();
  scheduleTick();
}

auto EdgeServer::logPauseAndSuspects(TimePoint lastTick) -> void {
  if (lastTick != TimePoint{} &&
      Now - lastTick > ForwarderOptions().PauseThreshold)
    Log.write(events::ProcessPaused,
              {{"pause_ms", inMilliseconds(Now - lastTick)}});
  for (const auto tag : Estimates.takeSuspects())
    if (const auto *u = Directory.find(tag))
      Log.write(
          events::UpstreamSuspected,
          {{"upstream", u->Record.Name},
           {"strikes", std::to_string(Estimates.failures(*u))},
           {"expected_ms", inMilliseconds(Estimates.expectedTime(*u, Now))}});
}

auto EdgeServer::reload() -> void {
  NextReload = Now + ReloadInterval;
  auto s = ReadSettings();
  const auto hasChanged = s.ok() ? *s != Settings : s.status() != LastReload;
  LastReload = s.status();
  if (!hasChanged)
    return;
  Log.write(events::SettingsReloaded,
            {{"result", s.ok() ? "changed" : std::string(s.status().message())},
             {"store", toString(s.ok() ? s->Store : Settings.Store)}});
  if (!s.ok())
    return;
  Settings = *std::move(s);
  Store.setAddress(Settings.Store);
  Views.setSeeds(Settings.Seeds);
  Quota.setOptions(
      {.Factor = Settings.ColdFactor, .Slack = Settings.ColdSlack});
}

auto EdgeServer::awaitSignal() -> void {
  Signals.async_wait([this](auto ec, int number) {
    if (ec)
      return;
    if (number == SIGHUP)
      reload();
    else
      beginStop();
    awaitSignal();
  });
}

auto EdgeServer::beginStop() -> void {
  if (StopAt)
    return;
  StopAt = Time.now() + Settings.StopDelay;
  Log.write(events::ProcessStopping,
            {{"in_ms", inMilliseconds(Settings.StopDelay)}});
}

} // namespace

auto runEdge(const EdgeSettings &settings, const EdgeAdapter &adapter,
             const ReadEdgeSettings &readSettings) -> absl::Status {
  // On the heap because the buffers of the server take many kilobytes.
  return std::make_unique<EdgeServer>(settings, adapter, readSettings)->run();
}

} // namespace boragebridge
