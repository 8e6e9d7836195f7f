/// \file
/// The configuration that one instance has: the head in force, the texts of its
/// shards, and a candidate, which is a newer head whose shards have not all
/// arrived. The revision never decreases.
#ifndef BORAGEBRIDGE_CONFIG_CONFIGURATION_STATE_H
#define BORAGEBRIDGE_CONFIG_CONFIGURATION_STATE_H

#include "config/head.h"

#include <memory>
#include <optional>

namespace boragebridge {

/// Texts of shards by key. The text of a key never changes.
using ShardTexts = std::map<std::string, std::string>;

/// The head in force and the candidate. Not thread-safe.
class ConfigurationState {
public:
  /// The result of update(), addShard() and applyRecords().
  enum class UpdateResult : std::uint8_t {
    Applied,    ///< In force; head() has changed.
    Stale,      ///< Not newer than the head in force or the candidate.
    Incomplete, ///< Candidate; missing() lists the shards that it lacks.
    Invalid,    ///< A shard cannot be parsed; the candidate was dropped.
  };

  /// Makes \p head the candidate, or puts it in force when all its shards are
  /// known.
  auto update(Head head) -> UpdateResult;
  /// Adds a shard that missing() lists. Any other shard is ignored as Stale.
  auto addShard(const std::string &key, std::string text) -> UpdateResult;
  /// Applies the urgent changes that follow the head in force. Returns Stale
  /// when \p records leave out a revision.
  auto applyRecords(const std::vector<ChangeRecord> &records) -> UpdateResult;
  /// Drops the candidate.
  auto dropCandidate() -> void { Candidate.reset(); }

  auto head() const -> const Head & { return Current; }
  auto revision() const -> Revision { return Current.RevisionNumber; }
  /// The revision of the candidate, else of the head in force.
  auto newestRevision() const -> Revision;
  /// Keys of the shards that the candidate lacks.
  auto missing() const -> std::vector<std::string>;
  /// The text of shard \p key of the head in force, or null.
  auto shard(const std::string &key) const -> const std::string *;
  /// The rows of the sheet layer, by kind and name. Parses the shards on each
  /// call.
  auto rows() const -> Sheet;
  auto configuration() const -> Configuration;
  /// The records of the revisions after \p from up to the head in force.
  /// Returns std::nullopt when some are no longer in the head's log or one
  /// imported a sheet.
  auto recordsAfter(Revision from) const
      -> std::optional<std::vector<ChangeRecord>>;

private:
  auto activateCandidate() -> UpdateResult;

  Head Current;
  ShardTexts Texts;
  std::optional<Head> Candidate;
  ShardTexts CandidateTexts;
};

/// Splits a sheet layer into the texts of its shards, each far below the size
/// limit of a value in the store. The shard of a row depends on the row's
/// target alone, so a small change of a large sheet rewrites few shards.
auto splitIntoShards(const Sheet &rows) -> std::vector<std::string>;

} // namespace boragebridge

#endif
