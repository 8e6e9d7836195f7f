#include "config/head.h"

#include <boost/json.hpp>

#include <algorithm>

namespace boragebridge {

namespace json = boost::json;

static constexpr std::array<std::string_view, 8> OperationNames{
    "withdraw", "return", "drain", "activate",
    "remove",   "add",    "clear", "import"};
static constexpr std::size_t OperationsPerRecord = 256;

auto toString(OperationKind kind) -> std::string_view {
  return OperationNames[static_cast<std::size_t>(kind)];
}

auto parseOperationKind(std::string_view s, OperationKind &kind) -> bool {
  const auto *it = std::find(OperationNames.begin(), OperationNames.end(), s);
  if (it == OperationNames.end())
    return false;
  kind = static_cast<OperationKind>(it - OperationNames.begin());
  return true;
}

auto Head::findChange(std::string_view id) const -> const ChangeRecord * {
  auto it = std::find_if(Log.begin(), Log.end(),
                         [id](const auto &r) { return r.Id == id; });
  return it == Log.end() ? nullptr : &*it;
}

static auto toJson(const Operation &op) -> json::value {
  json::object o{{"action", toString(op.Kind)}, {"target", op.Target}};
  if (!op.Row.empty())
    o["row"] = op.Row;
  return o;
}

static auto toJson(const ChangeRecord &r) -> json::value {
  json::array operations;
  for (const auto &it : r.Operations)
    operations.push_back(toJson(it));
  return json::object{{"id", r.Id},
                      {"actor", r.Actor},
                      {"team", r.Team},
                      {"at", r.At},
                      {"revision", raw(r.RevisionNumber)},
                      {"operations", std::move(operations)}};
}

static auto text(const json::object &o, std::string_view name) -> std::string {
  const auto *it = o.if_contains(name);
  return it == nullptr ? std::string() : std::string(it->as_string());
}

static auto operationFrom(const json::value &v) -> Operation {
  const auto &o = v.as_object();
  Operation op;
  if (!parseOperationKind(text(o, "action"), op.Kind))
    throw std::invalid_argument("action");
  op.Target = text(o, "target");
  op.Row = text(o, "row");
  return op;
}

static auto recordFrom(const json::value &v) -> ChangeRecord {
  const auto &o = v.as_object();
  ChangeRecord r{text(o, "id"),
                 text(o, "actor"),
                 text(o, "team"),
                 o.at("at").to_number<std::int64_t>(),
                 Revision{o.at("revision").to_number<std::uint64_t>()},
                 {}};
  const auto &operations = o.at("operations").as_array();
  if (operations.size() > OperationsPerRecord)
    throw std::invalid_argument("operations");
  for (const auto &it : operations)
    r.Operations.push_back(operationFrom(it));
  return r;
}

auto encodeHead(const Head &head, std::size_t records) -> std::string {
  json::array shards(head.Shards.begin(), head.Shards.end());
  json::array urgent;
  for (const auto &[target, it] : head.Urgent)
    urgent.push_back(toJson(it));
  json::array log;
  const auto skip =
      head.Log.size() > records ? head.Log.size() - records : std::size_t{0};
  for (auto n = skip; n < head.Log.size(); ++n)
    log.push_back(toJson(head.Log[n]));
  return json::serialize(json::object{{"revision", raw(head.RevisionNumber)},
                                      {"shards", std::move(shards)},
                                      {"urgent", std::move(urgent)},
                                      {"log", std::move(log)}});
}

static auto headFrom(const json::value &v) -> Head {
  const auto &o = v.as_object();
  Head head;
  head.RevisionNumber = Revision{o.at("revision").to_number<std::uint64_t>()};
  for (const auto &it : o.at("shards").as_array())
    head.Shards.emplace_back(it.as_string());
  for (const auto &it : o.at("urgent").as_array()) {
    auto op = operationFrom(it);
    head.Urgent[op.Target] = std::move(op);
  }
  for (const auto &it : o.at("log").as_array())
    head.Log.push_back(recordFrom(it));
  if (head.Shards.size() > ShardLimit || head.Urgent.size() > UrgentLimit ||
      head.Log.size() > LogLimit)
    throw std::invalid_argument("limits");
  return head;
}

auto decodeHead(std::string_view text, Head &head) -> bool {
  try {
    head = headFrom(json::parse(text));
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

auto encodeRecords(const std::vector<ChangeRecord> &records) -> std::string {
  json::array all;
  for (const auto &it : records)
    all.push_back(toJson(it));
  return json::serialize(all);
}

auto decodeRecords(std::string_view text, std::vector<ChangeRecord> &records)
    -> bool {
  try {
    const auto v = json::parse(text);
    if (v.as_array().size() > LogLimit)
      return false;
    for (const auto &it : v.as_array())
      records.push_back(recordFrom(it));
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

auto applyRecord(Head &head, const ChangeRecord &record) -> void {
  for (auto op : record.Operations) {
    auto &entry = head.Urgent[op.Target];
    if (op.Kind == OperationKind::Return || op.Kind == OperationKind::Clear) {
      head.Urgent.erase(op.Target);
      continue;
    }
    if (op.Kind == OperationKind::Import) {
      head.Urgent.erase(op.Target);
      continue;
    }
    // An upstream that an urgent operation added keeps its row when drained.
    if (op.Row.empty())
      op.Row = entry.Row;
    entry = std::move(op);
  }
  head.RevisionNumber = record.RevisionNumber;
  head.Log.push_back(record);
  if (head.Log.size() > LogLimit)
    head.Log.pop_front();
}

static auto upstreamFrom(const SheetRow &row) -> Upstream {
  return {idFromName<UpstreamId>(row.Name),
          row.Name,
          idFromName<ServiceId>(row.Service),
          idFromName<DataCentreId>(row.DataCentre),
          row.Address,
          row.Mode,
          row.Slots,
          row.Connections,
          row.SpeedPercent};
}

static auto addRow(Configuration &cfg, const SheetRow &row) -> void {
  switch (row.Kind) {
  case RowKind::DataCentre:
    cfg.DataCentres.push_back(
        {idFromName<DataCentreId>(row.Name), row.Name, false});
    return;
  case RowKind::Service:
    cfg.Services.push_back(
        {idFromName<ServiceId>(row.Name), row.Name, row.Team, row.Address});
    return;
  case RowKind::Upstream:
    cfg.Upstreams.push_back(upstreamFrom(row));
    return;
  }
}

static auto nameOf(const std::string &target) -> std::string_view {
  return std::string_view(target).substr(target.find('/') + 1);
}

static auto applyToUpstream(Configuration &cfg, const Operation &op) -> void {
  const auto id = idFromName<UpstreamId>(nameOf(op.Target));
  auto it = std::find_if(cfg.Upstreams.begin(), cfg.Upstreams.end(),
                         [id](const auto &u) { return u.Id == id; });
  if (op.Kind == OperationKind::Remove) {
    if (it != cfg.Upstreams.end())
      cfg.Upstreams.erase(it);
    return;
  }
  if (!op.Row.empty()) {
    const auto rows = parseRows(renderSheet({}) + op.Row).Rows;
    if (rows.size() != 1)
      return;
    if (it == cfg.Upstreams.end())
      it = cfg.Upstreams.insert(it, upstreamFrom(rows.front()));
    else
      *it = upstreamFrom(rows.front());
  }
  if (it == cfg.Upstreams.end())
    return;
  if (op.Kind == OperationKind::Drain)
    it->Mode = UpstreamMode::Draining;
  if (op.Kind == OperationKind::Activate)
    it->Mode = UpstreamMode::Active;
}

auto makeConfiguration(const Sheet &rows, const Head &head) -> Configuration {
  Configuration cfg;
  cfg.RevisionNumber = head.RevisionNumber;
  for (const auto &it : rows)
    addRow(cfg, it);
  for (const auto &[target, op] : head.Urgent) {
    if (target.starts_with("upstream/")) {
      applyToUpstream(cfg, op);
      continue;
    }
    for (auto &dc : cfg.DataCentres)
      if (dc.Name == nameOf(target))
        dc.Withdrawn = op.Kind == OperationKind::Withdraw;
  }
  return cfg;
}

} // namespace boragebridge
