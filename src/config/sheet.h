/// \file
/// The operators' sheet: CSV in, checked rows out, and back. docs/API.md
/// defines its columns.
#ifndef BORAGEBRIDGE_CONFIG_SHEET_H
#define BORAGEBRIDGE_CONFIG_SHEET_H

#include "boragebridge/configuration.h"

#include <array>

namespace boragebridge {

/// What a row describes.
enum class RowKind : std::uint8_t { DataCentre, Service, Upstream };

/// One row of the sheet, with its fields checked.
struct SheetRow {
  RowKind Kind = RowKind::Upstream;
  std::string Name;
  std::string Team;
  std::string Service;
  std::string DataCentre;
  Endpoint Address;
  std::uint32_t Slots = 2;
  std::uint32_t Connections = 2000;
  std::uint32_t SpeedPercent = 100;
  UpstreamMode Mode = UpstreamMode::Active;
  auto operator==(const SheetRow &) const -> bool = default;
};

using Sheet = std::vector<SheetRow>;

/// A fault of a sheet. Line and Column count from 1; Column is the number of
/// the field, 0 when the whole line is meant.
struct SheetError {
  unsigned Line = 0;
  unsigned Column = 0;
  std::string Message;
};

/// The rows that could be read, in order, and every fault found (at most
/// SheetErrorLimit).
struct SheetResult {
  Sheet Rows;
  std::vector<SheetError> Errors;
};

inline constexpr std::size_t SheetErrorLimit = 100;
inline constexpr std::size_t NameLimit = 64;

/// Reads the rows of \p text and checks each by itself.
auto parseRows(std::string_view text) -> SheetResult;
/// Reads \p text and checks it whole: names, references and addresses too.
auto parseSheet(std::string_view text) -> SheetResult;
/// The sheet as CSV with a header line.
auto renderSheet(const Sheet &rows) -> std::string;
/// One row as CSV without the end of line.
auto renderRow(const SheetRow &row) -> std::string;

/// Up to NameLimit letters, digits, '-', '_' or '.'.
auto isValidName(std::string_view s) -> bool;
/// "upstream/NAME" and so on: names an entry in changes.
auto targetOf(const SheetRow &row) -> std::string;
/// The word of the sheet for \p kind.
auto toString(RowKind kind) -> std::string_view;

/// How one sheet differs from another; entries by targetOf().
struct SheetDiff {
  std::vector<std::string> Added;
  std::vector<std::string> Changed;
  std::vector<std::string> Removed;
  std::size_t UpstreamsBefore = 0;
  std::size_t UpstreamsRemoved = 0;
};

auto diffSheets(const Sheet &before, const Sheet &after) -> SheetDiff;

} // namespace boragebridge

#endif
