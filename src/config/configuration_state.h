/// \file
/// The configuration that one instance holds: the head in force, the texts of
/// its shards, and a newer head whose shards are still missing. The revision
/// never goes down.
#ifndef BORAGEBRIDGE_CONFIG_CONFIGURATION_STATE_H
#define BORAGEBRIDGE_CONFIG_CONFIGURATION_STATE_H

#include "config/head.h"

#include <memory>
#include <optional>

namespace boragebridge {

/// Texts of shards by their keys; a key never changes its text.
using ShardTexts = std::map<std::string, std::string>;

/// Not thread-safe.
class ConfigurationState {
public:
  /// What became of an offer.
  enum class UpdateResult : std::uint8_t {
    Applied,    ///< Taken; head() has changed.
    Stale,      ///< Not newer than what is in force or waited for.
    Incomplete, ///< Newer; missing() lists the shards that it needs.
    Invalid,    ///< A shard does not parse; the offer was dropped.
  };

  auto update(Head head) -> UpdateResult;
  /// A shard that missing() lists; others are ignored as Older.
  auto addShard(const std::string &key, std::string text) -> UpdateResult;
  /// Applies the urgent changes that follow the head in force.
  auto applyRecords(const std::vector<ChangeRecord> &records) -> UpdateResult;
  /// Gives up the head that waits for shards.
  auto dropCandidate() -> void { Candidate.reset(); }

  auto head() const -> const Head & { return Current; }
  auto revision() const -> Revision { return Current.Number; }
  /// The newest revision heard of, in force or waiting.
  auto newestRevision() const -> Revision;
  auto missing() const -> std::vector<std::string>;
  /// The text of shard \p key, or null.
  auto shard(const std::string &key) const -> const std::string *;
  /// The rows of the sheet layer; parsed anew on each call.
  auto rows() const -> Sheet;
  auto configuration() const -> Configuration;
  /// The records after \p from up to the head, when all are known and none
  /// replaced the sheet layer.
  auto recordsAfter(Revision from) const
      -> std::optional<std::vector<ChangeRecord>>;

private:
  auto activateCandidate() -> UpdateResult;

  Head Current;
  ShardTexts Texts;
  std::optional<Head> Candidate;
  ShardTexts CandidateTexts;
};

/// A sheet layer cut into shards, each far below the store's value limit. A
/// row's shard depends on its target alone, so that a small change of a large
/// sheet rewrites few shards.
auto splitIntoShards(const Sheet &rows) -> std::vector<std::string>;

} // namespace boragebridge

#endif
