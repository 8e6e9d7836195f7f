#include "store/mirror_api.h"

#include "net/deflate.h"
#include "net/object_json.h"
#include "net/url_target.h"

#include <algorithm>

namespace boragebridge {

/// The longest time for which a reader may keep a watch open.
static constexpr std::chrono::milliseconds MaxWait{30'000};

/// Shorter bodies fit into one or two packets anyway.
static constexpr std::size_t MinCompressedBytes = 2048;

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
          r.ok() ? "application/json" : "text/plain",
          r.ok() ? formatObjectList(*r) : std::string(r.status().message()),
          {}};
}

static auto acceptsDeflate(const HttpRequest &r) -> bool {
  const auto it = r.Headers.find("accept-encoding");
  return it != r.Headers.end() && it->second == DeflateEncoding;
}

namespace {

using SharedText = std::shared_ptr<const std::string>;

auto jsonResponse(SharedText body, HttpHeaders headers = {}) -> HttpResponse {
  return {static_cast<unsigned>(HttpStatus::Ok),
          "application/json",
          {},
          std::move(headers),
          std::move(body)};
}

auto encodingHeader(bool isCompressed) -> HttpHeaders {
  if (!isCompressed)
    return {};
  return {{"Content-Encoding", std::string(DeflateEncoding)}};
}

/// Formats responses. Many readers get the same response, as they start or wait
/// for a change at the same time, so a body is formatted once and shared.
class ResponseFormatter {
public:
  /// \p mirror outlives the object.
  explicit ResponseFormatter(const ObjectMirror &mirror) : Mirror(mirror) {}

  auto list(const HttpRequest &r, const std::string &prefix,
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
      compressed = {n, std::make_shared<const std::string>(*std::move(body))};
    }
    return jsonResponse(compressed.Body, encodingHeader(true));
  }

  /// The response to a watch of \p prefix from version \p after on, compressed
  /// if \p mayCompress and it is long.
  auto watch(const std::string &prefix, ObjectVersion after, bool mayCompress,
             const absl::StatusOr<ObjectList> &r) -> HttpResponse {
    if (!r.ok() || r->Events.empty())
      return toResponse(r);
    auto &last = Watches[{prefix, mayCompress}];
    const auto n = Mirror.changeCount(prefix);
    auto body = last.Body.lock();
    if (body == nullptr || last.After != after || last.Changes != n) {
      auto text = formatObjectList(*r);
      last = {after, n, {}, mayCompress && text.size() >= MinCompressedBytes};
      if (last.IsCompressed) {
        auto compressed = deflate(text);
        if (!compressed.ok())
          return toResponse(compressed.status());
        text = *std::move(compressed);
      }
      body = std::make_shared<const std::string>(std::move(text));
      last.Body = body;
    }
    return jsonResponse(std::move(body), encodingHeader(last.IsCompressed));
  }

private:
  struct CompressedList {
    std::uint64_t Changes = 0;
    SharedText Body;
  };
  /// The last response to a watch, while it is being sent.
  struct WatchResponse {
    ObjectVersion After = 0;
    std::uint64_t Changes = 0;
    std::weak_ptr<const std::string> Body;
    bool IsCompressed = false;
  };

  const ObjectMirror &Mirror;
  std::map<std::string, CompressedList> Lists;
  /// By prefix, and by whether the response may be compressed.
  std::map<std::pair<std::string, bool>, WatchResponse> Watches;
};

} // namespace

auto makeMirrorApi(ObjectMirror &mirror, const Clock &time) -> HttpHandler {
  return [&, formatter = std::make_shared<ResponseFormatter>(mirror)](
             const HttpRequest &r, const HttpRespond &respond) {
    const auto target = parseUrlTarget(r.Target);
    const auto prefix = target.text("prefix");
    if (r.Method == "GET" && target.Path == "/v1/objects")
      return respond(
          formatter->list(r, prefix, target.number("unconfirmed") != 0));
    if (r.Method != "GET" || target.Path != "/v1/watch")
      return respond({static_cast<unsigned>(HttpStatus::NotFound),
                      "application/json",
                      "{}",
                      {}});
    const auto after = target.number("after");
    const auto mayCompress = acceptsDeflate(r);
    const auto waitMs =
        std::min<std::uint64_t>(target.number("wait_ms"), MaxWait.count());
    if (waitMs == 0)
      return respond(formatter->watch(prefix, after, mayCompress,
                                      mirror.changes(prefix, after)));
    mirror.watch(prefix, after, time.now() + std::chrono::milliseconds(waitMs),
                 [respond, formatter, prefix, after,
                  mayCompress](const absl::StatusOr<ObjectList> &l) {
                   respond(formatter->watch(prefix, after, mayCompress, l));
                 });
  };
}

} // namespace boragebridge
