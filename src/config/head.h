/// \file
/// The head of the configuration: the one object of the store whose
/// conditional write accepts a change. It names the shards of the sheet layer
/// and holds the urgent layer and the newest change records.
#ifndef BORAGEBRIDGE_CONFIG_HEAD_H
#define BORAGEBRIDGE_CONFIG_HEAD_H

#include "config/sheet.h"

#include <deque>
#include <map>

namespace boragebridge {

inline constexpr std::string_view HeadKey = "config/head";
/// Records in the head; older ones are moved to objects of their own.
inline constexpr std::size_t LogLimit = 256;
/// Entries of the urgent layer; a change that would pass it is refused.
inline constexpr std::size_t UrgentLimit = 4096;
inline constexpr std::size_t ShardLimit = 256;

/// What an operator asks for one entry.
enum class OperationKind : std::uint8_t {
  Withdraw,
  Return,
  Drain,
  Activate,
  Remove,
  Add,
  Clear,
  Import, ///< A new sheet layer; its target is "sheet".
};

/// One step of a change, and one entry of the urgent layer.
struct Operation {
  OperationKind Kind = OperationKind::Clear;
  /// As targetOf().
  std::string Target;
  /// Add: the row as in the sheet. Import: what it changed, as text.
  std::string Row;
  auto operator==(const Operation &) const -> bool = default;
};

/// An accepted change: who, when and what.
struct ChangeRecord {
  std::string Id;
  std::string Actor;
  std::string Team;
  /// Seconds since 1970 by the clock of the accepting instance's machine; for
  /// people only.
  std::int64_t At = 0;
  Revision Number{};
  std::vector<Operation> Operations;
  auto operator==(const ChangeRecord &) const -> bool = default;
};

/// The head object.
struct Head {
  Revision Number{};
  /// Keys of the shards of the sheet layer.
  std::vector<std::string> Shards;
  /// The urgent layer, by target.
  std::map<std::string, Operation> Urgent;
  /// The newest changes, oldest first.
  std::deque<ChangeRecord> Log;

  /// The record of change \p id, or null.
  auto findChange(std::string_view id) const -> const ChangeRecord *;
};

/// The word of the API for \p kind, and back; false for an unknown word.
auto toString(OperationKind kind) -> std::string_view;
auto parseOperationKind(std::string_view s, OperationKind &kind) -> bool;

/// JSON text of \p head with at most the newest \p records records.
auto encodeHead(const Head &head, std::size_t records = LogLimit)
    -> std::string;
/// False when \p text is not a head within the limits.
auto decodeHead(std::string_view text, Head &head) -> bool;
auto encodeRecords(const std::vector<ChangeRecord> &records) -> std::string;
auto decodeRecords(std::string_view text, std::vector<ChangeRecord> &records)
    -> bool;

/// Applies one record of urgent operations and sets the revision to its own.
auto applyRecord(Head &head, const ChangeRecord &record) -> void;

/// What is in force: the sheet's rows with the urgent layer over them.
auto makeConfiguration(const Sheet &rows, const Head &head) -> Configuration;

} // namespace boragebridge

#endif
