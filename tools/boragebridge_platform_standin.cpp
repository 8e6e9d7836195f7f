/// \file
/// Stand-in for the platform's object API, for demos and tests on one machine.
///
/// Besides the API, the process serves `POST /standin/faults?mode=MODE`, which
/// sets the fault that is injected:
///   none            no fault
///   down            every call fails with 503 and has no effect
///   refuse          every call fails with 429 and has no effect
///   slow            every response is delayed by two seconds
///   lose-answers    every call takes effect and gets no response
///   silent-watches  watches never get a response
///
/// `POST /standin/restore?age_ms=AGE` replaces the contents by a copy of that
/// age, at most ten seconds, and raises the era.
#include "fakes/object_store.h"
#include "logging/process_events.h"
#include "logging/process_log.h"
#include "net/http_server.h"
#include "net/object_json.h"
#include "net/url_target.h"
#include "process/program.h"
#include "store/store_dialect.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

namespace boragebridge {

namespace {

namespace asio = boost::asio;

struct Settings {
  Endpoint Listen;
  fakes::ObjectStoreLimits Limits;
  LogSettings Log;
};

enum class Fault : std::uint8_t {
  None,
  Down,
  Refuse,
  Slow,
  LoseAnswers,
  UnansweredWatches,
};

struct FaultName {
  std::string_view Name;
  Fault Value;
};

constexpr std::array FaultNames{
    FaultName{"none", Fault::None},
    FaultName{"down", Fault::Down},
    FaultName{"refuse", Fault::Refuse},
    FaultName{"slow", Fault::Slow},
    FaultName{"lose-answers", Fault::LoseAnswers},
    FaultName{"silent-watches", Fault::UnansweredWatches},
};

constexpr auto SlowDelay = std::chrono::seconds(2);
constexpr auto PollInterval = std::chrono::milliseconds(10);
constexpr auto CopyInterval = std::chrono::milliseconds(500);
constexpr std::size_t MaxCopies = 20;
constexpr std::string_view ObjectsPath = "/v1/objects";

auto toHttpStatus(const absl::Status &s) -> unsigned {
  switch (s.code()) {
  case absl::StatusCode::kNotFound:
    return 404;
  case absl::StatusCode::kAborted:
    return 409;
  case absl::StatusCode::kOutOfRange:
    return 410;
  case absl::StatusCode::kResourceExhausted:
    return 429;
  case absl::StatusCode::kInvalidArgument:
    return 413;
  default:
    return 503;
  }
}

/// The object API and its injected faults.
class Standin {
public:
  Standin(asio::io_context &io, const Settings &s)
      : Io(io), Store(Time, s.Limits), Timer(io) {
    poll();
  }

  /// Handles \p r; each response gives the era in a header field.
  auto handle(const HttpRequest &r, const HttpRespond &respond) -> void {
    dispatch(r, [this, respond](HttpResponse out) {
      out.Headers[std::string(NativeDialect().eraHeader())] =
          std::to_string(eraOf(Store.version()));
      respond(std::move(out));
    });
  }

private:
  auto dispatch(const HttpRequest &r, const HttpRespond &respond) -> void {
    const auto target = parseUrlTarget(r.Target);
    if (target.Path == "/state")
      return respond({200, "application/json", dump(), {}});
    if (target.Path == "/standin/faults")
      return setFault(target, respond);
    if (target.Path == "/standin/restore")
      return restore(target, respond);
    if (Mode == Fault::Down)
      return respond({503, "application/json", "{}", {}});
    if (Mode == Fault::Refuse)
      return respond({429, "application/json", "{}", {}});
    if (target.Path == "/v1/watch")
      return watch(target, respond);
    answer(callStore(r, target), respond);
  }

  auto restore(const UrlTarget &t, const HttpRespond &respond) -> void {
    const std::chrono::milliseconds age(t.number("age_ms"));
    const auto n = static_cast<std::size_t>(age / CopyInterval);
    Store.restore(*(Copies.rbegin() + static_cast<std::ptrdiff_t>(
                                          std::min(n, Copies.size() - 1))));
    respond({200, "application/json", dump(), {}});
  }

  /// The version that a client of the present era means by \p revision.
  auto versionOf(std::uint64_t revision) const -> ObjectVersion {
    return revision == 0 ? 0 : makeVersion(eraOf(Store.version()), revision);
  }

  /// The texts of values as the API has them, with revisions for versions.
  static auto formatList(ObjectList l) -> std::string {
    l.CurrentVersion = revisionOf(l.CurrentVersion);
    for (auto &it : l.Events)
      it.Object.Version = revisionOf(it.Object.Version);
    return formatObjectList(l);
  }
  static auto formatStored(StoredObject o) -> std::string {
    o.Version = revisionOf(o.Version);
    return formatObject(o);
  }
  static auto formatRevision(ObjectVersion v) -> std::string {
    return formatVersion(revisionOf(v));
  }

  auto setFault(const UrlTarget &t, const HttpRespond &respond) -> void {
    const auto mode = t.text("mode");
    for (const auto &it : FaultNames)
      if (it.Name == mode) {
        Mode = it.Value;
        return respond({200, "application/json", dump(), {}});
      }
    respond({400, "text/plain", "unknown mode '" + mode + "'\n", {}});
  }

  auto callStore(const HttpRequest &r, const UrlTarget &t) -> HttpResponse {
    if (t.Path == ObjectsPath && r.Method == "GET")
      return toResponse(Store.list(t.text("prefix")), formatList);
    if (!t.Path.starts_with(std::string(ObjectsPath) + "/"))
      return {404, "application/json", "{}", {}};
    const auto key = t.Path.substr(ObjectsPath.size() + 1);
    if (r.Method == "GET")
      return toResponse(Store.get(key), formatStored);
    if (r.Method == "DELETE")
      return toWriteResponse(
          key, Store.remove(key, versionOf(t.number("expected"))));
    if (r.Method != "PUT")
      return {405, "application/json", "{}", {}};
    auto value = parseValue(r.Body);
    if (!value.ok())
      return {400, "text/plain", std::string(value.status().message()), {}};
    return toWriteResponse(key, Store.put(key, *std::move(value),
                                          versionOf(t.number("expected"))));
  }

  template <typename T, typename Format>
  static auto toResponse(const absl::StatusOr<T> &v, Format format)
      -> HttpResponse {
    if (!v.ok())
      return {toHttpStatus(v.status()), "application/json", "{}", {}};
    return {200, "application/json", format(*v), {}};
  }

  auto toWriteResponse(const std::string &key,
                       const absl::StatusOr<ObjectVersion> &v) -> HttpResponse {
    if (!v.ok() && v.status().code() == absl::StatusCode::kAborted)
      return {409,
              "application/json",
              formatRevision(Store.currentVersion(key)),
              {}};
    return toResponse(v, formatRevision);
  }

  auto watch(const UrlTarget &t, const HttpRespond &respond) -> void {
    if (Mode == Fault::UnansweredWatches)
      return keepUnanswered(respond);
    const auto wait = std::chrono::milliseconds(t.number("wait_ms"));
    const auto after = makeVersion(eraOf(Store.version()), t.number("after"));
    if (after > Store.version())
      return answer(toResponse(absl::StatusOr<ObjectList>(
                                   absl::OutOfRangeError("no such version")),
                               formatList),
                    respond);
    Store.watch(t.text("prefix"), after, wait,
                [this, respond](const absl::StatusOr<ObjectList> &l) {
                  answer(toResponse(l, formatList), respond);
                });
  }

  auto answer(HttpResponse r, const HttpRespond &respond) -> void {
    if (Mode == Fault::LoseAnswers)
      return keepUnanswered(respond);
    if (Mode != Fault::Slow)
      return respond(std::move(r));
    auto timer = std::make_shared<asio::steady_timer>(Io, SlowDelay);
    timer->async_wait([timer, respond, r = std::move(r)](auto) mutable {
      respond(std::move(r));
    });
  }

  /// Keeps a connection open without a response. At the limit, the oldest such
  /// connection is closed.
  auto keepUnanswered(const HttpRespond &respond) -> void {
    constexpr std::size_t UnansweredLimit = 128;
    Unanswered.push_back(respond);
    if (Unanswered.size() > UnansweredLimit)
      Unanswered.pop_front();
  }

  auto dump() const -> std::string {
    const auto &c = Store.calls();
    return boost::json::serialize(
        boost::json::object{{"gets", c.Gets},
                            {"lists", c.Lists},
                            {"puts", c.Puts},
                            {"removes", c.Removes},
                            {"watches", c.Watches},
                            {"over_limit", c.OverLimit},
                            {"open_watches", Store.openWatches()}});
  }

  auto poll() -> void {
    Store.poll();
    if (Copies.empty() || Time.now() - CopiedAt >= CopyInterval) {
      CopiedAt = Time.now();
      Copies.push_back(Store.copy());
      if (Copies.size() > MaxCopies)
        Copies.pop_front();
    }
    Timer.expires_after(PollInterval);
    Timer.async_wait([this](auto ec) {
      if (!ec)
        poll();
    });
  }

  asio::io_context &Io;
  SteadyClock Time;
  fakes::ObjectStore Store;
  asio::steady_timer Timer;
  Fault Mode = Fault::None;
  /// Copies to restore the store from, the oldest one first.
  std::deque<fakes::ObjectStore::Copy> Copies;
  TimePoint CopiedAt;
  std::deque<HttpRespond> Unanswered;
};

auto readSettings(const std::string &path) -> absl::StatusOr<Settings> {
  auto root = SettingsReader::fromFile(path);
  if (!root.ok())
    return root.status();
  constexpr Range<double> Rate{1, 1e6};
  Settings s;
  s.Listen = root->endpoint("listen");
  s.Limits.ReadsPerSecond = root->real("reads_per_second", Rate, 2000);
  s.Limits.WritesPerSecond = root->real("writes_per_second", Rate, 300);
  s.Log = LogSettings::read(root->section("log"));
  if (auto status = root->finish(); !status.ok())
    return status;
  return s;
}

auto run(const Settings &s) -> absl::Status {
  ProcessLog log("platform_standin", s.Log);
  asio::io_context io;
  Standin standin(io, s);
  auto server =
      HttpServer::open(io, s.Listen, [&standin](const auto &r, auto respond) {
        standin.handle(r, respond);
      });
  if (!server.ok())
    return server.status();
  StopSignal stop(io, [&io] { io.stop(); });
  log.write(events::ProcessStarted, {{"listen", toString(s.Listen)}});
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
      {"boragebridge_platform_standin",
       "Stand-in for the platform's object API, for demos and tests"},
      readSettings, run);
}
