#include "admin/administration_api.h"

#include "admin/admin_events.h"
#include "admin/admin_json.h"
#include "admin/token_table.h"

#include <algorithm>
#include <charconv>
#include <list>

namespace boragebridge {

namespace json = boost::json;

namespace {

/// A change whose outcome is still unknown after this time is answered as
/// pending.
constexpr Duration PendingAfter = std::chrono::milliseconds(2500);
constexpr std::string_view ChangePrefix = "/v1/changes/";

/// Returns the path of \p target, without the query.
auto pathOf(const std::string &target) -> std::string {
  return target.substr(0, target.find('?'));
}

/// Whether the query of \p target contains \p flag.
auto hasFlag(const std::string &target, std::string_view flag) -> bool {
  const auto at = target.find('?');
  if (at == std::string::npos)
    return false;
  const auto query = "&" + target.substr(at + 1) + "&";
  return query.find("&" + std::string(flag) + "&") != std::string::npos;
}

auto headerOf(const AdminRequest &r, const std::string &name) -> std::string {
  auto it = r.Headers.find(name);
  return it == r.Headers.end() ? std::string() : it->second;
}

/// Parses the revision in an entity tag such as "12", quotes included.
auto parseTag(std::string_view s, Revision &n) -> bool {
  constexpr std::size_t Quotes = 2;
  if (s.size() <= Quotes || s.front() != '"' || s.back() != '"')
    return false;
  s = s.substr(1, s.size() - Quotes);
  std::uint64_t v = 0;
  const auto [end, ec] = std::from_chars(s.data(), s.data() + s.size(), v);
  n = Revision{v};
  return ec == std::errc() && end == s.data() + s.size() && v != 0;
}

} // namespace

struct AdministrationApi::Impl {
  /// A request and its context, as a handler gets them.
  struct Call {
    const AdminRequest &Request;
    const AdminToken &Token;
    Done Respond;
  };
  using Handler = auto(Impl::*)(const Call &c) -> void;
  /// Which handler serves a method and path, and the role that it needs.
  struct Route {
    std::string_view Method;
    std::string_view Path;
    AdminRole MinimumRole;
    Handler Run;
  };
  /// A change whose outcome is unknown. Respond is empty once the change has
  /// been answered as pending.
  struct OpenChange {
    std::string Id;
    TimePoint Until;
    Done Respond;
  };

  static const std::array<Route, 8> Routes;

  auto handle(const AdminRequest &request, Done done) -> void;
  auto refuse(const AdminRequest &request, const Done &done,
              const AdminResponse &r) -> void;
  auto getConfiguration(const Call &c) -> void;
  auto getSheet(const Call &c) -> void;
  auto preview(const Call &c) -> void;
  auto importSheet(const Call &c) -> void;
  auto postChange(const Call &c) -> void;
  auto getChanges(const Call &c) -> void;
  auto getChange(const Call &c) -> void;
  auto getMembers(const Call &c) -> void;
  /// Fills in what both kinds of change have in common. Returns false when the
  /// request was invalid and has been answered.
  auto beginChange(const Call &c, ChangeRequest &change) -> bool;
  auto submit(const Call &c, ChangeRequest change) -> void;
  auto tick() -> void;

  const Clock &Time;
  EventLog &Log;
  const Blackboard &Board;
  ConfigurationController &Config;
  TokenTable Tokens;
  Counter &Requests;
  Counter &Refusals;
  std::list<OpenChange> Open;
  /// Expires with the API, so that late outcomes are ignored.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

const std::array<AdministrationApi::Impl::Route, 8>
    AdministrationApi::Impl::Routes{{
        {"GET", "/v1/configuration", AdminRole::Reader,
         &Impl::getConfiguration},
        {"GET", "/v1/sheet", AdminRole::Reader, &Impl::getSheet},
        {"POST", "/v1/sheet/preview", AdminRole::Reader, &Impl::preview},
        {"PUT", "/v1/sheet", AdminRole::Platform, &Impl::importSheet},
        {"POST", "/v1/changes", AdminRole::Team, &Impl::postChange},
        {"GET", "/v1/changes", AdminRole::Reader, &Impl::getChanges},
        {"GET", ChangePrefix, AdminRole::Reader, &Impl::getChange},
        {"GET", "/v1/members", AdminRole::Reader, &Impl::getMembers},
    }};

auto AdministrationApi::Impl::refuse(const AdminRequest &request,
                                     const Done &done, const AdminResponse &r)
    -> void {
  Refusals.add();
  Log.write(events::AdminRequestRefused,
            {{"method", request.Method},
             {"path", pathOf(request.Target)},
             {"status", std::to_string(r.Status)}});
  done(r);
}

auto AdministrationApi::Impl::handle(const AdminRequest &request, Done done)
    -> void {
  Requests.add();
  const auto *token = Tokens.authenticate(headerOf(request, "authorization"));
  if (token == nullptr) {
    refuse(request, done, problem(401, "no-valid-token", "present a token"));
    return;
  }
  const auto &limits = Tokens.limits();
  const auto limit = token->Role == AdminRole::Platform ? limits.BodyBytes
                                                        : limits.TeamBodyBytes;
  if (request.Body.size() > limit) {
    refuse(
        request, done,
        problem(413, "too-large",
                "at most " + std::to_string(limit) + " bytes for this token"));
    return;
  }
  const auto path = pathOf(request.Target);
  auto known = false;
  for (const auto &it : Routes) {
    const auto matches =
        it.Path == ChangePrefix
            ? path.starts_with(it.Path) && path.size() > it.Path.size()
            : path == it.Path;
    known = known || matches;
    if (!matches || it.Method != request.Method)
      continue;
    if (token->Role < it.MinimumRole)
      refuse(request, done,
             problem(403, "forbidden", "this token's role may not do that"));
    else
      (this->*it.Run)({request, *token, std::move(done)});
    return;
  }
  refuse(request, done,
         known ? problem(405, "method-not-allowed", request.Method)
               : problem(404, "not-found", path));
}

auto AdministrationApi::Impl::getConfiguration(const Call &c) -> void {
  const auto cfg = Board.Configuration.read();
  auto r = jsonResponse(200, toJson(*cfg));
  r.Headers["ETag"] = '"' + std::to_string(raw(cfg->RevisionNumber)) + '"';
  c.Respond(r);
}

auto AdministrationApi::Impl::getSheet(const Call &c) -> void {
  AdminResponse r;
  r.ContentType = "text/csv";
  r.Headers["ETag"] =
      '"' + std::to_string(raw(Config.state().revision())) + '"';
  r.Body = renderSheet(Config.state().rows());
  c.Respond(r);
}

auto AdministrationApi::Impl::preview(const Call &c) -> void {
  const auto sheet = parseSheet(c.Request.Body);
  if (!sheet.Errors.empty()) {
    refuse(c.Request, c.Respond, sheetProblem(sheet.Errors));
    return;
  }
  auto body = toJson(diffSheets(Config.state().rows(), sheet.Rows));
  const auto kept = keptEntries(Config.state().head());
  body["revision"] = raw(Config.state().revision());
  body["urgent_entries_kept"] = json::array(kept.begin(), kept.end());
  c.Respond(jsonResponse(200, body));
}

auto AdministrationApi::Impl::beginChange(const Call &c, ChangeRequest &change)
    -> bool {
  change.Id = headerOf(c.Request, "change-id");
  change.Actor = c.Token.Actor;
  change.Team = c.Token.Role == AdminRole::Platform ? "" : c.Token.Team;
  change.At = std::chrono::duration_cast<std::chrono::seconds>(
                  c.Request.ReceivedAt.time_since_epoch())
                  .count();
  const auto tag = headerOf(c.Request, "if-match");
  if (!isValidName(change.Id))
    refuse(c.Request, c.Respond,
           problem(400, "malformed", "the header Change-Id is missing"));
  else if (!tag.empty() && !parseTag(tag, change.Base))
    refuse(c.Request, c.Respond,
           problem(400, "malformed", "If-Match takes a quoted revision"));
  else if (!Tokens.admitChange(c.Token.Actor))
    refuse(c.Request, c.Respond,
           problem(429, "too-many-changes", "this token's rate is spent"));
  else
    return true;
  return false;
}

auto AdministrationApi::Impl::importSheet(const Call &c) -> void {
  ChangeRequest change;
  if (!beginChange(c, change))
    return;
  auto sheet = parseSheet(c.Request.Body);
  if (!sheet.Errors.empty()) {
    refuse(c.Request, c.Respond, sheetProblem(sheet.Errors));
    return;
  }
  change.Import = std::move(sheet.Rows);
  change.Confirmed = hasFlag(c.Request.Target, "confirm=true");
  submit(c, std::move(change));
}

auto AdministrationApi::Impl::postChange(const Call &c) -> void {
  ChangeRequest change;
  if (!beginChange(c, change))
    return;
  auto operations = parseOperations(c.Request.Body);
  if (!operations.ok()) {
    refuse(
        c.Request, c.Respond,
        problem(400, "malformed", std::string(operations.status().message())));
    return;
  }
  change.Operations = *std::move(operations);
  submit(c, std::move(change));
}

auto AdministrationApi::Impl::submit(const Call &c, ChangeRequest change)
    -> void {
  const auto id = change.Id;
  const auto entry =
      Open.insert(Open.end(), {id, Time.now() + PendingAfter, c.Respond});
  Config.submit(std::move(change),
                [this, id, entry,
                 alive = std::weak_ptr<bool>(Alive)](const ChangeOutcome &o) {
                  if (alive.expired())
                    return;
                  if (o.State != ChangeState::Accepted)
                    Refusals.add();
                  if (entry->Respond != nullptr)
                    entry->Respond(changeResponse(id, o));
                  Open.erase(entry);
                });
}

auto AdministrationApi::Impl::tick() -> void {
  for (auto &it : Open) {
    if (it.Respond == nullptr || Time.now() < it.Until)
      continue;
    const auto respond = std::move(it.Respond);
    it.Respond = nullptr;
    respond(changeResponse(it.Id, {}));
  }
}

auto AdministrationApi::Impl::getChanges(const Call &c) -> void {
  json::array all;
  for (const auto &it : Config.state().head().Log)
    all.push_back(toJson(it));
  c.Respond(jsonResponse(200, json::object{{"changes", std::move(all)}}));
}

auto AdministrationApi::Impl::getChange(const Call &c) -> void {
  const auto id = pathOf(c.Request.Target).substr(ChangePrefix.size());
  if (Config.isChangeOpen(id)) {
    c.Respond(changeResponse(id, {}));
    return;
  }
  Config.findChange(id, [this, alive = std::weak_ptr<bool>(Alive),
                         respond = c.Respond](const auto &r) {
    if (alive.expired())
      return;
    if (!r.ok()) {
      respond(absl::IsNotFound(r.status())
                  ? problem(404, "not-found", std::string(r.status().message()))
                  : problem(503, "platform-unreachable",
                            "whether it was accepted is not known here"));
      return;
    }
    auto body = toJson(*r);
    body["state"] = "accepted";
    Config.queryHolders(r->RevisionNumber,
                        [body, respond](const Holders &h) mutable {
                          body["instances"] = toJson(h);
                          respond(jsonResponse(200, body));
                        });
  });
}

auto AdministrationApi::Impl::getMembers(const Call &c) -> void {
  c.Respond(jsonResponse(
      200, json::object{{"members", toJson(*Board.Membership.read())}}));
}

AdministrationApi::AdministrationApi(const Clock &clock,
                                     MetricRegistry &metrics, EventLog &log,
                                     const Blackboard &board,
                                     ConfigurationController &config,
                                     AdminSettings settings)
    : State(new Impl{
          clock,
          log,
          board,
          config,
          TokenTable(clock, std::move(settings)),
          metrics.counter("admin_requests_total", "Administration requests"),
          metrics.counter("admin_refusals_total",
                          "Administration requests refused"),
          {}}) {}

AdministrationApi::~AdministrationApi() = default;

auto AdministrationApi::handle(const AdminRequest &request, Done done) -> void {
  State->handle(request, std::move(done));
}

auto AdministrationApi::tick() -> void { State->tick(); }

auto AdministrationApi::updateSettings(AdminSettings settings) -> void {
  State->Log.write(events::AdminKeysReplaced,
                   {{"tokens", std::to_string(settings.Tokens.size())}});
  State->Tokens.replace(std::move(settings));
}

} // namespace boragebridge
