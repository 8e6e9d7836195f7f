/// \file
/// The head of the configuration: the object in the store whose conditional
/// write commits a change. A configuration has two layers: the sheet layer,
/// which operators import as a whole and which is stored in shards, and the
/// urgent layer, whose entries override it. The head lists the keys of the
/// shards and contains the urgent layer and the newest change records.
#ifndef BORAGEBRIDGE_CONFIG_HEAD_H
#define BORAGEBRIDGE_CONFIG_HEAD_H

#include "config/sheet.h"

#include <deque>
#include <map>

namespace boragebridge {

inline constexpr std::string_view HeadKey = "config/head";
/// Change records in the head. Older ones are moved to separate objects.
inline constexpr std::size_t LogLimit = 256;
/// Entries of the urgent layer. A change that would exceed the limit is
/// refused.
inline constexpr std::size_t UrgentLimit = 4096;
/// Maximum number of shards of the sheet layer.
inline constexpr std::size_t ShardLimit = 256;

/// The kinds of operation on an entry.
enum class OperationKind : std::uint8_t {
  Withdraw, ///< Takes a data centre out of use.
  Return,   ///< Ends the withdrawal of a data centre.
  Drain,    ///< Sets the mode of an upstream to Draining.
  Activate, ///< Sets the mode of an upstream to Active.
  Remove,   ///< Removes an upstream.
  Add,      ///< Adds an upstream or replaces its row.
  Clear,    ///< Deletes the urgent entry, so that the sheet applies again.
  Import,   ///< Replaces the sheet layer; the target is "sheet".
};

/// One operation of a change, and also one entry of the urgent layer.
struct Operation {
  OperationKind Kind = OperationKind::Clear;
  /// The entry, as targetOf() formats it.
  std::string Target;
  /// Add: the row as in the sheet. Import: a summary of the changes, for
  /// people.
  std::string Row;
  auto operator==(const Operation &) const -> bool = default;
};

/// An accepted change, as the log keeps it.
struct ChangeRecord {
  std::string Id;
  std::string Actor;
  std::string Team;
  /// Seconds since 1970 by the wall clock of the machine that accepted the
  /// change. For people only; nothing is ordered by it.
  std::int64_t At = 0;
  Revision RevisionNumber{};
  std::vector<Operation> Operations;
  auto operator==(const ChangeRecord &) const -> bool = default;
};

/// The decoded head.
struct Head {
  Revision RevisionNumber{};
  /// Keys of the shards of the sheet layer.
  std::vector<std::string> Shards;
  /// The urgent layer, by target.
  std::map<std::string, Operation> Urgent;
  /// The newest changes, oldest first.
  std::deque<ChangeRecord> Log;

  /// The record of change \p id, or null.
  auto findChange(std::string_view id) const -> const ChangeRecord *;
};

/// The name of \p kind in the API, and the reverse. Parsing returns false for
/// an unknown name.
auto toString(OperationKind kind) -> std::string_view;
auto parseOperationKind(std::string_view s, OperationKind &kind) -> bool;

/// Encodes \p head as JSON, with at most the newest \p records change records.
auto encodeHead(const Head &head, std::size_t records = LogLimit)
    -> std::string;
/// Decodes \p text into \p head. Returns false when it is malformed or exceeds
/// the limits above.
auto decodeHead(std::string_view text, Head &head) -> bool;
auto encodeRecords(const std::vector<ChangeRecord> &records) -> std::string;
auto decodeRecords(std::string_view text, std::vector<ChangeRecord> &records)
    -> bool;

/// Applies the operations of \p record to the urgent layer, appends the record
/// to the log and sets the revision of \p head to that of the record.
auto applyRecord(Head &head, const ChangeRecord &record) -> void;

/// Builds the effective configuration: the rows of the sheet layer, overridden
/// by the urgent layer of \p head.
auto makeConfiguration(const Sheet &rows, const Head &head) -> Configuration;

} // namespace boragebridge

#endif
