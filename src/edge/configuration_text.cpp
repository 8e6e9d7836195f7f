#include "edge/configuration_text.h"

#include "net/json_split.h"

#include <unordered_set>

namespace boragebridge {

/// \p id, or a variant of it if an earlier element at \p index has it already.
static auto uniqueId(std::string id, std::size_t index,
                     std::unordered_set<std::string> &used) -> std::string {
  if (!used.insert(id).second) {
    id += '#' + std::to_string(index);
    used.insert(id);
  }
  return id;
}

/// The JSON value \p text, a string without its quotes.
static auto unquoted(std::string_view text) -> std::string_view {
  const auto isString = text.size() >= 2 && text.front() == '"';
  return isString ? text.substr(1, text.size() - 2) : text;
}

/// Like findJsonMember(), but a missing member is InvalidArgument.
static auto requireMember(const std::vector<JsonMember> &members,
                          std::string_view name)
    -> absl::StatusOr<std::string_view> {
  auto value = findJsonMember(members, name);
  if (!value.ok())
    return absl::InvalidArgumentError(value.status().message());
  return value;
}

static auto splitArray(const std::vector<JsonMember> &document,
                       const PartArray &array)
    -> absl::StatusOr<std::vector<ConfigurationPart>> {
  const auto text = requireMember(document, array.Member);
  if (!text.ok())
    return text.status();
  const auto elements = splitJsonArray(*text);
  if (!elements.ok())
    return elements.status();
  std::vector<ConfigurationPart> out;
  out.reserve(elements->size());
  std::unordered_set<std::string> used;
  for (const auto it : *elements) {
    const auto members = splitJsonObject(it);
    if (!members.ok())
      return members.status();
    const auto id = requireMember(*members, array.Id);
    if (!id.ok())
      return id.status();
    out.push_back({uniqueId(std::string(unquoted(*id)), out.size(), used), it});
  }
  return out;
}

/// The members of \p document but for the arrays, as the text of an object.
static auto joinHead(const std::vector<JsonMember> &document,
                     const PartArray &routes, const PartArray &services)
    -> std::string {
  std::string out;
  for (const auto &it : document) {
    if (it.Name == routes.Member || it.Name == services.Member)
      continue;
    out += out.empty() ? "{\"" : ",\"";
    out += it.Name;
    out += "\":";
    out += it.Value;
  }
  return out.empty() ? "{}" : out + '}';
}

auto splitConfigurationText(std::string_view text, const PartArray &routes,
                            const PartArray &services)
    -> absl::StatusOr<ConfigurationText> {
  const auto document = splitJsonObject(text);
  if (!document.ok())
    return document.status();
  auto routeParts = splitArray(*document, routes);
  if (!routeParts.ok())
    return routeParts.status();
  auto serviceParts = splitArray(*document, services);
  if (!serviceParts.ok())
    return serviceParts.status();
  return ConfigurationText{joinHead(*document, routes, services),
                           *std::move(routeParts), *std::move(serviceParts)};
}

} // namespace boragebridge
