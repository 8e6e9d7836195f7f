#include "admin/administration_api.h"

#include "admin/token_table.h"
#include "fakes/control_fleet.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

namespace boragebridge {

namespace {

using namespace std::chrono_literals;

struct AdministrationFixture {
  const std::vector<std::string> DataCentres{"palermo", "catania"};
  fakes::ControlFleet Fleet{21};
  MetricRegistry Metrics;
  NullEventLog Log;
  std::unique_ptr<AdministrationApi> Api;

  AdministrationFixture() {
    Fleet.addInstances("e", 4, DataCentres);
    Fleet.Nodes.run(3s);
    Api = std::make_unique<AdministrationApi>(
        Fleet.Nodes.Time, Metrics, Log, Fleet.Nodes.instance("e0").board(),
        Fleet.config("e0"), settings("root-key"));
    const auto r = send("PUT", "/v1/sheet", "root-key", "sheet",
                        fakes::makeSheet(20, DataCentres));
    BOOST_TEST_REQUIRE(r.Status == 200U, r.Body);
    Fleet.Nodes.run(2s);
  }

  static auto settings(const std::string &rootKey) -> AdminSettings {
    AdminSettings s;
    s.Tokens = {{sha256Hex(rootKey), "root", AdminRole::Platform, ""},
                {sha256Hex("team-key"), "ana", AdminRole::Team, "booking-team"},
                {sha256Hex("read-key"), "rita", AdminRole::Reader, ""}};
    s.Limits.TeamBodyBytes = 1000;
    return s;
  }

  /// Sends a request and runs the fleet until the response arrives.
  auto send(const std::string &method, const std::string &target,
            const std::string &key, const std::string &id,
            const std::string &body, const std::string &ifMatch = "")
      -> AdminResponse {
    AdminRequest request;
    request.Method = method;
    request.Target = target;
    request.Headers["authorization"] = "Bearer " + key;
    request.Headers["change-id"] = id;
    if (!ifMatch.empty())
      request.Headers["if-match"] = ifMatch;
    request.Body = body;
    AdminResponse response;
    response.Status = 0;
    Api->handle(request, [&response](auto r) { response = std::move(r); });
    for (auto n = 0; n < 1000 && response.Status == 0; ++n) {
      Fleet.Nodes.run(Instance::TickInterval);
      Api->tick();
    }
    return response;
  }

  auto post(const std::string &key, const std::string &id,
            const std::string &operation, const std::string &ifMatch = "")
      -> AdminResponse {
    return send("POST", "/v1/changes", key, id,
                R"({"operations":[)" + operation + "]}", ifMatch);
  }

  auto revision() -> std::uint64_t {
    return raw(Fleet.config("e0").state().revision());
  }
};

const std::string DrainOwn = R"({"action":"drain","upstream":"host-0"})";
const std::string DrainOtherTeam = R"({"action":"drain","upstream":"host-1"})";
const std::string Withdraw = R"({"action":"withdraw","data_centre":"catania"})";

} // namespace

BOOST_FIXTURE_TEST_SUITE(Administration, AdministrationFixture)

BOOST_AUTO_TEST_CASE(AcceptedChangeReportsHolders) {
  const auto r = post("root-key", "c1", Withdraw);
  BOOST_TEST(r.Status == 200U);
  Fleet.Nodes.run(2s);
  const auto status = send("GET", "/v1/changes/c1", "read-key", "", "");
  const auto body = boost::json::parse(status.Body).as_object();
  BOOST_TEST(body.at("state").as_string() == "accepted");
  BOOST_TEST(body.at("actor").as_string() == "root");
  BOOST_TEST(body.at("instances").at("live").as_int64() == 4);
  BOOST_TEST(body.at("instances").at("holding").as_int64() == 4);
}

BOOST_AUTO_TEST_CASE(WrongTokensAndRolesAreRefused) {
  const auto before = revision();
  BOOST_TEST(post("guess", "c1", Withdraw).Status == 401U);
  BOOST_TEST(post("", "c1", Withdraw).Status == 401U);
  BOOST_TEST(post("read-key", "c1", Withdraw).Status == 403U);
  BOOST_TEST(post("team-key", "c1", Withdraw).Status == 403U);
  BOOST_TEST(post("team-key", "c1", DrainOtherTeam).Status == 403U);
  BOOST_TEST(send("PUT", "/v1/sheet", "team-key", "c1", "kind\n").Status ==
             403U);
  BOOST_TEST(revision() == before);
  BOOST_TEST(Metrics.counterValue("admin_refusals_total") == 6U);
  BOOST_TEST(post("team-key", "c1", DrainOwn).Status == 200U);
}

BOOST_AUTO_TEST_CASE(MalformedBodiesAreRefused) {
  const auto before = revision();
  for (const std::string body :
       {"", "{", "[]", R"({"operations":7})", R"({"operations":[]})",
        R"({"operations":[{"action":"import"}]})",
        R"({"operations":[{"action":"drain","upstream":7}]})"})
    BOOST_TEST(send("POST", "/v1/changes", "root-key", "c1", body).Status ==
                   400U,
               body);
  BOOST_TEST(revision() == before);
}

BOOST_AUTO_TEST_CASE(BodyOverTeamLimitIsRefused) {
  BOOST_TEST(
      send("POST", "/v1/changes", "team-key", "c1", std::string(1001, ' '))
          .Status == 413U);
}

// Separators and line breaks in a field must not add rows to the sheet.
BOOST_AUTO_TEST_CASE(FieldWithSeparatorsIsRefused) {
  const auto r = post("root-key", "c1",
                      R"({"action":"add","upstream":"x","service":"booking",
        "data_centre":"palermo",
        "address":"10.9.9.9:1,2,2000,100,active\nupstream,y"})");
  BOOST_TEST(r.Status == 400U);
}

BOOST_AUTO_TEST_CASE(TeamCannotTakeOverAnotherTeamsUpstream) {
  const auto r = post("team-key", "c1",
                      R"({"action":"add","upstream":"host-1",
        "service":"booking","data_centre":"palermo","address":"10.9.9.9:1"})");
  BOOST_TEST(r.Status == 403U);
}

BOOST_AUTO_TEST_CASE(ChangeOfStaleRevisionConflicts) {
  const auto tag = '"' + std::to_string(revision()) + '"';
  BOOST_TEST(post("root-key", "c1", DrainOwn, tag).Status == 200U);
  const auto r = post("team-key", "c2", DrainOwn, tag);
  BOOST_TEST(r.Status == 409U);
  BOOST_TEST(r.ContentType == "application/problem+json");
  const auto body = boost::json::parse(r.Body).as_object();
  BOOST_TEST(body.at("other").at("id").as_string() == "c1");
  BOOST_TEST(post("root-key", "c3", Withdraw, tag).Status == 200U);
}

BOOST_AUTO_TEST_CASE(RepeatedChangeIdentifierIsAppliedOnce) {
  const auto first = post("root-key", "c1", DrainOwn);
  const auto again = post("root-key", "c1", DrainOwn);
  BOOST_TEST(first.Body == again.Body);
}

BOOST_AUTO_TEST_CASE(RateLimitIsPerActor) {
  auto limited = settings("root-key");
  limited.Limits.ChangesPerMinute = 6;
  Api->updateSettings(std::move(limited));
  auto last = 0U;
  for (auto n = 0; n < 8; ++n)
    last = post("team-key", "c" + std::to_string(n), DrainOwn).Status;
  BOOST_TEST(last == 429U);
  BOOST_TEST(post("root-key", "other", Withdraw).Status == 200U);
}

BOOST_AUTO_TEST_CASE(SheetErrorsHaveLineAndColumn) {
  auto csv = fakes::makeSheet(20, DataCentres);
  csv += "upstream,bad,,nowhere,palermo,10.0.0.300:80,2,2000,100,active\n";
  const auto r = send("PUT", "/v1/sheet", "root-key", "s2", csv);
  BOOST_TEST(r.Status == 422U);
  const auto body = boost::json::parse(r.Body).as_object();
  const auto &error = body.at("errors").as_array().front().as_object();
  BOOST_TEST(error.at("line").as_int64() == 26);
  BOOST_TEST(error.at("column").as_int64() == 6);
}

BOOST_AUTO_TEST_CASE(PreviewChangesNothing) {
  const auto before = revision();
  const auto r = send("POST", "/v1/sheet/preview", "root-key", "",
                      fakes::makeSheet(19, DataCentres));
  const auto body = boost::json::parse(r.Body).as_object();
  BOOST_TEST(body.at("removed").at("count").as_int64() == 1);
  BOOST_TEST(body.at("added").at("count").as_int64() == 0);
  BOOST_TEST(revision() == before);
}

// An unreachable platform must not be reported as a refusal of the change.
BOOST_AUTO_TEST_CASE(UnreachablePlatformIsServiceUnavailable) {
  Fleet.Faults.Down = true;
  const auto r = post("root-key", "c1", Withdraw);
  BOOST_TEST(r.Status == 503U);
  const auto status = send("GET", "/v1/changes/c1", "root-key", "", "");
  BOOST_TEST(status.Status == 503U);
}

BOOST_AUTO_TEST_CASE(ReplacedKeyStopsWorking) {
  Api->updateSettings(settings("new-key"));
  BOOST_TEST(send("GET", "/v1/members", "root-key", "", "").Status == 401U);
  BOOST_TEST(send("GET", "/v1/members", "new-key", "", "").Status == 200U);
}

BOOST_AUTO_TEST_CASE(UnknownPathAndMethodHaveDistinctStatus) {
  BOOST_TEST(send("GET", "/v1/nothing", "root-key", "", "").Status == 404U);
  BOOST_TEST(send("DELETE", "/v1/sheet", "root-key", "", "").Status == 405U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragebridge
