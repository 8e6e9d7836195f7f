/// \file
/// Stand-in for upstreams, for demos and tests on one machine. One process
/// runs any number of upstreams, each on its own UDP address.
/// fakes::UpstreamModel implements their behaviour.
///
/// The first eight bytes of a request's body, little-endian, are the time in
/// microseconds that an upstream of ordinary speed takes to run the request; a
/// shorter body stands for a default time. The answer to a request is the
/// request's body. The answer to a flow packet is the upstream's name, a space,
/// and the packet's payload.
///
/// HTTP: `GET /state` returns all counters. `GET /standin/ran` returns, for
/// each run of a request, the number in the second eight bytes of its body.
/// `POST /standin/command?upstream=NAME&do=COMMAND` runs a command at one
/// upstream, or at all upstreams if NAME is `*`. COMMAND is cold, warm, kill,
/// restart, drain, undrain, shed, unshed, silent, unsilent, expect-none,
/// expect-no-new or expect-any.
#include "boragebridge/clock.h"
#include "fakes/upstream_model.h"
#include "health/health_wire.h"
#include "logging/process_events.h"
#include "logging/process_log.h"
#include "net/http_server.h"
#include "net/packet_socket.h"
#include "process/program.h"
#include "request/messages.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <boost/url/parse.hpp>
#include <xxhash.h>

#include <cstring>

namespace boragebridge {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr auto PollInterval = std::chrono::milliseconds(2);
constexpr Duration DefaultWorkTime = std::chrono::milliseconds(20);
constexpr Duration MaxWorkTime = std::chrono::minutes(1);
/// The most requests of each upstream whose result is pending. A full table is
/// cleared.
constexpr std::size_t PendingLimit = 10000;
/// The most runs of each upstream that are kept for `/standin/ran`.
constexpr std::size_t RunLimit = 1'000'000;

struct UpstreamEntry {
  std::string Name;
  Endpoint Address;
  std::string Service;
  fakes::UpstreamOptions Model;
};

struct Settings {
  Endpoint Http;
  std::vector<UpstreamEntry> Upstreams;
  LogSettings Log;
};

/// Returns the work time that a request's body starts with, at most
/// MaxWorkTime.
auto readWorkTime(ByteView body) -> Duration {
  std::uint64_t us = 0;
  if (body.size() < sizeof(us))
    return DefaultWorkTime;
  std::memcpy(&us, body.data(), sizeof(us));
  const auto limit = static_cast<std::uint64_t>(MaxWorkTime.count() / 1000);
  return std::chrono::microseconds(std::min(us, limit));
}

/// One upstream and its socket.
class Upstream {
public:
  Upstream(const UpstreamEntry &entry, std::unique_ptr<PacketSocket> socket,
           const Clock &time)
      : Entry(entry), Socket(std::move(socket)), Time(time),
        Model(entry.Model, time.now()) {
    Socket->start(
        [this](const auto &from, const auto &p) { onPacket(from, p); });
  }

  auto poll() -> void {
    for (const auto &it : Model.poll(Time.now()))
      sendResult(it);
  }
  auto name() const -> const std::string & { return Entry.Name; }
  auto model() -> fakes::UpstreamModel & { return Model; }
  auto now() const -> TimePoint { return Time.now(); }
  auto runNumbers() const -> const std::vector<std::uint64_t> & {
    return RunNumbers;
  }

  auto dump() const -> json::object {
    const auto &c = Model.counts();
    return {{"service", Entry.Service},
            {"slots", Entry.Model.Slots},
            {"answered", c.Answered},
            {"refused", c.Refused},
            {"work_done_us",
             std::chrono::duration_cast<std::chrono::microseconds>(c.WorkDone)
                 .count()},
            {"over_limit", c.OverLimit},
            {"cold_over_limit", c.ColdOverLimit},
            {"falls", c.Crashes},
            {"misdelivered", c.Misdelivered},
            {"repeated_runs", c.RepeatedRuns},
            {"packets_after_withdrawal", c.PacketsAfterWithdrawal},
            {"new_work_after_leave", c.NewWorkAfterDrain},
            {"flow_packets", FlowPackets},
            {"flow_resets", FlowResets},
            {"malformed", Malformed + Socket->counts().Malformed},
            {"active_requests", Model.activeRequests()},
            {"connections", Model.connections()},
            {"speed_percent", Entry.Model.SpeedPercent},
            {"cold", Model.isCold()}};
  }

private:
  using PacketMethod = void (Upstream::*)(const Endpoint &, const Packet &);
  struct Route {
    PacketKind Kind;
    PacketMethod Handle;
  };

  auto onPacket(const Endpoint &from, const Packet &p) -> void {
    static constexpr std::array Routes{
        Route{PacketKind::FlowOpen, &Upstream::onFlow},
        Route{PacketKind::FlowData, &Upstream::onFlow},
        Route{PacketKind::FlowClose, &Upstream::onFlow},
        Route{PacketKind::FlowReset, &Upstream::onFlow},
        Route{PacketKind::Execute, &Upstream::onExecute},
        Route{PacketKind::Cancel, &Upstream::onCancel},
        Route{PacketKind::Probe, &Upstream::onProbe},
    };
    for (const auto &it : Routes)
      if (it.Kind == p.Kind)
        return (this->*it.Handle)(from, p);
    ++Malformed;
  }

  auto onFlow(const Endpoint &from, const Packet &p) -> void {
    ++FlowPackets;
    const auto answer = Model.onFlow(Time.now(), p.Kind, p.Flow);
    const bool wantsAnswer =
        p.Kind == PacketKind::FlowOpen || p.Kind == PacketKind::FlowData;
    if (answer == fakes::FlowAnswer::NoAnswer || !wantsAnswer)
      return;
    Packet out{PacketKind::FlowData, p.Flow, {}};
    if (answer == fakes::FlowAnswer::Reset) {
      ++FlowResets;
      out.Kind = PacketKind::FlowReset;
    }
    const auto name = std::as_bytes(std::span(Entry.Name));
    out.Payload.assign(name.begin(), name.end());
    out.Payload.push_back(std::byte{' '});
    out.Payload.insert(out.Payload.end(), p.Payload.begin(), p.Payload.end());
    Socket->send(from, out);
  }

  auto onExecute(const Endpoint &from, const Packet &p) -> void {
    wire::request::ExecuteT in;
    if (!decode(p.Payload, in)) {
      ++Malformed;
      return;
    }
    const auto work = readWorkTime(std::as_bytes(std::span(in.body)));
    const fakes::ModelRequestKey key{CallerId{in.caller}, in.number};
    if (Pending.size() >= PendingLimit)
      Pending.clear();
    const auto route = NextRoute++;
    Pending[route] = {from, p.Flow, in.attempt, std::move(in.body)};
    Model.execute(Time.now(),
                  {key, static_cast<std::uint32_t>(in.attempt),
                   ServiceId{in.service}, work,
                   std::chrono::milliseconds(in.remaining_ms), route});
  }

  auto onCancel(const Endpoint &, const Packet &p) -> void {
    wire::request::CancelT in;
    if (!decode(p.Payload, in)) {
      ++Malformed;
      return;
    }
    Model.cancel(Time.now(), {CallerId{in.caller}, in.number});
  }

  auto onProbe(const Endpoint &from, const Packet &p) -> void {
    if (!decodeProbe(p.Payload)) {
      ++Malformed;
      return;
    }
    if (auto r = Model.report(Time.now()))
      Socket->send(from, {PacketKind::Report, p.Flow, encodeReport(*r)});
  }

  auto sendResult(const fakes::ExecuteResult &r) -> void {
    auto it = Pending.find(r.Route);
    if (it == Pending.end())
      return;
    // Unless it was refused, the request ran, completely or in part.
    if (r.Kind != fakes::ResultKind::Refused)
      recordRun(std::as_bytes(std::span(it->second.Body)));
    wire::request::ResultT out;
    out.caller = raw(r.Key.Caller);
    out.number = r.Key.Number;
    out.attempt = it->second.Attempt;
    out.outcome = outcomeOf(r.Kind);
    if (r.Kind == fakes::ResultKind::Answer)
      out.body = it->second.Body;
    out.digest = XXH3_64bits(out.body.data(), out.body.size());
    Socket->send(it->second.From,
                 {PacketKind::Result, it->second.Flow, encode(out)});
    Pending.erase(it);
  }

  auto recordRun(ByteView body) -> void {
    std::uint64_t number = 0;
    if (body.size() < 2 * sizeof(number) || RunNumbers.size() >= RunLimit)
      return;
    std::memcpy(&number, body.data() + sizeof(number), sizeof(number));
    RunNumbers.push_back(number);
  }

  static auto outcomeOf(fakes::ResultKind k) -> wire::request::ResultOutcome {
    switch (k) {
    case fakes::ResultKind::Answer:
      return wire::request::ResultOutcome::Answered;
    case fakes::ResultKind::Refused:
      return wire::request::ResultOutcome::Refused;
    case fakes::ResultKind::DeadlineExceeded:
    case fakes::ResultKind::Cancelled:
      break;
    }
    return wire::request::ResultOutcome::Stopped;
  }

  /// The destination of an attempt's result, and the body of its answer.
  struct PendingAnswer {
    Endpoint From;
    FlowKey Flow;
    std::uint64_t Attempt = 0;
    std::vector<std::uint8_t> Body;
  };

  UpstreamEntry Entry;
  std::unique_ptr<PacketSocket> Socket;
  const Clock &Time;
  fakes::UpstreamModel Model;
  std::unordered_map<std::uint64_t, PendingAnswer> Pending;
  std::vector<std::uint64_t> RunNumbers;
  std::uint64_t NextRoute = 1;
  std::uint64_t FlowPackets = 0;
  std::uint64_t FlowResets = 0;
  std::uint64_t Malformed = 0;
};

/// A command that `/standin/command` accepts.
struct Command {
  std::string_view Name;
  void (*Apply)(fakes::UpstreamModel &, TimePoint);
};

using Model = fakes::UpstreamModel;
constexpr std::array Commands{
    Command{"cold", [](Model &m, TimePoint now) { m.turnCold(now); }},
    Command{"warm", [](Model &m, TimePoint) { m.warmUp(); }},
    Command{"kill", [](Model &m, TimePoint now) { m.kill(now); }},
    Command{"restart", [](Model &m, TimePoint now) { m.restart(now); }},
    Command{"drain", [](Model &m, TimePoint) { m.setDraining(true); }},
    Command{"undrain", [](Model &m, TimePoint) { m.setDraining(false); }},
    Command{"shed", [](Model &m, TimePoint) { m.setShedding(true); }},
    Command{"unshed", [](Model &m, TimePoint) { m.setShedding(false); }},
    Command{"silent", [](Model &m, TimePoint) { m.setUnresponsive(true); }},
    Command{"unsilent", [](Model &m, TimePoint) { m.setUnresponsive(false); }},
    Command{"expect-none",
            [](Model &m, TimePoint now) { m.expectNoPackets(now); }},
    Command{"expect-no-new",
            [](Model &m, TimePoint now) { m.expectNoNewWork(now); }},
    Command{"expect-any",
            [](Model &m, TimePoint) {
              m.expectNoPackets({});
              m.expectNoNewWork({});
            }},
};

/// The upstreams of the process and its HTTP commands.
class Standin {
public:
  explicit Standin(asio::io_context &io) : Timer(io) {}

  auto open(asio::io_context &io, const Settings &s) -> absl::Status {
    for (const auto &it : s.Upstreams) {
      auto socket = PacketSocket::open(io, it.Address);
      if (!socket.ok())
        return socket.status();
      Upstreams.push_back(
          std::make_unique<Upstream>(it, *std::move(socket), Time));
    }
    poll();
    return absl::OkStatus();
  }

  auto handle(const HttpRequest &r, const HttpRespond &respond) -> void {
    auto url = boost::urls::parse_origin_form(r.Target);
    if (url && url->path() == "/state")
      return respond({200, "application/json", dump(), {}});
    if (url && url->path() == "/standin/ran")
      return respond({200, "application/json", dumpRuns(), {}});
    if (!url || url->path() != "/standin/command" || r.Method != "POST")
      return respond({404, "text/plain", "no such path\n", {}});
    std::string upstream;
    std::string command;
    for (auto it : url->params())
      (it.key == "upstream" ? upstream : command) = it.value;
    respond(execute(upstream, command));
  }

private:
  auto execute(const std::string &upstream, const std::string &command)
      -> HttpResponse {
    const auto *it =
        std::find_if(Commands.begin(), Commands.end(),
                     [&](const auto &c) { return c.Name == command; });
    if (it == Commands.end())
      return {400, "text/plain", "unknown command '" + command + "'\n", {}};
    std::size_t done = 0;
    for (const auto &candidate : Upstreams)
      if (upstream == "*" || upstream == candidate->name()) {
        it->Apply(candidate->model(), candidate->now());
        ++done;
      }
    if (done == 0)
      return {404, "text/plain", "no upstream '" + upstream + "'\n", {}};
    return {200, "text/plain", std::to_string(done) + " done\n", {}};
  }

  auto dump() const -> std::string {
    json::object root;
    for (const auto &it : Upstreams)
      root[it->name()] = it->dump();
    return json::serialize(root);
  }

  auto dumpRuns() const -> std::string {
    json::array all;
    for (const auto &it : Upstreams)
      for (auto n : it->runNumbers())
        all.emplace_back(n);
    return json::serialize(all);
  }

  auto poll() -> void {
    for (const auto &it : Upstreams)
      it->poll();
    Timer.expires_after(PollInterval);
    Timer.async_wait([this](auto ec) {
      if (!ec)
        poll();
    });
  }

  SteadyClock Time;
  asio::steady_timer Timer;
  std::vector<std::unique_ptr<Upstream>> Upstreams;
};

auto readUpstream(SettingsReader in) -> UpstreamEntry {
  UpstreamEntry out;
  out.Name = in.text("name");
  out.Address = in.endpoint("address");
  auto &m = out.Model;
  out.Service = in.text("service");
  m.Service = idFromName<ServiceId>(out.Service);
  m.ServiceAddress = in.endpoint("service_address");
  m.Slots = static_cast<std::uint32_t>(in.number("slots", {1, 1000}, 2));
  m.Connections = static_cast<std::uint32_t>(
      in.number("connections", {1, 1'000'000}, 2000));
  m.SpeedPercent =
      static_cast<std::uint32_t>(in.number("speed_percent", {1, 10000}, 100));
  m.StartsCold = in.flag("starts_cold", true);
  m.Seed = hashName(out.Name);
  return out;
}

auto readSettings(const std::string &path) -> absl::StatusOr<Settings> {
  auto root = SettingsReader::fromFile(path);
  if (!root.ok())
    return root.status();
  Settings s;
  s.Http = root->endpoint("http");
  for (auto &it : root->sections("upstreams"))
    s.Upstreams.push_back(readUpstream(it));
  s.Log = LogSettings::read(root->section("log"));
  if (auto status = root->finish(); !status.ok())
    return status;
  return s;
}

auto run(const Settings &s) -> absl::Status {
  ProcessLog log("upstream_standin", s.Log);
  asio::io_context io;
  Standin standin(io);
  if (auto status = standin.open(io, s); !status.ok())
    return status;
  auto server =
      HttpServer::open(io, s.Http, [&standin](const auto &r, auto respond) {
        standin.handle(r, respond);
      });
  if (!server.ok())
    return server.status();
  StopSignal stop(io, [&io] { io.stop(); });
  log.write(events::ProcessStarted, {{"http", toString(s.Http)}});
  io.run();
  log.write(events::ProcessStopped, {});
  return absl::OkStatus();
}

} // namespace

} // namespace boragebridge

auto main(int argc, char **argv) -> int {
  using namespace boragebridge;
  return runProgram<Settings>(
      argc, argv,
      {"boragebridge_upstream_standin",
       "Stand-in for upstream hosts, for demos and tests"},
      readSettings, run);
}
