/// \file
/// Runs an entry instance as a process: the library's Instance on Boost.Asio.
///
/// The instance uses one address for peers (TCP) and packets (UDP). Its HTTP
/// server has the administration API under /v1, `/metrics`, `/state`, and
/// `/ready`, which returns 200 while the instance accepts new packets. SIGTERM
/// starts a planned stop.
#include "admin/administration_api.h"
#include "boragebridge/instance.h"
#include "config/configuration_controller.h"
#include "logging/process_events.h"
#include "logging/process_log.h"
#include "net/http_server.h"
#include "net/tcp_peer_link.h"
#include "net/udp_packet_sink.h"
#include "process/program.h"
#include "store/http_platform.h"

#include <boost/asio/steady_timer.hpp>

namespace boragebridge {

namespace {

namespace asio = boost::asio;

struct Settings {
  InstanceIdentity Self;
  Endpoint Fabric;
  Endpoint Http;
  Endpoint Platform;
  Duration StopLimit{};
  AdminSettings Admin;
  LogSettings Log;
};

/// The instance with its sockets, its HTTP server and its timer.
class Daemon {
public:
  explicit Daemon(const Settings &s)
      : Options(s), Log(s.Self.Name, s.Log),
        Platform(Io, {.Address = s.Platform}), Timer(Io),
        Stop(Io, [this] { beginStop(); }) {
    Options.Self.IncarnationNumber = Incarnation{Random.next()};
  }

  auto run() -> absl::Status {
    if (auto status = open(); !status.ok())
      return status;
    Log.write(events::ProcessStarted,
              {{"address", toString(Options.Self.PeerAddress)},
               {"http", toString(Options.Http)}});
    EntryInstance->start();
    tick();
    Io.run();
    Log.write(events::ProcessStopped, {});
    return absl::OkStatus();
  }

private:
  auto open() -> absl::Status {
    auto socket = PacketSocket::open(Io, Options.Self.PeerAddress);
    if (!socket.ok())
      return socket.status();
    Socket = *std::move(socket);
    PacketSender = std::make_unique<UdpPacketSink>(*Socket, Options.Fabric);
    auto peers = TcpPeerLink::open(Io, Options.Self, Time, Random, Log);
    if (!peers.ok())
      return peers.status();
    Peers = *std::move(peers);
    EntryInstance = std::make_unique<Instance>(
        Options.Self,
        Environment{Time, Random, *PacketSender, *Peers, Platform, Log});
    auto *config = dynamic_cast<ConfigurationController *>(
        EntryInstance->findController("configuration"));
    if (config == nullptr)
      return absl::InternalError("no configuration controller");
    Admin = std::make_unique<AdministrationApi>(Time, EntryInstance->metrics(),
                                                Log, EntryInstance->board(),
                                                *config, Options.Admin);
    Peers->start(
        [this](const auto &f) { return EntryInstance->onPeerFrame(f); });
    Socket->start([this](const auto &from, const auto &p) {
      EntryInstance->onPacket(PacketSender->originOf(from), from, p);
    });
    auto server =
        HttpServer::open(Io, Options.Http, [this](const auto &r, auto respond) {
          handle(r, respond);
        });
    if (!server.ok())
      return server.status();
    Server = *std::move(server);
    return absl::OkStatus();
  }

  auto tick() -> void {
    EntryInstance->tick();
    Admin->tick();
    const auto now = Time.now();
    if (Stopping && EntryInstance->isStopped())
      return Io.stop();
    if (Stopping && now - StopStartedAt > Options.StopLimit) {
      Log.write(events::StopLimitReached, {});
      return Io.stop();
    }
    Timer.expires_after(Instance::TickInterval);
    Timer.async_wait([this](auto ec) {
      if (!ec)
        tick();
    });
  }

  auto beginStop() -> void {
    Log.write(events::ProcessStopping, {});
    Stopping = true;
    StopStartedAt = Time.now();
    EntryInstance->beginStop();
  }

  auto handle(const HttpRequest &r, const HttpRespond &respond) -> void {
    if (r.Target == "/ready")
      return respond({isReady() ? 200U : 503U, "text/plain", "", {}});
    if (r.Target == "/state")
      return respond({200, "application/json", EntryInstance->dumpState(), {}});
    if (r.Target == "/metrics") {
      publishTransportMetrics();
      return respond({200,
                      "text/plain; version=0.0.4",
                      EntryInstance->metrics().renderText(),
                      {}});
    }
    Admin->handle({r.Method, r.Target, r.Headers, r.Body,
                   std::chrono::system_clock::now()},
                  [respond](AdminResponse out) {
                    respond({out.Status, std::move(out.ContentType),
                             std::move(out.Body), std::move(out.Headers)});
                  });
  }

  auto isReady() -> bool {
    return !Stopping && EntryInstance->board().Readiness.read()->MayServe;
  }

  auto publishTransportMetrics() -> void {
    auto &m = EntryInstance->metrics();
    const auto &p = Peers->counts();
    const auto &s = Socket->counts();
    const auto set = [&m](const char *name, const char *help, auto v) {
      m.gauge(name, help).set(static_cast<double>(v));
    };
    set("peer_frames_sent", "Peer frames sent", p.FramesSent);
    set("peer_frames_received", "Peer frames received", p.FramesReceived);
    set("peer_bytes_sent", "Bytes of peer frames sent", p.BytesSent);
    set("peer_frames_dropped", "Peer frames dropped at a limit",
        p.FramesDropped);
    set("peer_frames_queued", "Peer frames that wait", Peers->queuedFrames());
    set("peer_connections_cut_malformed", "Peer connections cut: malformed",
        p.ClosedMalformed);
    set("peer_connections_cut_silent", "Peer connections cut: no progress",
        p.ClosedStalled);
    set("packets_sent", "Datagrams sent", s.Sent);
    set("packets_received", "Datagrams received", s.Received);
    set("packets_malformed", "Datagrams that did not verify", s.Malformed);
    set("packets_send_failed", "Datagrams that could not be sent",
        s.SendFailed);
  }

  Settings Options;
  SteadyClock Time;
  SystemRandom Random;
  ProcessLog Log;
  asio::io_context Io{1};
  HttpPlatform Platform;
  std::unique_ptr<PacketSocket> Socket;
  std::unique_ptr<UdpPacketSink> PacketSender;
  std::unique_ptr<TcpPeerLink> Peers;
  std::unique_ptr<Instance> EntryInstance;
  std::unique_ptr<AdministrationApi> Admin;
  std::unique_ptr<HttpServer> Server;
  asio::steady_timer Timer;
  StopSignal Stop;
  bool Stopping = false;
  TimePoint StopStartedAt;
};

auto readToken(SettingsReader in) -> AdminToken {
  constexpr std::size_t Sha256Digits = 64;
  AdminToken out;
  out.Sha256 = in.text("sha256");
  if (out.Sha256.size() != Sha256Digits ||
      out.Sha256.find_first_not_of("0123456789abcdef") != std::string::npos)
    in.reject("sha256", "takes 64 lower-case hexadecimal digits");
  out.Actor = in.text("actor");
  const auto role = in.choice("role", {"reader", "team", "platform"});
  if (role == "platform")
    out.Role = AdminRole::Platform;
  if (role == "team") {
    out.Role = AdminRole::Team;
    out.Team = in.text("team");
  }
  return out;
}

auto readAdmin(SettingsReader in) -> AdminSettings {
  AdminSettings out;
  for (auto &it : in.sections("tokens"))
    out.Tokens.push_back(readToken(it));
  out.Limits.ChangesPerMinute =
      in.real("changes_per_minute", {1, 100000}, out.Limits.ChangesPerMinute);
  return out;
}

auto readSettings(const std::string &path) -> absl::StatusOr<Settings> {
  auto root = SettingsReader::fromFile(path);
  if (!root.ok())
    return root.status();
  using namespace std::chrono_literals;
  Settings s;
  s.Self.Name = root->text("name");
  s.Self.Id = idFromName<InstanceId>(s.Self.Name);
  s.Self.DataCentre = idFromName<DataCentreId>(root->text("data_centre"));
  s.Self.PeerAddress = root->endpoint("address");
  s.Self.Seeds = root->endpoints("seeds");
  s.Fabric = root->endpoint("fabric");
  s.Http = root->endpoint("http");
  s.Platform = root->endpoint("platform");
  s.StopLimit = root->duration("stop_limit", {1s, 1h}, 30s);
  s.Admin = readAdmin(root->section("admin"));
  s.Log = LogSettings::read(root->section("log"));
  if (auto status = root->finish(); !status.ok())
    return status;
  return s;
}

auto run(const Settings &s) -> absl::Status { return Daemon(s).run(); }

} // namespace

} // namespace boragebridge

auto main(int argc, char **argv) -> int {
  using namespace boragebridge;
  return runProgram<Settings>(
      argc, argv, {"boragebridged", "An entry instance"}, readSettings, run);
}
