#include "store/mirror_api.h"

#include "net/deflate.h"
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

static auto acceptsDeflate(const HttpRequest &r) -> bool {
  const auto it = r.Headers.find("accept-encoding");
  return it != r.Headers.end() && it->second == DeflateEncoding;
}

namespace {

/// Answers lists. Many readers ask for the same list when a data centre starts,
/// so the compressed form is kept until an object changes.
class ListResponder {
public:
  /// \p mirror outlives the object.
  explicit ListResponder(const ObjectMirror &mirror) : Mirror(mirror) {}

  auto respond(const HttpRequest &r, const std::string &prefix,
               bool allowUnconfirmed) -> HttpResponse {
    if (!acceptsDeflate(r))
      return toResponse(Mirror.list(prefix, allowUnconfirmed));
    if (const auto s = Mirror.mayList(prefix, allowUnconfirmed); !s.ok())
      return toResponse(s);
    auto &compressed = Lists[prefix];
    if (const auto n = Mirror.changeCount(prefix); compressed.Changes != n) {
      auto body =
          deflate(formatObjectList(*Mirror.list(prefix, allowUnconfirmed)));
      if (!body.ok())
        return toResponse(body.status());
      compressed = {n, *std::move(body)};
    }
    return {static_cast<unsigned>(HttpStatus::Ok),
            "application/json",
            compressed.Body,
            {{"Content-Encoding", std::string(DeflateEncoding)}}};
  }

private:
  struct CompressedList {
    std::uint64_t Changes = 0;
    std::string Body;
  };

  const ObjectMirror &Mirror;
  std::map<std::string, CompressedList> Lists;
};

} // namespace

auto makeMirrorApi(ObjectMirror &mirror, const Clock &time) -> HttpHandler {
  return [&, lists = std::make_shared<ListResponder>(mirror)](
             const HttpRequest &r, const HttpRespond &respond) {
    const auto target = parseUrlTarget(r.Target);
    const auto prefix = target.text("prefix");
    if (r.Method == "GET" && target.Path == "/v1/objects")
      return respond(
          lists->respond(r, prefix, target.number("unconfirmed") != 0));
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
