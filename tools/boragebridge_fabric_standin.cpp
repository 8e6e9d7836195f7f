/// \file
/// Stand-in for the fabric, for demos and tests on one machine.
///
/// Each data centre has one UDP address. Each packet from a caller is forwarded
/// to a randomly chosen live instance of the data centre, independently of
/// earlier packets. A packet from an instance is forwarded to the caller of its
/// flow. The list of live instances is updated with a delay, since each
/// instance is polled once in each poll interval.
///
/// HTTP: `GET /state` returns the live instances and the packet counters.
/// `POST /standin/cut?data_centre=NAME&on=1` drops all packets of a data centre
/// until the same request with `on=0`.
#include "logging/process_events.h"
#include "logging/process_log.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/packet_socket.h"
#include "process/program.h"

#include "boragebridge/random.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <unordered_map>
#include <unordered_set>

namespace boragebridge {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

struct InstanceEntry {
  std::string Name;
  Endpoint Address;
  Endpoint Http;
};

struct DataCentreEntry {
  std::string Name;
  Endpoint Address;
  std::vector<InstanceEntry> Instances;
};

struct Settings {
  Endpoint Http;
  Duration PollInterval{};
  std::uint64_t Seed = 1;
  std::vector<DataCentreEntry> DataCentres;
  LogSettings Log;
};

constexpr auto PollTimeout = std::chrono::milliseconds(500);
/// The most entries of the table of return addresses. A full table is cleared.
constexpr std::size_t ReturnAddressLimit = 1'000'000;

/// The fabric of one data centre, which sprays packets over its instances.
class DataCentreFabric {
public:
  DataCentreFabric(asio::io_context &io, DataCentreEntry entry,
                   PacketSocket &socket, std::uint64_t seed)
      : Io(io), Entry(std::move(entry)), Socket(socket), Random(seed),
        Live(Entry.Instances.size(), false) {
    for (const auto &it : Entry.Instances)
      InstanceAddresses.insert(it.Address);
    Socket.start(
        [this](const auto &from, const auto &p) { onPacket(from, p); });
  }

  /// Asks every instance whether it accepts new packets.
  auto poll() -> void {
    for (std::size_t i = 0; i < Entry.Instances.size(); ++i)
      httpCall(
          Io, Entry.Instances[i].Http, {"GET", "/ready", "", {}}, PollTimeout,
          [this, i](const auto &r) { Live[i] = r.ok() && r->Status == 200; });
  }

  auto name() const -> const std::string & { return Entry.Name; }
  auto setCut(bool on) -> void { IsCut = on; }

  auto dump() const -> json::object {
    json::array live;
    for (std::size_t i = 0; i < Live.size(); ++i)
      if (Live[i])
        live.emplace_back(Entry.Instances[i].Name);
    return {{"live", std::move(live)},
            {"to_instances", ToInstances},
            {"to_callers", ToCallers},
            {"dropped", Dropped},
            {"cut", IsCut}};
  }

private:
  auto onPacket(const Endpoint &from, const Packet &p) -> void {
    if (IsCut)
      ++Dropped;
    else if (InstanceAddresses.contains(from))
      toCaller(p);
    else
      toInstance(from, p);
  }

  auto toCaller(const Packet &p) -> void {
    auto it = ReturnAddresses.find(p.Flow.Caller);
    if (it == ReturnAddresses.end()) {
      ++Dropped;
      return;
    }
    ++ToCallers;
    Socket.send(it->second, p);
  }

  auto toInstance(const Endpoint &from, const Packet &p) -> void {
    if (ReturnAddresses.size() >= ReturnAddressLimit)
      ReturnAddresses.clear();
    ReturnAddresses[p.Flow.Caller] = from;
    Candidates.clear();
    for (std::size_t i = 0; i < Live.size(); ++i)
      if (Live[i])
        Candidates.push_back(i);
    if (Candidates.empty()) {
      ++Dropped;
      return;
    }
    ++ToInstances;
    const auto pick = Candidates[Random.below(Candidates.size())];
    Socket.send(Entry.Instances[pick].Address, p);
  }

  asio::io_context &Io;
  DataCentreEntry Entry;
  PacketSocket &Socket;
  SeededRandom Random;
  std::vector<bool> Live;
  std::vector<std::size_t> Candidates;
  std::unordered_set<Endpoint> InstanceAddresses;
  /// The UDP address that each caller's packets come from, by caller.
  std::unordered_map<Endpoint, Endpoint> ReturnAddresses;
  bool IsCut = false;
  std::uint64_t ToInstances = 0;
  std::uint64_t ToCallers = 0;
  std::uint64_t Dropped = 0;
};

/// The fabric of all data centres and its HTTP commands.
class Fabric {
public:
  Fabric(asio::io_context &io, const Settings &s) : Options(s), Timer(io) {}

  auto open(asio::io_context &io) -> absl::Status {
    auto seed = Options.Seed;
    for (const auto &it : Options.DataCentres) {
      auto socket = PacketSocket::open(io, it.Address);
      if (!socket.ok())
        return socket.status();
      Sockets.push_back(*std::move(socket));
      DataCentreFabrics.push_back(
          std::make_unique<DataCentreFabric>(io, it, *Sockets.back(), seed++));
    }
    poll();
    return absl::OkStatus();
  }

  auto handle(const HttpRequest &r, const HttpRespond &respond) -> void {
    const std::string cut = "/standin/cut?data_centre=";
    if (r.Method == "POST" && r.Target.starts_with(cut))
      return setCut(r.Target.substr(cut.size()), respond);
    if (r.Target != "/state")
      return respond({404, "text/plain", "no such path\n", {}});
    json::object root;
    for (const auto &it : DataCentreFabrics)
      root[it->name()] = it->dump();
    respond({200, "application/json", json::serialize(root), {}});
  }

private:
  auto setCut(const std::string &rest, const HttpRespond &respond) -> void {
    const auto split = rest.find("&on=");
    const bool on = split != std::string::npos && rest.substr(split + 4) == "1";
    for (const auto &it : DataCentreFabrics)
      if (it->name() == rest.substr(0, split)) {
        it->setCut(on);
        return respond({200, "text/plain", "ok\n", {}});
      }
    respond({404, "text/plain", "no such data centre\n", {}});
  }

  auto poll() -> void {
    for (const auto &it : DataCentreFabrics)
      it->poll();
    Timer.expires_after(Options.PollInterval);
    Timer.async_wait([this](auto ec) {
      if (!ec)
        poll();
    });
  }

  Settings Options;
  asio::steady_timer Timer;
  std::vector<std::unique_ptr<PacketSocket>> Sockets;
  std::vector<std::unique_ptr<DataCentreFabric>> DataCentreFabrics;
};

auto readDataCentre(SettingsReader in) -> DataCentreEntry {
  DataCentreEntry out{in.text("name"), in.endpoint("address"), {}};
  for (auto &it : in.sections("instances"))
    out.Instances.push_back(
        {it.text("name"), it.endpoint("address"), it.endpoint("http")});
  return out;
}

auto readSettings(const std::string &path) -> absl::StatusOr<Settings> {
  auto root = SettingsReader::fromFile(path);
  if (!root.ok())
    return root.status();
  using namespace std::chrono_literals;
  Settings s;
  s.Http = root->endpoint("http");
  s.PollInterval = root->duration("poll_interval", {10ms, 1min}, 500ms);
  s.Seed = static_cast<std::uint64_t>(
      root->number("seed", {1, std::int64_t{1} << 62}, 1));
  for (auto &it : root->sections("data_centres"))
    s.DataCentres.push_back(readDataCentre(it));
  s.Log = LogSettings::read(root->section("log"));
  if (auto status = root->finish(); !status.ok())
    return status;
  return s;
}

auto run(const Settings &s) -> absl::Status {
  ProcessLog log("fabric_standin", s.Log);
  asio::io_context io;
  Fabric fabric(io, s);
  if (auto status = fabric.open(io); !status.ok())
    return status;
  auto server =
      HttpServer::open(io, s.Http, [&fabric](const auto &r, auto respond) {
        fabric.handle(r, respond);
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
      {"boragebridge_fabric_standin",
       "Stand-in for the fabric that sprays packets, for demos and tests"},
      readSettings, run);
}
