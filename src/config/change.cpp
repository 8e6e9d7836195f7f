#include "config/change.h"

#include <algorithm>

namespace boragebridge {

namespace {

using Rejection = std::optional<ChangeOutcome>;

auto refuse(ChangeState state, std::string detail) -> Rejection {
  ChangeOutcome o;
  o.State = state;
  o.Detail = std::move(detail);
  return o;
}

auto overlaps(const ChangeRecord &r, const ChangeRequest &request) -> bool {
  if (request.Import)
    return std::any_of(
        r.Operations.begin(), r.Operations.end(),
        [](const auto &op) { return op.Kind == OperationKind::Import; });
  return std::any_of(
      r.Operations.begin(), r.Operations.end(), [&](const auto &accepted) {
        return std::any_of(request.Operations.begin(), request.Operations.end(),
                           [&](const auto &requested) {
                             return requested.Target == accepted.Target;
                           });
      });
}

auto checkConflict(const ChangeRequest &request, const Head &head)
    -> Rejection {
  if (request.Base >= head.RevisionNumber)
    return std::nullopt;
  if (head.Log.empty() ||
      raw(head.Log.front().RevisionNumber) > raw(request.Base) + 1)
    return refuse(ChangeState::Conflict,
                  "the revision looked at is too old to be compared");
  for (const auto &it : head.Log)
    if (it.RevisionNumber > request.Base && overlaps(it, request)) {
      auto v = refuse(ChangeState::Conflict,
                      "touches what change " + it.Id + " has changed");
      v->Other = it;
      return v;
    }
  return std::nullopt;
}

auto checkImport(const ChangeRequest &request, const Sheet &rows) -> Rejection {
  if (!request.Team.empty())
    return refuse(ChangeState::Forbidden,
                  "importing a sheet takes a platform role");
  const auto diff = diffSheets(rows, *request.Import);
  const auto limit =
      UnconfirmedRemovalShare * static_cast<double>(diff.UpstreamsBefore);
  if (!request.Confirmed && static_cast<double>(diff.UpstreamsRemoved) > limit)
    return refuse(ChangeState::NeedsConfirmation,
                  "removes " + std::to_string(diff.UpstreamsRemoved) + " of " +
                      std::to_string(diff.UpstreamsBefore) + " upstreams");
  return std::nullopt;
}

/// Returns the row of \p target among the urgent additions, else in the sheet.
auto findRow(const std::string &target, const Head &head, const Sheet &rows)
    -> std::optional<SheetRow> {
  auto urgent = head.Urgent.find(target);
  if (urgent != head.Urgent.end() && !urgent->second.Row.empty())
    if (auto r = parseRows(renderSheet({}) + urgent->second.Row).Rows;
        r.size() == 1)
      return r.front();
  auto it = std::find_if(rows.begin(), rows.end(),
                         [&](const auto &r) { return targetOf(r) == target; });
  return it == rows.end() ? std::nullopt : std::optional(*it);
}

auto checkOwner(const ChangeRequest &request, const std::string &service,
                const Sheet &rows) -> Rejection {
  auto it = std::find_if(rows.begin(), rows.end(), [&](const auto &r) {
    return r.Kind == RowKind::Service && r.Name == service;
  });
  if (it == rows.end())
    return refuse(ChangeState::Invalid, "no such service: " + service);
  if (!request.Team.empty() && it->Team != request.Team)
    return refuse(ChangeState::Forbidden,
                  "service " + service + " belongs to another team");
  return std::nullopt;
}

auto checkAddition(const Operation &op, const Head &head, const Sheet &rows)
    -> Rejection {
  const auto added = parseRows(renderSheet({}) + op.Row);
  if (!added.Errors.empty())
    return refuse(ChangeState::Invalid, added.Errors.front().Message);
  if (added.Rows.size() != 1 || added.Rows.front().Kind != RowKind::Upstream ||
      targetOf(added.Rows.front()) != op.Target)
    return refuse(ChangeState::Invalid, "add takes one upstream");
  const auto &row = added.Rows.front();
  const auto conflicts = [&](const SheetRow &r) {
    return r.Kind == RowKind::Upstream && r.Name != row.Name &&
           (r.Address == row.Address || hashName(r.Name) == hashName(row.Name));
  };
  if (std::any_of(rows.begin(), rows.end(), conflicts))
    return refuse(ChangeState::Invalid, "the address or name is taken");
  for (const auto &[target, it] : head.Urgent)
    if (auto r = findRow(target, head, {}); r && conflicts(*r))
      return refuse(ChangeState::Invalid, "the address or name is taken");
  const auto known = std::any_of(rows.begin(), rows.end(), [&](const auto &r) {
    return r.Kind == RowKind::DataCentre && r.Name == row.DataCentre;
  });
  if (!known)
    return refuse(ChangeState::Invalid,
                  "no such data centre: " + row.DataCentre);
  return std::nullopt;
}

auto checkOperation(const ChangeRequest &request, const Operation &op,
                    const Head &head, const Sheet &rows) -> Rejection {
  const auto dcOperation =
      op.Kind == OperationKind::Withdraw || op.Kind == OperationKind::Return;
  if (dcOperation != op.Target.starts_with("data_centre/"))
    return refuse(ChangeState::Invalid, "the action does not fit the target");
  if (dcOperation && !request.Team.empty())
    return refuse(ChangeState::Forbidden, "data centres take a platform role");
  if (op.Kind == OperationKind::Add) {
    if (auto v = checkAddition(op, head, rows))
      return v;
    const auto row = parseRows(renderSheet({}) + op.Row).Rows.front();
    // An upstream of another team must not be replaced by one with its name.
    if (const auto old = findRow(op.Target, head, rows))
      if (auto v = checkOwner(request, old->Service, rows))
        return v;
    return checkOwner(request, row.Service, rows);
  }
  const auto row = findRow(op.Target, head, rows);
  const auto clearsStaleEntry =
      op.Kind == OperationKind::Clear && head.Urgent.contains(op.Target);
  if (!row && !(clearsStaleEntry && request.Team.empty()))
    return refuse(ChangeState::Invalid, "no such entry: " + op.Target);
  if (!row || dcOperation)
    return std::nullopt;
  return checkOwner(request, row->Service, rows);
}

} // namespace

auto checkChange(const ChangeRequest &request, const Head &head,
                 const Sheet &rows) -> std::optional<ChangeOutcome> {
  if (auto v = checkConflict(request, head))
    return v;
  if (request.Import)
    return checkImport(request, rows);
  if (head.Urgent.size() + request.Operations.size() > UrgentLimit)
    return refuse(ChangeState::Invalid, "too many urgent entries; clear some");
  for (const auto &it : request.Operations)
    if (auto v = checkOperation(request, it, head, rows))
      return v;
  return std::nullopt;
}

auto makeRecord(const ChangeRequest &request, const Head &head,
                const Sheet &rows) -> ChangeRecord {
  ChangeRecord r{request.Id,
                 request.Actor,
                 request.Team,
                 request.At,
                 Revision{raw(head.RevisionNumber) + 1},
                 request.Operations};
  if (!request.Import)
    return r;
  const auto diff = diffSheets(rows, *request.Import);
  r.Operations = {{OperationKind::Import, "sheet",
                   std::to_string(diff.Added.size()) + " added, " +
                       std::to_string(diff.Changed.size()) + " changed, " +
                       std::to_string(diff.Removed.size()) + " removed"}};
  return r;
}

auto keptEntries(const Head &head) -> std::vector<std::string> {
  std::vector<std::string> kept;
  for (const auto &[target, it] : head.Urgent)
    kept.push_back(target + " " + std::string(toString(it.Kind)));
  return kept;
}

} // namespace boragebridge
