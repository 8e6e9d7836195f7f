#include "store/store_dialect.h"

#include "net/object_json.h"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace boragebridge {

/// Encodes \p s for a query. Unlike in a path, slashes are escaped.
static auto encodeQuery(const std::string &s) -> std::string {
  return boost::urls::encode(s, boost::urls::unreserved_chars);
}

static auto objectPath(const std::string &key) -> std::string {
  return "/v1/objects/" + percentEncode(key);
}

auto NativeDialect::poll(const std::string &prefix, ObjectVersion after) const
    -> StoreRequest {
  return watch(prefix, after, Duration::zero());
}

auto NativeDialect::get(const std::string &key) const -> StoreRequest {
  return {"GET", objectPath(key)};
}

auto NativeDialect::list(const std::string &prefix, const std::string &) const
    -> StoreRequest {
  return {"GET", "/v1/objects?prefix=" + encodeQuery(prefix)};
}

auto NativeDialect::put(const std::string &key, const std::string &value,
                        ObjectVersion expected) const -> StoreRequest {
  return {"PUT", objectPath(key) + "?expected=" + std::to_string(expected),
          formatValue(value)};
}

auto NativeDialect::remove(const std::string &key, ObjectVersion expected) const
    -> StoreRequest {
  return {"DELETE", objectPath(key) + "?expected=" + std::to_string(expected)};
}

auto NativeDialect::watch(const std::string &prefix, ObjectVersion after,
                          Duration wait) const -> StoreRequest {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
  return {"GET", "/v1/watch?prefix=" + encodeQuery(prefix) +
                     "&after=" + std::to_string(after) +
                     "&wait_ms=" + std::to_string(ms.count())};
}

auto NativeDialect::parseObject(const std::string &,
                                const std::string &body) const
    -> absl::StatusOr<StoredObject> {
  return boragebridge::parseObject(body);
}

auto NativeDialect::parsePage(const std::string &,
                              const std::string &body) const
    -> absl::StatusOr<StorePage> {
  auto list = parseObjectList(body);
  if (!list.ok())
    return list.status();
  return StorePage{*std::move(list)};
}

auto NativeDialect::parseVersion(const std::string &body) const
    -> absl::StatusOr<ObjectVersion> {
  return boragebridge::parseVersion(body);
}

auto UnconfirmedDialect::list(const std::string &prefix,
                              const std::string &next) const -> StoreRequest {
  auto request = NativeDialect::list(prefix, next);
  request.Target += "&unconfirmed=1";
  return request;
}

} // namespace boragebridge
