#include "edge/configuration_parts.h"

#include <utility>

namespace boragebridge {

namespace {

constexpr std::string_view HeadKind = "head/";
constexpr std::string_view RouteKind = "routes/";
constexpr std::string_view ServiceKind = "services/";

/// Parts have no versions of their own: a part has changed if its text has.
constexpr ObjectVersion PartVersion = 1;

auto keyOf(std::string_view kind, std::string_view id) -> std::string {
  std::string key(ConfigurationPartsPrefix);
  key += kind;
  key += id;
  return key;
}

auto isOfKind(const std::string &key, std::string_view kind) -> bool {
  return key.compare(ConfigurationPartsPrefix.size(), kind.size(), kind) == 0;
}

auto addParts(std::string_view kind,
              const std::vector<ConfigurationPart> &parts,
              std::vector<ObjectEvent> &out) -> void {
  for (const auto &it : parts)
    out.push_back(
        {{keyOf(kind, it.Id), std::string(it.Text), PartVersion}, false});
}

} // namespace

auto splitIntoObjects(const RecordFormat &format, const StoredObject &o,
                      ObjectVersion current) -> absl::StatusOr<ObjectList> {
  auto parts = format.splitConfiguration(o);
  if (!parts.ok())
    return parts.status();
  ObjectList out;
  out.CurrentVersion = current;
  out.Events.reserve(1 + parts->Routes.size() + parts->Services.size());
  out.Events.push_back(
      {{keyOf(HeadKind, ""), std::move(parts->Head), PartVersion}, false});
  addParts(RouteKind, parts->Routes, out.Events);
  addParts(ServiceKind, parts->Services, out.Events);
  return out;
}

auto decodeConfiguration(const RecordFormat &format, const StoredObject &o)
    -> absl::StatusOr<EdgeConfiguration> {
  const auto objects = splitIntoObjects(format, o, o.Version);
  if (!objects.ok())
    return objects.status();
  ConfigurationParts parts(format);
  parts.apply(objects->Events);
  return parts.configuration();
}

auto ConfigurationParts::apply(const std::vector<ObjectEvent> &changes)
    -> void {
  for (const auto &it : changes) {
    if (it.Removed)
      erase(it.Object.Key);
    else
      set(it.Object.Key, it.Object.Value);
  }
}

template <typename T>
auto ConfigurationParts::keep(std::map<std::string, T> &parts,
                              const std::string &key, absl::StatusOr<T> decoded)
    -> void {
  if (decoded.ok())
    parts.insert_or_assign(key, *std::move(decoded));
  else
    Refused.insert_or_assign(key, decoded.status());
}

auto ConfigurationParts::set(const std::string &key, const std::string &text)
    -> void {
  Refused.erase(key);
  if (isOfKind(key, HeadKind))
    keep(Heads, key, Format.decodeConfigurationHead(text));
  else if (isOfKind(key, RouteKind))
    keep(Routes, key, Format.decodeRoute(text));
  else if (isOfKind(key, ServiceKind))
    keep(Services, key, Format.decodeService(text));
}

auto ConfigurationParts::erase(const std::string &key) -> void {
  Refused.erase(key);
  Heads.erase(key);
  Routes.erase(key);
  Services.erase(key);
}

auto ConfigurationParts::configuration() const
    -> absl::StatusOr<EdgeConfiguration> {
  if (!Refused.empty()) {
    const auto &[key, why] = *Refused.begin();
    return absl::InvalidArgumentError(key + ": " + std::string(why.message()));
  }
  if (Heads.empty())
    return absl::NotFoundError("the configuration has no head");
  auto out = Heads.begin()->second;
  out.Routes.reserve(Routes.size());
  for (const auto &[key, it] : Routes)
    out.Routes.push_back(it);
  for (const auto &[key, it] : Services)
    out.Services.push_back(it);
  return out;
}

} // namespace boragebridge
