/// \file
/// Parses, checks and formats the operators' sheet, a CSV table of data
/// centres, services and upstreams. docs/API.md defines its columns.
#ifndef BORAGEBRIDGE_CONFIG_SHEET_H
#define BORAGEBRIDGE_CONFIG_SHEET_H

#include "boragebridge/configuration.h"

#include <array>

namespace boragebridge {

/// The kind of entry that a row describes.
enum class RowKind : std::uint8_t { DataCentre, Service, Upstream };

/// One row of the sheet. Its fields have been checked.
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

/// An error in a sheet. Line and Column count from 1. Column is the number of
/// the field, or 0 when the error concerns the whole line.
struct SheetError {
  unsigned Line = 0;
  unsigned Column = 0;
  std::string Message;
};

/// The valid rows in the order of the sheet, and the errors found (at most
/// SheetErrorLimit).
struct SheetResult {
  Sheet Rows;
  std::vector<SheetError> Errors;
};

inline constexpr std::size_t SheetErrorLimit = 100;
inline constexpr std::size_t NameLimit = 64;

/// Parses \p text and checks each row by itself.
auto parseRows(std::string_view text) -> SheetResult;
/// Parses \p text and also checks across rows: that names and addresses are
/// unique, and that the services and data centres of the upstreams exist.
auto parseSheet(std::string_view text) -> SheetResult;
/// Formats \p rows as CSV with a header line.
auto renderSheet(const Sheet &rows) -> std::string;
/// Formats \p row as CSV without a line end.
auto renderRow(const SheetRow &row) -> std::string;

/// Whether \p s is a name: 1 to NameLimit letters, digits, '-', '_' or '.'.
auto isValidName(std::string_view s) -> bool;
/// The target by which changes refer to the entry of \p row: "KIND/NAME", for
/// example "upstream/host-1".
auto targetOf(const SheetRow &row) -> std::string;
/// The name of \p kind in the sheet.
auto toString(RowKind kind) -> std::string_view;

/// The differences between two sheets. Entries are listed by targetOf().
struct SheetDiff {
  std::vector<std::string> Added;
  std::vector<std::string> Changed;
  std::vector<std::string> Removed;
  std::size_t UpstreamsBefore = 0;
  std::size_t UpstreamsRemoved = 0;
};

/// Compares the sheet layer \p before with its replacement \p after.
auto diffSheets(const Sheet &before, const Sheet &after) -> SheetDiff;

} // namespace boragebridge

#endif
