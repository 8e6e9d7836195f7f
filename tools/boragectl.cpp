/// \file
/// The operators' command-line tool. It calls the administration API of any
/// entry instance, which docs/API.md describes. `dump` and `explain` ask the
/// one process that they name. Exit statuses: 0 done, 1
/// refused or failed, 2 usage error, 3 the outcome of a change is unknown or
/// the change is not in force yet, 4 no instance could be reached.
#include "net/http_client.h"
#include "net/object_json.h"
#include "settings/settings_reader.h"

#include "boragebridge/random.h"

#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace boragebridge {

namespace {

namespace json = boost::json;

constexpr int ExitRefused = 1;
constexpr int ExitUsage = 2;
constexpr int ExitPending = 3;
constexpr int ExitUnreachable = 4;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusPending = 202;
constexpr Duration CallTimeout = std::chrono::seconds(8);
constexpr Duration PollInterval = std::chrono::milliseconds(200);

/// The parsed command line.
struct Arguments {
  std::vector<Endpoint> Servers;
  std::string Token;
  std::string ChangeId;
  /// The instance and the route that `explain` asks for; empty if not given.
  std::string Instance;
  std::string Route;
  Duration Wait{};
  bool IsJson = false;
  bool IsConfirmed = false;
  std::string Command;
  std::vector<std::string> Operands;
  /// The fields of the upstream that `add` adds.
  json::object AddFields;
};

/// An error in the command line.
class UsageError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

auto makeChangeId() -> std::string {
  std::ostringstream out;
  out << "ctl-" << std::hex << SystemRandom().next();
  return out.str();
}

auto readFile(const std::string &path) -> std::string {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    throw UsageError("cannot read '" + path + "'");
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

/// Sends \p r to the servers in turn until one responds. A request for a change
/// carries a Change-Id, so that sending it to a second instance never applies
/// the change twice.
auto sendRequest(const Arguments &a, HttpRequest r)
    -> absl::StatusOr<HttpResponse> {
  r.Headers["authorization"] = "Bearer " + a.Token;
  absl::StatusOr<HttpResponse> last = absl::UnavailableError("no server given");
  for (const auto &it : a.Servers) {
    last = httpCallAndWait(it, r, CallTimeout);
    if (last.ok())
      return last;
  }
  return last;
}

/// Prints \p v as indented text, one line for each scalar.
auto printText(const json::value &v, int depth = 0) -> void {
  const std::string indent(static_cast<std::size_t>(depth) * 2, ' ');
  if (const auto *o = v.if_object()) {
    for (const auto &[name, field] : *o) {
      std::cout << indent << name << ':';
      const bool isNested = field.is_structured();
      std::cout << (isNested ? "\n" : " ");
      printText(field, isNested ? depth + 1 : 0);
    }
    return;
  }
  if (const auto *all = v.if_array()) {
    for (const auto &it : *all) {
      if (it.is_structured())
        std::cout << indent << "-\n";
      printText(it, depth + 1);
    }
    return;
  }
  std::cout << indent;
  if (const auto *s = v.if_string())
    std::cout << std::string_view(*s) << '\n';
  else
    std::cout << v << '\n';
}

auto printBody(const Arguments &a, const HttpResponse &r) -> void {
  boost::system::error_code ec;
  auto v = json::parse(r.Body, ec);
  if (a.IsJson || ec)
    std::cout << r.Body << (r.Body.ends_with('\n') ? "" : "\n");
  else
    printText(v);
}

/// Prints a problem document to standard error, as "title: detail" and one line
/// for each error of a sheet.
auto printProblem(const HttpResponse &r) -> void {
  boost::system::error_code ec;
  auto v = json::parse(r.Body, ec);
  if (ec || !v.is_object()) {
    std::cerr << "boragectl: status " << r.Status << ": " << r.Body << '\n';
    return;
  }
  const auto &o = v.as_object();
  const auto text = [&o](const char *name) -> std::string {
    const auto *it = o.if_contains(name);
    return it != nullptr && it->is_string() ? std::string(it->as_string()) : "";
  };
  std::cerr << "boragectl: " << text("title") << ": " << text("detail") << '\n';
  const auto *errors = o.if_contains("errors");
  if (errors != nullptr && errors->is_array())
    for (const auto &it : errors->as_array())
      std::cerr << "  " << it << '\n';
}

auto exitStatusOf(const HttpResponse &r) -> int {
  if (r.Status == StatusPending)
    return ExitPending;
  return r.Status == StatusOk ? 0 : ExitRefused;
}

auto finish(const Arguments &a, const absl::StatusOr<HttpResponse> &r) -> int {
  if (!r.ok()) {
    std::cerr << "boragectl: " << r.status().message() << '\n';
    return ExitUnreachable;
  }
  if (r->Status == StatusOk || r->Status == StatusPending)
    printBody(a, *r);
  else
    printProblem(*r);
  return exitStatusOf(*r);
}

auto requestStatus(const Arguments &a, const std::string &id)
    -> absl::StatusOr<HttpResponse> {
  return sendRequest(a, {"GET", "/v1/changes/" + percentEncode(id), "", {}});
}

/// Returns true when \p r reports that the change is in force, that is, that
/// every live instance holds it.
auto isInForce(const HttpResponse &r) -> bool {
  boost::system::error_code ec;
  auto v = json::parse(r.Body, ec);
  if (ec || r.Status != StatusOk)
    return false;
  const auto *instances =
      v.is_object() ? v.as_object().if_contains("instances") : nullptr;
  if (instances == nullptr || !instances->is_object())
    return false;
  const auto *live = instances->as_object().if_contains("live");
  const auto *holding = instances->as_object().if_contains("holding");
  return live != nullptr && holding != nullptr && *live == *holding;
}

/// Polls the status of the change until the change is in force or the wait time
/// is over.
auto waitUntilInForce(const Arguments &a, const std::string &id) -> int {
  const auto end = std::chrono::steady_clock::now() + a.Wait;
  for (;;) {
    auto r = requestStatus(a, id);
    if (r.ok() && isInForce(*r))
      return finish(a, r);
    if (std::chrono::steady_clock::now() >= end) {
      auto status = finish(a, r);
      return status == 0 ? ExitPending : status;
    }
    std::this_thread::sleep_for(PollInterval);
  }
}

auto sendChange(const Arguments &a, HttpRequest r) -> int {
  const auto id = a.ChangeId.empty() ? makeChangeId() : a.ChangeId;
  r.Headers["change-id"] = id;
  auto out = sendRequest(a, std::move(r));
  const bool isRefused =
      out.ok() && out->Status != StatusOk && out->Status != StatusPending;
  if (a.Wait <= Duration{} || isRefused)
    return finish(a, out);
  return waitUntilInForce(a, id);
}

auto sendOperation(const Arguments &a, json::object operation) -> int {
  json::object body{{"operations", json::array{std::move(operation)}}};
  return sendChange(a, {"POST", "/v1/changes", json::serialize(body), {}});
}

auto runImport(const Arguments &a) -> int {
  const std::string query = a.IsConfirmed ? "?confirm=true" : "";
  return sendChange(
      a, {"PUT", "/v1/sheet" + query, readFile(a.Operands.at(0)), {}});
}

auto runDiff(const Arguments &a) -> int {
  return finish(
      a, sendRequest(
             a, {"POST", "/v1/sheet/preview", readFile(a.Operands.at(0)), {}}));
}

template <const char *const &Path> auto runGet(const Arguments &a) -> int {
  return finish(a, sendRequest(a, {"GET", Path, "", {}}));
}

auto runDataCentre(const Arguments &a) -> int {
  return sendOperation(
      a, {{"action", a.Command}, {"data_centre", a.Operands.at(0)}});
}

auto runUpstream(const Arguments &a) -> int {
  return sendOperation(a,
                       {{"action", a.Command}, {"upstream", a.Operands.at(0)}});
}

auto runAdd(const Arguments &a) -> int {
  auto operation = a.AddFields;
  operation["action"] = "add";
  operation["upstream"] = a.Operands.at(0);
  return sendOperation(a, std::move(operation));
}

auto runStatus(const Arguments &a) -> int {
  if (a.Wait > Duration{})
    return waitUntilInForce(a, a.Operands.at(0));
  return finish(a, requestStatus(a, a.Operands.at(0)));
}

auto runDump(const Arguments &a) -> int {
  Endpoint e;
  if (!parseEndpoint(a.Operands.at(0), e))
    throw UsageError("'" + a.Operands.at(0) + "' is not ADDRESS:PORT");
  return finish(a, httpCallAndWait(e, {"GET", "/state", "", {}}, CallTimeout));
}

/// The address that \p option gives as \p s.
auto readEndpoint(const std::string &option, const std::string &s) -> Endpoint {
  Endpoint e;
  if (s.empty())
    throw UsageError("explain needs --" + option + " ADDRESS:PORT");
  if (!parseEndpoint(s, e))
    throw UsageError("--" + option + " '" + s + "' is not ADDRESS:PORT");
  return e;
}

auto runExplain(const Arguments &a) -> int {
  const auto instance = readEndpoint("instance", a.Instance);
  const auto route = readEndpoint("route", a.Route);
  auto r = httpCallAndWait(instance,
                           {"GET", "/explain?route=" + toString(route), "", {}},
                           CallTimeout);
  if (!r.ok())
    r = absl::Status(r.status().code(), "no answer from instance " +
                                            toString(instance) + ": " +
                                            std::string(r.status().message()));
  return finish(a, r);
}

const char *const ConfigurationPath = "/v1/configuration";
const char *const SheetPath = "/v1/sheet";
const char *const MembersPath = "/v1/members";
const char *const ChangesPath = "/v1/changes";

struct Command {
  std::string_view Name;
  std::size_t Operands;
  int (*Run)(const Arguments &);
  std::string_view Help;
};

constexpr std::array Commands{
    Command{"import", 1, runImport, "FILE: replace the sheet (--confirm)"},
    Command{"diff", 1, runDiff, "FILE: what importing it would change"},
    Command{"show", 0, runGet<ConfigurationPath>, "the configuration in force"},
    Command{"sheet", 0, runGet<SheetPath>, "the sheet as CSV"},
    Command{"members", 0, runGet<MembersPath>, "the instances"},
    Command{"changes", 0, runGet<ChangesPath>, "the newest changes"},
    Command{"status", 1, runStatus, "ID: state of a change (--wait)"},
    Command{"withdraw", 1, runDataCentre, "DATA_CENTRE: take it out"},
    Command{"return", 1, runDataCentre, "DATA_CENTRE: bring it back"},
    Command{"add", 1, runAdd, "UPSTREAM: add it (--service and so on)"},
    Command{"drain", 1, runUpstream, "UPSTREAM: nothing new to it"},
    Command{"activate", 1, runUpstream, "UPSTREAM: end its draining"},
    Command{"remove", 1, runUpstream, "UPSTREAM: remove it"},
    Command{"clear", 1, runUpstream, "UPSTREAM: drop the urgent entry"},
    Command{"dump", 1, runDump, "ADDRESS:PORT: state of any process"},
    Command{"explain", 0, runExplain,
            "where a new request would go (--instance, --route)"},
};

auto addOptions(cxxopts::Options &o) -> void {
  using cxxopts::value;
  using Strings = std::vector<std::string>;
  o.positional_help("COMMAND [OPERAND]");
  o.add_options()("server", "HTTP address of an entry instance, repeated",
                  value<Strings>()->default_value("127.0.0.1:7441"))(
      "token-file", "file with the token; else $BORAGECTL_TOKEN",
      value<std::string>())("change-id", "identifier of the change",
                            value<std::string>())(
      "wait", "wait this long until in force everywhere: 500ms, 10s, 1min",
      value<std::string>())("confirm", "accept a sheet that removes much")(
      "instance", "HTTP address of the edge instance that explains",
      value<std::string>())("route", "address of the route to explain",
                            value<std::string>())(
      "json", "print what the instance answers")(
      "service", "of an added upstream", value<std::string>())(
      "data-centre", "of an added upstream", value<std::string>())(
      "address", "of an added upstream", value<std::string>())(
      "slots", "of an added upstream",
      value<int>()->default_value("2"))("connections", "of an added upstream",
                                        value<int>()->default_value("2000"))(
      "speed-percent", "of an added upstream",
      value<int>()->default_value("100"))("version", "print the version")(
      "help", "print this text")("words", "", value<Strings>());
  o.parse_positional({"words"});
}

auto readToken(const cxxopts::ParseResult &args) -> std::string {
  if (args.count("token-file") == 0) {
    const auto *token = std::getenv("BORAGECTL_TOKEN");
    return token == nullptr ? "" : token;
  }
  auto token = readFile(args["token-file"].as<std::string>());
  while (!token.empty() &&
         std::isspace(static_cast<unsigned char>(token.back())) != 0)
    token.pop_back();
  return token;
}

auto readWait(const std::string &s) -> Duration {
  auto d = parseDuration(s);
  if (!d)
    throw UsageError("'" + s + "' is not a time such as 500ms, 10s or 1min");
  return *d;
}

auto readAddFields(const cxxopts::ParseResult &args) -> json::object {
  json::object out;
  const auto copy = [&](const char *option, const char *name) {
    if (args.count(option) != 0)
      out[name] = args[option].as<std::string>();
  };
  copy("service", "service");
  copy("data-centre", "data_centre");
  copy("address", "address");
  out["slots"] = args["slots"].as<int>();
  out["connections"] = args["connections"].as<int>();
  out["speed_percent"] = args["speed-percent"].as<int>();
  return out;
}

auto readArguments(const cxxopts::ParseResult &args) -> Arguments {
  Arguments a;
  for (const auto &it : args["server"].as<std::vector<std::string>>()) {
    Endpoint e;
    if (!parseEndpoint(it, e))
      throw UsageError("--server '" + it + "' is not ADDRESS:PORT");
    a.Servers.push_back(e);
  }
  a.Token = readToken(args);
  if (args.count("change-id") != 0)
    a.ChangeId = args["change-id"].as<std::string>();
  if (args.count("instance") != 0)
    a.Instance = args["instance"].as<std::string>();
  if (args.count("route") != 0)
    a.Route = args["route"].as<std::string>();
  if (args.count("wait") != 0)
    a.Wait = readWait(args["wait"].as<std::string>());
  a.IsJson = args.count("json") != 0;
  a.IsConfirmed = args.count("confirm") != 0;
  a.AddFields = readAddFields(args);
  if (args.count("words") == 0)
    throw UsageError("no command given");
  a.Operands = args["words"].as<std::vector<std::string>>();
  a.Command = a.Operands.front();
  a.Operands.erase(a.Operands.begin());
  return a;
}

auto dispatch(const Arguments &a) -> int {
  for (const auto &it : Commands) {
    if (it.Name != a.Command)
      continue;
    if (a.Operands.size() != it.Operands)
      throw UsageError(a.Command + " takes " + std::to_string(it.Operands) +
                       " operand(s)");
    return it.Run(a);
  }
  throw UsageError("no command '" + a.Command + "'");
}

auto printHelp(const cxxopts::Options &o) -> void {
  std::cout << o.help() << "\nCommands:\n";
  for (const auto &it : Commands)
    std::cout << "  " << it.Name << std::string(10 - it.Name.size(), ' ')
              << it.Help << '\n';
  std::cout << "\nExit status: 0 done, 1 refused, 2 usage, 3 not known or not "
               "in force yet, 4 no instance reached.\n";
}

auto run(int argc, char **argv) -> int {
  cxxopts::Options options("boragectl", "Operates boragebridge");
  addOptions(options);
  try {
    auto args = options.parse(argc, argv);
    if (args.count("help") != 0) {
      printHelp(options);
      return 0;
    }
    if (args.count("version") != 0) {
      std::cout << "boragectl " BORAGEBRIDGE_VERSION "\n";
      return 0;
    }
    return dispatch(readArguments(args));
  } catch (const std::exception &e) {
    std::cerr << "boragectl: " << e.what() << "; see --help\n";
    return ExitUsage;
  }
}

} // namespace

} // namespace boragebridge

auto main(int argc, char **argv) -> int {
  return boragebridge::run(argc, argv);
}
