#include "net/object_json.h"

#include "net/json_text.h"

#include <boost/json.hpp>
#include <boost/url/decode_view.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace boragebridge {

namespace json = boost::json;

static auto objectToJson(const ObjectEvent &e) -> json::object {
  json::object out{{"key", e.Object.Key}, {"version", e.Object.Version}};
  if (e.Removed)
    out["removed"] = true;
  else
    out["value"] = e.Object.Value;
  return out;
}

static auto eventFromJson(const json::value &v) -> ObjectEvent {
  const auto &in = v.as_object();
  ObjectEvent e;
  e.Object.Key = json::value_to<std::string>(in.at("key"));
  e.Object.Version = in.at("version").to_number<ObjectVersion>();
  const auto *removed = in.if_contains("removed");
  e.Removed = removed != nullptr && removed->as_bool();
  if (!e.Removed)
    e.Object.Value = json::value_to<std::string>(in.at("value"));
  return e;
}

auto formatObject(const StoredObject &o) -> std::string {
  return json::serialize(objectToJson({o, false}));
}

auto parseObject(const std::string &body) -> absl::StatusOr<StoredObject> {
  return readJson(
      body, [](const json::value &v) { return eventFromJson(v).Object; },
      allowInvalidUtf8());
}

auto formatObjectList(const ObjectList &l) -> std::string {
  json::array objects;
  for (const auto &it : l.Events)
    objects.push_back(objectToJson(it));
  json::object out{{"current_version", l.CurrentVersion},
                   {"objects", std::move(objects)}};
  if (l.Digest)
    out["digest"] = *l.Digest;
  return json::serialize(out);
}

auto parseObjectList(const std::string &body) -> absl::StatusOr<ObjectList> {
  return readJson(
      body,
      [](const json::value &v) {
        ObjectList out;
        out.CurrentVersion = v.at("current_version").to_number<ObjectVersion>();
        for (const auto &it : v.at("objects").as_array())
          out.Events.push_back(eventFromJson(it));
        if (const auto *digest = v.as_object().if_contains("digest"))
          out.Digest = digest->to_number<ViewDigest>();
        return out;
      },
      allowInvalidUtf8());
}

auto formatVersion(ObjectVersion v) -> std::string {
  return json::serialize(json::object{{"version", v}});
}

auto parseVersion(const std::string &body) -> absl::StatusOr<ObjectVersion> {
  return readJson(body, [](const json::value &v) {
    return v.at("version").to_number<ObjectVersion>();
  });
}

auto formatValue(const std::string &value) -> std::string {
  return json::serialize(json::object{{"value", value}});
}

auto parseValue(const std::string &body) -> absl::StatusOr<std::string> {
  return readJson(body, [](const json::value &v) {
    return json::value_to<std::string>(v.at("value"));
  });
}

auto percentEncode(const std::string &s) -> std::string {
  return boost::urls::encode(s, boost::urls::unreserved_chars + '/');
}

auto percentDecode(const std::string &s) -> std::string {
  auto view = boost::urls::make_pct_string_view(s);
  if (!view)
    return s;
  std::string out;
  out.resize(view->decoded_size());
  std::copy((**view).begin(), (**view).end(), out.begin());
  return out;
}

} // namespace boragebridge
