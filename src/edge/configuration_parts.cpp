#include "edge/configuration_parts.h"

#include <utility>

#include <xxhash.h>

namespace boragebridge {

namespace {

constexpr std::string_view HeadKind = "head/";
constexpr std::string_view RouteKind = "routes/";
constexpr std::string_view ServiceKind = "services/";

/// Version of a part that is removed.
constexpr ObjectVersion RemovedPartVersion = 1;

/// Parts have no versions of their own. Instances split the same configuration
/// at different times and have to arrive at the same version of a part, so it
/// is a hash of the text. Never 0.
auto versionOf(std::uint64_t textHash) -> ObjectVersion {
  return textHash == 0 ? 1 : textHash;
}

auto keyOf(std::string_view kind, std::string_view id) -> std::string {
  std::string key(ConfigurationPartsPrefix);
  key += kind;
  key += id;
  return key;
}

/// The kind of the part with \p key.
auto kindOf(const std::string &key) -> std::string_view {
  for (const auto it : {HeadKind, RouteKind, ServiceKind})
    if (key.compare(ConfigurationPartsPrefix.size(), it.size(), it) == 0)
      return it;
  return {};
}

} // namespace

auto splitIntoObjects(const RecordFormat &format, const StoredObject &o,
                      ObjectVersion current) -> absl::StatusOr<ObjectList> {
  const auto text = format.splitConfiguration(o);
  if (!text.ok())
    return text.status();
  auto parts = ConfigurationParts(format).changesTo(*text);
  if (!parts.ok())
    return parts.status();
  ObjectList out;
  out.Events = *std::move(parts);
  out.CurrentVersion = current;
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

auto ConfigurationParts::digestOf(std::string_view kind, std::string_view text)
    -> Digest {
  const auto seed = XXH3_64bits(kind.data(), kind.size());
  const auto d = XXH3_128bits_withSeed(text.data(), text.size(), seed);
  return {d.low64, d.high64};
}

auto ConfigurationParts::isUnchanged(const Digest &d, const Changes &found)
    -> bool {
  const auto it = ByText.find(d);
  if (it == ByText.end())
    return false;
  auto &[key, part] = *it->second;
  if (part.SeenIn == Calls || found.Keys.contains(key))
    return false;
  part.SeenIn = Calls;
  return true;
}

auto ConfigurationParts::isTaken(const std::string &key,
                                 const Changes &found) const -> bool {
  const auto it = Known.find(key);
  return found.Keys.contains(key) ||
         (it != Known.end() && it->second.SeenIn == Calls);
}

auto ConfigurationParts::findChanges(std::string_view kind,
                                     const PartTexts &parts, Changes &out)
    -> absl::Status {
  for (std::size_t i = 0; i < parts.Texts.size(); ++i) {
    const auto text = parts.Texts[i];
    const auto digest = digestOf(kind, text);
    if (isUnchanged(digest, out))
      continue;
    const auto id = idOfPart(text, parts.Id);
    if (!id.ok())
      return id.status();
    auto key = keyOf(kind, *id);
    if (isTaken(key, out))
      key += '#' + std::to_string(i);
    out.Keys.insert(key);
    out.Events.push_back(
        {{key, std::string(text), versionOf(digest.Low)}, false});
  }
  return absl::OkStatus();
}

auto ConfigurationParts::changesTo(const ConfigurationText &text)
    -> absl::StatusOr<std::vector<ObjectEvent>> {
  ++Calls;
  Changes found;
  if (const auto digest = digestOf(HeadKind, text.Head);
      !isUnchanged(digest, found)) {
    const auto key = keyOf(HeadKind, "");
    found.Keys.insert(key);
    found.Events.push_back({{key, text.Head, versionOf(digest.Low)}, false});
  }
  if (auto s = findChanges(RouteKind, text.Routes, found); !s.ok())
    return s;
  if (auto s = findChanges(ServiceKind, text.Services, found); !s.ok())
    return s;
  for (const auto &[key, it] : Known)
    if (!isTaken(key, found))
      found.Events.push_back({{key, {}, RemovedPartVersion}, true});
  return std::move(found.Events);
}

auto ConfigurationParts::clear() -> void {
  Heads.clear();
  Routes.clear();
  Services.clear();
  Refused.clear();
  ByText.clear();
  Known.clear();
}

auto ConfigurationParts::apply(const std::vector<ObjectEvent> &changes)
    -> void {
  for (const auto &it : changes) {
    erase(it.Object.Key);
    if (!it.Removed)
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
  const auto kind = kindOf(key);
  const auto digest = digestOf(kind, text);
  const auto it = Known.insert_or_assign(key, KnownPart{digest, 0}).first;
  ByText.emplace(digest, &*it);
  if (kind == HeadKind)
    keep(Heads, key, Format.decodeConfigurationHead(text));
  else if (kind == RouteKind)
    keep(Routes, key, Format.decodeRoute(text));
  else if (kind == ServiceKind)
    keep(Services, key, Format.decodeService(text));
}

auto ConfigurationParts::erase(const std::string &key) -> void {
  const auto known = Known.find(key);
  if (known == Known.end())
    return;
  const auto it = ByText.find(known->second.Text);
  if (it != ByText.end() && it->second == &*known)
    ByText.erase(it);
  Known.erase(known);
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
