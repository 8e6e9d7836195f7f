#include "store/mirror_api.h"

#include "net/object_json.h"
#include "net/url_target.h"

#include <algorithm>

namespace boragebridge {

/// The longest time for which a reader may keep a watch open.
static constexpr auto MaxWait = std::chrono::seconds(30);

static auto toStatus(const absl::Status &s) -> HttpStatus {
  if (s.ok())
    return HttpStatus::Ok;
  if (absl::IsOutOfRange(s))
    return HttpStatus::Gone;
  if (absl::IsFailedPrecondition(s))
    return HttpStatus::PreconditionFailed;
  return HttpStatus::ServiceUnavailable;
}

static auto toResponse(const absl::StatusOr<ObjectList> &r) -> HttpResponse {
  return {static_cast<unsigned>(toStatus(r.status())),
          "application/json",
          r.ok() ? formatObjectList(*r) : "{}",
          {}};
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
        std::chrono::milliseconds(target.number("wait_ms")), MaxWait);
    if (wait == Duration::zero())
      return respond(
          toResponse(mirror.changes(prefix, target.number("after"))));
    mirror.watch(prefix, target.number("after"), time.now() + wait,
                 [respond](const absl::StatusOr<ObjectList> &l) {
                   respond(toResponse(l));
                 });
  };
}

} // namespace boragebridge
