#include "store/mirror_api.h"

#include "net/object_json.h"
#include "net/url_target.h"

#include <algorithm>

namespace boragebridge {

/// The longest that a reader may keep a watch open.
static constexpr auto LongestWait = std::chrono::seconds(30);

static auto toResponse(const absl::StatusOr<ObjectList> &r) -> HttpResponse {
  constexpr unsigned Ok = 200;
  constexpr unsigned Gone = 410;
  constexpr unsigned PreconditionFailed = 412;
  constexpr unsigned ServiceUnavailable = 503;
  if (r.ok())
    return {Ok, "application/json", formatObjectList(*r), {}};
  auto status = ServiceUnavailable;
  if (absl::IsOutOfRange(r.status()))
    status = Gone;
  if (absl::IsFailedPrecondition(r.status()))
    status = PreconditionFailed;
  return {status, "application/json", "{}", {}};
}

auto makeMirrorApi(ObjectMirror &mirror, const Clock &time) -> HttpHandler {
  return [&](const HttpRequest &r, const HttpRespond &respond) {
    const auto target = parseUrlTarget(r.Target);
    const auto prefix = target.text("prefix");
    if (r.Method == "GET" && target.Path == "/v1/objects")
      return respond(
          toResponse(mirror.list(prefix, target.number("unconfirmed") != 0)));
    if (r.Method != "GET" || target.Path != "/v1/watch")
      return respond({static_cast<unsigned>(HttpStatus::NotFound),
                      "application/json",
                      "{}",
                      {}});
    const auto wait = std::min<Duration>(
        std::chrono::milliseconds(target.number("wait_ms")), LongestWait);
    mirror.watch(prefix, target.number("after"), time.now() + wait,
                 [respond](const absl::StatusOr<ObjectList> &l) {
                   respond(toResponse(l));
                 });
  };
}

} // namespace boragebridge
