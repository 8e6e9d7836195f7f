#include "experiments.h"

#include "load_checks.h"
#include "load_flows.h"
#include "load_requests.h"

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/packet_socket.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/url/parse.hpp>
#include <cxxopts.hpp>

#include <iostream>

namespace boragebridge::bench {

namespace asio = boost::asio;

namespace {

constexpr auto TickInterval = std::chrono::milliseconds(2);
constexpr auto StateTimeout = std::chrono::seconds(5);
/// Maximum wait for requests in progress at the end of the run.
constexpr Duration FinishTimeout = std::chrono::seconds(8);
constexpr Endpoint AnyLoopbackPort{0x7F000001, 0};

struct LoadSettings {
  FlowLoadOptions Flows;
  RequestLoadOptions Requests;
  Endpoint Upstreams;
  Endpoint Http;
  Duration Length{};
  std::uint64_t Seed = 1;
};

/// One run. An operator or a script starts phases, marks data centres as
/// withdrawn and ends the run by HTTP.
class LoadRun {
public:
  explicit LoadRun(const LoadSettings &s)
      : Options(s), Random(s.Seed), Socket(openSocket()),
        Send([this](const auto &to, const auto &p) { Socket->send(to, p); }),
        Flows(s.Flows, Time, Random, Send),
        Requests(s.Requests, Time, Random, Send), Timer(Io), Begin(Time.now()) {
    beginPhase("start");
  }

  auto run() -> int {
    auto server =
        HttpServer::open(Io, Options.Http, [this](const auto &r, auto respond) {
          respond(handle(r));
        });
    if (!server.ok()) {
      std::cerr << "boragebench load: " << server.status().message() << '\n';
      return 1;
    }
    Socket->start([this](const auto &, const auto &p) { onPacket(p); });
    tick();
    Io.run();
    return report();
  }

private:
  auto openSocket() -> std::unique_ptr<PacketSocket> {
    auto s = PacketSocket::open(Io, AnyLoopbackPort);
    return s.ok() ? *std::move(s)
                  : throw std::runtime_error(std::string(s.status().message()));
  }

  auto current() -> Phase & { return Phases.back(); }

  auto beginPhase(const std::string &name) -> void {
    const auto now = Time.now();
    if (!Phases.empty()) {
      current().Length = now - PhaseBegin;
      recordUse(Phases.size() - 1);
    }
    PhaseBegin = now;
    NextSecond = now + std::chrono::seconds(1);
    AnsweredBefore = 0;
    Phases.push_back({name, {}, {}, {}, {}});
  }

  /// Reads \p path from the upstream stand-in and passes the body to \p done;
  /// does not call \p done when the stand-in does not answer. Ends the run
  /// after the last fetch of the final state.
  auto fetch(const std::string &path, std::function<void(std::string)> done)
      -> void {
    ++PendingCalls;
    httpCall(Io, Options.Upstreams, {"GET", path, "", {}}, StateTimeout,
             [this, done = std::move(done)](const auto &r) {
               if (r.ok())
                 done(r->Body);
               if (--PendingCalls == 0 && IsFetchingFinalState)
                 Io.stop();
             });
  }

  /// Records the utilisation of the upstreams in phase \p n.
  auto recordUse(std::size_t n) -> void {
    fetch("/state", [this, n](const std::string &body) {
      auto end = parseStates(body);
      Phases[n].Use = imbalanceBetween(LastStates, end);
      LastStates = std::move(end);
    });
  }

  auto onPacket(const Packet &p) -> void {
    if (p.Kind == PacketKind::Reply)
      Requests.onPacket(p, current().Requests);
    else if (p.Kind == PacketKind::FlowData || p.Kind == PacketKind::FlowReset)
      Flows.onPacket(p, current().Flows);
  }

  auto tick() -> void {
    const auto now = Time.now();
    if (!IsFinishing && now - Begin > Options.Length)
      beginFinish();
    Flows.tick(current().Flows);
    Requests.tick(current().Requests);
    if (now >= NextSecond)
      onSecond();
    if (IsFinishing &&
        (Requests.inProgress() == 0 || now - FinishStartedAt > FinishTimeout))
      return fetchFinalState();
    Timer.expires_after(TickInterval);
    Timer.async_wait([this](auto ec) {
      if (!ec)
        tick();
    });
  }

  /// Records the answers of the second that has ended and prints a line of
  /// progress.
  auto onSecond() -> void {
    NextSecond += std::chrono::seconds(1);
    auto &r = current().Requests;
    const auto answered = r.Outcomes[0] - AnsweredBefore;
    AnsweredBefore = r.Outcomes[0];
    r.AnsweredBySecond.push_back(answered);
    const auto &f = current().Flows;
    const auto at =
        std::chrono::duration_cast<std::chrono::seconds>(Time.now() - Begin);
    std::cout << at.count() << " s  " << current().Name << ": "
              << Flows.established() << " flows, " << f.broken() << " broken, "
              << f.EndedByWithdrawal << " given up; " << answered
              << " answers/s, " << r.Outcomes[1] << " refused, "
              << r.Outcomes[2] << " unknown" << std::endl;
  }

  auto beginFinish() -> void {
    beginPhase("end");
    IsFinishing = true;
    FinishStartedAt = Time.now();
    Requests.stop();
  }

  auto fetchFinalState() -> void {
    IsFetchingFinalState = true;
    current().Length = Time.now() - PhaseBegin;
    recordUse(Phases.size() - 1);
    fetch("/state", [this](std::string body) { FinalState = std::move(body); });
    fetch("/standin/ran",
          [this](std::string body) { FinalRuns = std::move(body); });
  }

  auto handle(const HttpRequest &r) -> HttpResponse {
    auto url = boost::urls::parse_origin_form(r.Target);
    if (!url || r.Method != "POST" || IsFinishing)
      return {400,
              "text/plain",
              "expected POST with a valid target before the run finishes\n",
              {}};
    std::map<std::string, std::string> query;
    for (auto it : url->params())
      query[it.key] = it.value;
    if (url->path() == "/phase")
      beginPhase(query["name"]);
    else if (url->path() == "/withdrawn")
      Flows.setWithdrawn(query["data_centre"], query["on"] == "1");
    else if (url->path() == "/finish")
      beginFinish();
    else
      return {404, "text/plain", "no such path\n", {}};
    return {200, "text/plain", "ok\n", {}};
  }

  auto report() -> int {
    auto checks =
        checkInvariants(FinalState, FinalRuns, Requests.outcomes(), Phases);
    checks.push_back({"every request has one outcome", Requests.inProgress()});
    std::cout << '\n';
    printPhases(Phases);
    std::cout << '\n';
    const bool allHold = printChecks(checks);
    printJson(Phases, checks);
    return allHold ? 0 : 1;
  }

  LoadSettings Options;
  asio::io_context Io{1};
  SteadyClock Time;
  SeededRandom Random;
  std::unique_ptr<PacketSocket> Socket;
  FlowLoad::SendFunction Send;
  FlowLoad Flows;
  RequestLoad Requests;
  asio::steady_timer Timer;
  std::vector<Phase> Phases;
  UpstreamStates LastStates;
  TimePoint Begin;
  TimePoint PhaseBegin;
  TimePoint NextSecond;
  TimePoint FinishStartedAt;
  std::uint64_t AnsweredBefore = 0;
  bool IsFinishing = false;
  bool IsFetchingFinalState = false;
  int PendingCalls = 0;
  std::string FinalState;
  std::string FinalRuns;
};

/// Parses "name=127.0.0.1:80". Throws std::runtime_error when \p s is
/// malformed; runLoad() prints its text.
auto parseNamedAddress(const std::string &s) -> LoadService {
  const auto split = s.find('=');
  LoadService out;
  if (split == std::string::npos ||
      !parseEndpoint(s.substr(split + 1), out.Address))
    throw std::runtime_error("'" + s + "' is not NAME=ADDRESS:PORT");
  out.Name = s.substr(0, split);
  out.Id = idFromName<ServiceId>(out.Name);
  return out;
}

auto parseAddress(const std::string &s) -> Endpoint {
  Endpoint e;
  if (!parseEndpoint(s, e))
    throw std::runtime_error("'" + s + "' is not ADDRESS:PORT");
  return e;
}

auto addOptions(cxxopts::Options &o) -> void {
  using cxxopts::value;
  using Texts = std::vector<std::string>;
  o.add_options()("fabric", "DATA_CENTRE=ADDRESS of the fabric, repeated",
                  value<Texts>())(
      "service", "NAME=ADDRESS of a service, repeated", value<Texts>())(
      "upstreams", "HTTP address of the upstream stand-in",
      value<std::string>())("http",
                            "address for POST /phase?name=N, "
                            "/withdrawn?data_centre=N&on=1, /finish",
                            value<std::string>())(
      "flows", "flows at once", value<std::size_t>()->default_value("400"))(
      "open-rate", "new flows a second at most",
      value<double>()->default_value("40"))(
      "rate", "requests a second", value<double>()->default_value("200"))(
      "work-ms", "time an ordinary host takes for a request",
      value<int>()->default_value("20"))("seconds", "length of the run",
                                         value<int>()->default_value("60"))(
      "seed", "seed",
      value<std::uint64_t>()->default_value("1"))("help", "print this text");
}

auto readOptions(const cxxopts::ParseResult &args) -> LoadSettings {
  using Texts = std::vector<std::string>;
  LoadSettings s;
  for (const auto &it : args["fabric"].as<Texts>())
    s.Flows.Fabrics.push_back(parseNamedAddress(it).Address);
  for (const auto &it : args["service"].as<Texts>())
    s.Flows.Services.push_back(parseNamedAddress(it));
  s.Requests.Fabrics = s.Flows.Fabrics;
  s.Requests.Services = s.Flows.Services;
  s.Flows.Flows = args["flows"].as<std::size_t>();
  s.Flows.OpensPerSecond = args["open-rate"].as<double>();
  s.Requests.PerSecond = args["rate"].as<double>();
  s.Requests.WorkTime = std::chrono::milliseconds(args["work-ms"].as<int>());
  s.Upstreams = parseAddress(args["upstreams"].as<std::string>());
  s.Http = parseAddress(args["http"].as<std::string>());
  s.Length = std::chrono::seconds(args["seconds"].as<int>());
  s.Seed = args["seed"].as<std::uint64_t>();
  return s;
}

} // namespace

auto runLoad(int argc, char **argv) -> int {
  constexpr int UsageError = 2;
  cxxopts::Options options(
      "boragebench load",
      "Callers with long flows and requests against running processes");
  addOptions(options);
  try {
    auto args = options.parse(argc, argv);
    if (args.count("help") != 0) {
      std::cout << options.help();
      return 0;
    }
    return LoadRun(readOptions(args)).run();
  } catch (const std::exception &e) {
    std::cerr << "boragebench load: " << e.what() << "; see --help\n";
    return UsageError;
  }
}

} // namespace boragebridge::bench
