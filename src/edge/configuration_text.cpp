#include "edge/configuration_text.h"

#include "net/json_split.h"

namespace boragebridge {

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
                       const PartArray &array) -> absl::StatusOr<PartTexts> {
  const auto text = requireMember(document, array.Member);
  if (!text.ok())
    return text.status();
  auto elements = splitJsonArray(*text);
  if (!elements.ok())
    return elements.status();
  return PartTexts{*std::move(elements), array.Id};
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
  auto routeTexts = splitArray(*document, routes);
  if (!routeTexts.ok())
    return routeTexts.status();
  auto serviceTexts = splitArray(*document, services);
  if (!serviceTexts.ok())
    return serviceTexts.status();
  return ConfigurationText{joinHead(*document, routes, services),
                           *std::move(routeTexts), *std::move(serviceTexts)};
}

auto idOfPart(std::string_view part, std::string_view id)
    -> absl::StatusOr<std::string> {
  const auto members = splitJsonObject(part);
  if (!members.ok())
    return members.status();
  const auto value = requireMember(*members, id);
  if (!value.ok())
    return value.status();
  return std::string(unquoted(*value));
}

} // namespace boragebridge
