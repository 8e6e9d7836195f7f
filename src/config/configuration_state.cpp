#include "config/configuration_state.h"

#include <algorithm>
#include <bit>

namespace boragebridge {

static constexpr std::size_t RowsPerShard = 2000;

auto splitIntoShards(const Sheet &rows) -> std::vector<std::string> {
  const auto wanted = std::bit_ceil(rows.size() / RowsPerShard + 1);
  std::vector<Sheet> parts(std::min(wanted, ShardLimit));
  for (const auto &it : rows)
    parts[hashName(targetOf(it)) % parts.size()].push_back(it);
  std::vector<std::string> texts;
  texts.reserve(parts.size());
  for (const auto &it : parts)
    texts.push_back(renderSheet(it));
  return texts;
}

auto ConfigurationState::newestRevision() const -> Revision {
  return Candidate ? Candidate->RevisionNumber : Current.RevisionNumber;
}

auto ConfigurationState::update(Head head) -> UpdateResult {
  if (head.RevisionNumber <= newestRevision())
    return UpdateResult::Stale;
  Candidate = std::move(head);
  CandidateTexts.clear();
  for (const auto &key : Candidate->Shards)
    if (auto it = Texts.find(key); it != Texts.end())
      CandidateTexts.insert(*it);
  return missing().empty() ? activateCandidate() : UpdateResult::Incomplete;
}

auto ConfigurationState::addShard(const std::string &key, std::string text)
    -> UpdateResult {
  if (!Candidate || CandidateTexts.contains(key) ||
      std::find(Candidate->Shards.begin(), Candidate->Shards.end(), key) ==
          Candidate->Shards.end())
    return UpdateResult::Stale;
  CandidateTexts[key] = std::move(text);
  return missing().empty() ? activateCandidate() : UpdateResult::Incomplete;
}

auto ConfigurationState::activateCandidate() -> UpdateResult {
  for (const auto &[key, text] : CandidateTexts)
    if (!Texts.contains(key) && !parseRows(text).Errors.empty()) {
      Candidate.reset();
      return UpdateResult::Invalid;
    }
  Current = std::move(*Candidate);
  Texts = std::move(CandidateTexts);
  Candidate.reset();
  CandidateTexts.clear();
  return UpdateResult::Applied;
}

auto ConfigurationState::applyRecords(const std::vector<ChangeRecord> &records)
    -> UpdateResult {
  auto next = Current;
  for (const auto &it : records) {
    if (it.RevisionNumber <= next.RevisionNumber)
      continue;
    if (raw(it.RevisionNumber) != raw(next.RevisionNumber) + 1)
      return UpdateResult::Stale;
    applyRecord(next, it);
  }
  return update(std::move(next));
}

auto ConfigurationState::missing() const -> std::vector<std::string> {
  std::vector<std::string> keys;
  if (!Candidate)
    return keys;
  for (const auto &it : Candidate->Shards)
    if (!CandidateTexts.contains(it))
      keys.push_back(it);
  return keys;
}

auto ConfigurationState::shard(const std::string &key) const
    -> const std::string * {
  auto it = Texts.find(key);
  return it == Texts.end() ? nullptr : &it->second;
}

auto ConfigurationState::rows() const -> Sheet {
  Sheet all;
  for (const auto &[key, text] : Texts) {
    auto part = parseRows(text).Rows;
    std::move(part.begin(), part.end(), std::back_inserter(all));
  }
  std::sort(all.begin(), all.end(), [](const auto &a, const auto &b) {
    return std::tie(a.Kind, a.Name) < std::tie(b.Kind, b.Name);
  });
  return all;
}

auto ConfigurationState::configuration() const -> Configuration {
  return makeConfiguration(rows(), Current);
}

auto ConfigurationState::recordsAfter(Revision from) const
    -> std::optional<std::vector<ChangeRecord>> {
  const auto &log = Current.Log;
  auto it = std::find_if(log.begin(), log.end(), [from](const auto &r) {
    return raw(r.RevisionNumber) == raw(from) + 1;
  });
  if (it == log.end())
    return std::nullopt;
  const auto importsSheet = [](const ChangeRecord &r) {
    return std::any_of(
        r.Operations.begin(), r.Operations.end(),
        [](const auto &op) { return op.Kind == OperationKind::Import; });
  };
  if (std::any_of(it, log.end(), importsSheet))
    return std::nullopt;
  return std::vector<ChangeRecord>(it, log.end());
}

} // namespace boragebridge
