#include "admin/admin_json.h"

#include <array>

namespace boragebridge {

namespace json = boost::json;

static constexpr std::size_t OperationLimit = 256;
static constexpr std::size_t DiffLimit = 1000;

auto jsonResponse(unsigned status, const json::value &body) -> AdminResponse {
  AdminResponse r;
  r.Status = status;
  r.Body = json::serialize(body) + "\n";
  return r;
}

auto problem(unsigned status, std::string_view type, std::string_view detail,
             json::object more) -> AdminResponse {
  std::string title(type);
  for (auto &c : title)
    c = c == '-' ? ' ' : c;
  more["type"] = "urn:boragebridge:problem:" + std::string(type);
  more["title"] = title;
  more["status"] = status;
  more["detail"] = detail;
  auto r = jsonResponse(status, more);
  r.ContentType = "application/problem+json";
  return r;
}

auto sheetProblem(const std::vector<SheetError> &errors) -> AdminResponse {
  constexpr unsigned Unprocessable = 422;
  json::array all;
  for (const auto &it : errors)
    all.push_back(
        {{"line", it.Line}, {"column", it.Column}, {"message", it.Message}});
  return problem(Unprocessable, "sheet-has-faults",
                 std::to_string(errors.size()) + " faults; nothing changed",
                 {{"errors", std::move(all)}});
}

auto toJson(const ChangeRecord &r) -> json::object {
  json::array operations;
  for (const auto &it : r.Operations) {
    json::object o{{"action", toString(it.Kind)}, {"target", it.Target}};
    if (!it.Row.empty())
      o["row"] = it.Row;
    operations.push_back(std::move(o));
  }
  return {{"id", r.Id},
          {"actor", r.Actor},
          {"team", r.Team},
          {"at", r.At},
          {"revision", raw(r.RevisionNumber)},
          {"operations", std::move(operations)}};
}

auto changeResponse(const std::string &id, const ChangeOutcome &o)
    -> AdminResponse {
  switch (o.State) {
  case ChangeState::Accepted: {
    json::object body{
        {"id", id}, {"state", "accepted"}, {"revision", raw(o.RevisionNumber)}};
    if (!o.Kept.empty())
      body["urgent_entries_kept"] = json::array(o.Kept.begin(), o.Kept.end());
    return jsonResponse(200, body);
  }
  case ChangeState::Pending:
    return jsonResponse(202, json::object{{"id", id}, {"state", "pending"}});
  case ChangeState::Conflict: {
    json::object more;
    if (o.Other)
      more["other"] = toJson(*o.Other);
    return problem(409, "conflict", o.Detail, std::move(more));
  }
  case ChangeState::NeedsConfirmation:
    return problem(409, "confirmation-required", o.Detail);
  case ChangeState::Forbidden:
    return problem(403, "forbidden", o.Detail);
  case ChangeState::Invalid:
    return problem(422, "invalid-change", o.Detail);
  case ChangeState::Overloaded:
    return problem(429, "too-many-changes", o.Detail);
  default:
    return problem(503, "platform-unreachable", o.Detail);
  }
}

auto toJson(const Configuration &cfg) -> json::object {
  json::array dcs;
  for (const auto &it : cfg.DataCentres)
    dcs.push_back({{"name", it.Name}, {"withdrawn", it.Withdrawn}});
  json::array services;
  for (const auto &it : cfg.Services)
    services.push_back({{"name", it.Name},
                        {"team", it.Team},
                        {"address", toString(it.Address)}});
  json::array upstreams;
  for (const auto &it : cfg.Upstreams) {
    const auto *service = cfg.findService(it.Service);
    const auto *dc = cfg.findDataCentre(it.DataCentre);
    upstreams.push_back(
        {{"name", it.Name},
         {"service", service == nullptr ? "" : service->Name},
         {"data_centre", dc == nullptr ? "" : dc->Name},
         {"address", toString(it.Address)},
         {"slots", it.Slots},
         {"connections", it.Connections},
         {"speed_percent", it.SpeedPercent},
         {"mode", it.Mode == UpstreamMode::Active ? "active" : "draining"}});
  }
  return {{"revision", raw(cfg.RevisionNumber)},
          {"data_centres", std::move(dcs)},
          {"services", std::move(services)},
          {"upstreams", std::move(upstreams)}};
}

static auto listOf(const std::vector<std::string> &all) -> json::object {
  const auto n = std::min(all.size(), DiffLimit);
  return {{"count", all.size()},
          {"names", json::array(all.begin(),
                                all.begin() + static_cast<std::ptrdiff_t>(n))}};
}

auto toJson(const SheetDiff &d) -> json::object {
  return {{"added", listOf(d.Added)},
          {"changed", listOf(d.Changed)},
          {"removed", listOf(d.Removed)}};
}

auto toJson(const Holders &h) -> json::object {
  json::array missing;
  for (const auto &it : h.Missing)
    missing.push_back(json::value(toString(it)));
  return {{"live", h.Live},
          {"holding", h.Holding},
          {"missing", std::move(missing)}};
}

auto toJson(const MembershipView &v) -> json::array {
  static constexpr std::array States{"alive", "suspect", "leaving", "dead"};
  json::array all;
  for (const auto &it : v.Members)
    all.push_back({{"address", toString(it.PeerAddress)},
                   {"incarnation", std::to_string(raw(it.IncarnationNumber))},
                   {"state", States[static_cast<std::size_t>(it.State)]}});
  return all;
}

/// Returns the text member \p name of \p o, or an empty string.
static auto text(const json::object &o, std::string_view name) -> std::string {
  const auto *it = o.if_contains(name);
  return it == nullptr ? std::string() : std::string(it->as_string());
}

/// Returns the member \p name of \p o as a field of a CSV row: a number, or
/// text without separators. Throws for any other value.
static auto field(const json::object &o, std::string_view name) -> std::string {
  const auto *it = o.if_contains(name);
  if (it == nullptr)
    return {};
  auto s = it->is_string() ? std::string(it->as_string())
                           : std::to_string(it->to_number<std::uint32_t>());
  if (s.find_first_of(",\"\r\n") != std::string::npos)
    throw std::invalid_argument("separator in a field");
  return s;
}

static auto operationFrom(const json::object &o) -> Operation {
  Operation op;
  if (!parseOperationKind(text(o, "action"), op.Kind) ||
      op.Kind == OperationKind::Import)
    throw std::invalid_argument("no such action");
  const auto dc =
      op.Kind == OperationKind::Withdraw || op.Kind == OperationKind::Return;
  const auto name = text(o, dc ? "data_centre" : "upstream");
  if (!isValidName(name))
    throw std::invalid_argument("no valid name");
  op.Target = (dc ? "data_centre/" : "upstream/") + name;
  if (op.Kind == OperationKind::Add) {
    op.Row = "upstream," + name + ",";
    for (auto it : {"service", "data_centre", "address", "slots", "connections",
                    "speed_percent", "mode"})
      op.Row += "," + field(o, it);
  }
  return op;
}

auto parseOperations(const std::string &body)
    -> absl::StatusOr<std::vector<Operation>> {
  try {
    std::vector<Operation> all;
    const auto root = json::parse(body);
    for (const auto &it : root.as_object().at("operations").as_array())
      all.push_back(operationFrom(it.as_object()));
    if (all.empty() || all.size() > OperationLimit)
      return absl::InvalidArgumentError("a change takes 1 to 256 operations");
    return all;
  } catch (const std::exception &e) {
    return absl::InvalidArgumentError(e.what());
  }
}

} // namespace boragebridge
