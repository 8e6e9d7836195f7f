#include "net/http_platform_client.h"

#include "net/http_client.h"
#include "net/object_json.h"

namespace boragebridge {

/// The store's errors in terms of platform_client.h.
static auto toStatus(const HttpResponse &r) -> absl::Status {
  const auto text = "platform answered " + std::to_string(r.Status);
  switch (r.Status) {
  case 200:
    return absl::OkStatus();
  case 404:
    return absl::NotFoundError(text);
  case 409:
    return absl::AbortedError(text);
  case 429:
    return absl::ResourceExhaustedError(text);
  case 503:
    return absl::UnavailableError(text);
  default:
    return absl::InvalidArgumentError(text);
  }
}

template <typename T>
auto HttpPlatformClient::call(HttpRequest r, Duration timeout,
                              absl::StatusOr<T> (*read)(const HttpResponse &),
                              Callback<T> done) -> void {
  httpCall(Io, Store, std::move(r), timeout,
           [alive = std::weak_ptr(Alive), read,
            done = std::move(done)](absl::StatusOr<HttpResponse> out) {
             if (alive.expired())
               return;
             if (!out.ok())
               return done(out.status());
             if (auto status = toStatus(*out); !status.ok())
               return done(status);
             done(read(*out));
           });
}

static auto objectPath(const std::string &key) -> std::string {
  return "/v1/objects/" + encodeUrlText(key);
}

static auto readObject(const HttpResponse &r) -> absl::StatusOr<StoredObject> {
  return parseObject(r.Body);
}
static auto readList(const HttpResponse &r) -> absl::StatusOr<ObjectList> {
  return parseObjectList(r.Body);
}
static auto readVersion(const HttpResponse &r)
    -> absl::StatusOr<ObjectVersion> {
  return parseVersion(r.Body);
}

auto HttpPlatformClient::get(std::string key, Callback<StoredObject> done)
    -> void {
  call({"GET", objectPath(key), "", {}}, CallTimeout, readObject,
       std::move(done));
}

auto HttpPlatformClient::list(std::string prefix, Callback<ObjectList> done)
    -> void {
  call({"GET", "/v1/objects?prefix=" + encodeUrlText(prefix), "", {}},
       CallTimeout, readList, std::move(done));
}

auto HttpPlatformClient::put(std::string key, std::string value,
                             ObjectVersion expected,
                             Callback<ObjectVersion> done) -> void {
  call({"PUT",
        objectPath(key) + "?expected=" + std::to_string(expected),
        formatValue(value),
        {}},
       CallTimeout, readVersion, std::move(done));
}

auto HttpPlatformClient::remove(std::string key, ObjectVersion expected,
                                Callback<ObjectVersion> done) -> void {
  call({"DELETE",
        objectPath(key) + "?expected=" + std::to_string(expected),
        "",
        {}},
       CallTimeout, readVersion, std::move(done));
}

auto HttpPlatformClient::watch(std::string prefix, ObjectVersion after,
                               Duration wait, Callback<ObjectList> done)
    -> void {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  call({"GET",
        "/v1/watch?prefix=" + encodeUrlText(prefix) + "&after=" +
            std::to_string(after) + "&wait_ms=" + std::to_string(ms),
        "",
        {}},
       wait + CallTimeout, readList, std::move(done));
}

} // namespace boragebridge
