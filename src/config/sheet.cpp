#include "config/sheet.h"

#define CSV_IO_NO_THREAD
#include <libfccp/csv.h>

#include <charconv>
#include <map>
#include <set>
#include <unordered_map>

namespace boragebridge {

namespace {

enum Field : unsigned {
  FieldKind,
  FieldName,
  FieldTeam,
  FieldService,
  FieldDataCentre,
  FieldAddress,
  FieldSlots,
  FieldConnections,
  FieldSpeed,
  FieldMode,
  FieldCount
};

constexpr std::array<std::string_view, FieldCount> FieldNames{
    "kind",    "name",  "team",        "service",       "data_centre",
    "address", "slots", "connections", "speed_percent", "mode"};
constexpr std::array<std::string_view, 3> KindNames{"data_centre", "service",
                                                    "upstream"};
constexpr std::uint32_t SlotLimit = 10'000;
constexpr std::uint32_t ConnectionLimit = 10'000'000;
constexpr std::uint32_t SpeedLimit = 10'000;

using Fields = std::array<std::string, FieldCount>;
using Reader =
    io::CSVReader<FieldCount, io::trim_chars<' ', '\t'>,
                  io::double_quote_escape<',', '"'>, io::throw_on_overflow,
                  io::single_and_empty_line_comment<'#'>>;

/// Parses one sheet and collects its rows and errors.
class SheetReader {
public:
  explicit SheetReader(std::string_view text) : Text(text) {}

  auto read() -> void {
    if (!checkCharacters())
      return;
    findColumns();
    Reader in("sheet", Text.data(), Text.data() + Text.size());
    try {
      readHeader(in);
      while (Errors.size() < SheetErrorLimit && readLine(in)) {
      }
    } catch (const io::error::base &e) {
      addError(std::max(1U, in.get_file_line()), 0, e.what());
    }
  }

  auto addError(unsigned line, unsigned column, std::string message) -> void {
    if (Errors.size() < SheetErrorLimit)
      Errors.push_back({line, column, std::move(message)});
  }
  auto columnOf(Field f) const -> unsigned { return Columns[f]; }

  Sheet Rows;
  /// The line number of each row.
  std::vector<unsigned> Lines;
  std::vector<SheetError> Errors;

private:
  /// Rejects control characters, which could end a field without being visible.
  auto checkCharacters() -> bool {
    unsigned line = 1;
    for (auto c : Text) {
      const auto u = static_cast<unsigned char>(c);
      if (c == '\n')
        ++line;
      else if ((u < 0x20 && c != '\t' && c != '\r') || u == 0x7F) {
        addError(line, 0, "control character");
        return false;
      }
    }
    return true;
  }

  /// Records the position of each field in the header.
  auto findColumns() -> void {
    std::size_t begin = 0;
    std::string_view line;
    while (begin <= Text.size()) {
      const auto end = std::min(Text.find('\n', begin), Text.size());
      line = Text.substr(begin, end - begin);
      begin = end + 1;
      if (line.find_first_not_of(" \t\r") != std::string_view::npos &&
          line.front() != '#')
        break;
    }
    unsigned column = 0;
    for (std::size_t at = 0; at <= line.size(); ++column) {
      const auto end = std::min(line.find(',', at), line.size());
      auto word = line.substr(at, end - at);
      at = end + 1;
      for (unsigned f = 0; f < FieldCount; ++f)
        if (word.find(FieldNames[f]) != std::string_view::npos &&
            word.find_first_not_of(" \t\r\"" + std::string(FieldNames[f])) ==
                std::string_view::npos)
          Columns[f] = column + 1;
    }
  }

  static auto readHeader(Reader &in) -> void {
    in.read_header(io::ignore_no_column, "kind", "name", "team", "service",
                   "data_centre", "address", "slots", "connections",
                   "speed_percent", "mode");
  }

  auto readLine(Reader &in) -> bool {
    Fields f;
    try {
      if (!in.read_row(f[0], f[1], f[2], f[3], f[4], f[5], f[6], f[7], f[8],
                       f[9]))
        return false;
    } catch (const io::error::too_few_columns &) {
      addError(in.get_file_line(), 0, "too few fields");
      return true;
    } catch (const io::error::too_many_columns &) {
      addError(in.get_file_line(), 0, "too many fields");
      return true;
    } catch (const io::error::escaped_string_not_closed &) {
      addError(in.get_file_line(), 0, "quote not closed");
      return true;
    }
    addRow(in.get_file_line(), f);
    return true;
  }

  auto addRow(unsigned line, const Fields &f) -> void {
    const auto before = Errors.size();
    SheetRow row;
    const auto kind =
        std::find(KindNames.begin(), KindNames.end(), f[FieldKind]);
    if (kind == KindNames.end()) {
      addError(line, columnOf(FieldKind),
               "kind must be data_centre, service or upstream");
      return;
    }
    row.Kind = static_cast<RowKind>(kind - KindNames.begin());
    row.Name = parseName(line, f, FieldName);
    if (row.Kind == RowKind::Service)
      row.Team = parseName(line, f, FieldTeam);
    if (row.Kind == RowKind::Upstream) {
      row.Service = parseName(line, f, FieldService);
      row.DataCentre = parseName(line, f, FieldDataCentre);
      row.Slots = parseNumber(line, f, FieldSlots, row.Slots, SlotLimit);
      row.Connections = parseNumber(line, f, FieldConnections, row.Connections,
                                    ConnectionLimit);
      row.SpeedPercent =
          parseNumber(line, f, FieldSpeed, row.SpeedPercent, SpeedLimit);
      row.Mode = parseMode(line, f);
    }
    if (row.Kind != RowKind::DataCentre &&
        !parseEndpoint(f[FieldAddress], row.Address))
      addError(line, columnOf(FieldAddress), "address must be a.b.c.d:port");
    checkUnused(line, f, row.Kind);
    if (Errors.size() != before)
      return;
    Rows.push_back(std::move(row));
    Lines.push_back(line);
  }

  auto parseName(unsigned line, const Fields &f, Field at) -> std::string {
    if (!isValidName(f[at]))
      addError(line, columnOf(at),
               std::string(FieldNames[at]) +
                   " must be a name of 1 to 64 letters, "
                   "digits, '-', '_' or '.'");
    return f[at];
  }

  auto parseNumber(unsigned line, const Fields &f, Field at,
                   std::uint32_t defaultValue, std::uint32_t max)
      -> std::uint32_t {
    const auto &s = f[at];
    if (s.empty())
      return defaultValue;
    std::uint32_t v = 0;
    const auto [end, ec] = std::from_chars(s.data(), s.data() + s.size(), v);
    if (ec != std::errc() || end != s.data() + s.size() || v == 0 || v > max)
      addError(line, columnOf(at),
               std::string(FieldNames[at]) + " must be a number from 1 to " +
                   std::to_string(max));
    return v;
  }

  auto parseMode(unsigned line, const Fields &f) -> UpstreamMode {
    const auto &s = f[FieldMode];
    if (s == "draining")
      return UpstreamMode::Draining;
    if (!s.empty() && s != "active")
      addError(line, columnOf(FieldMode), "mode must be active or draining");
    return UpstreamMode::Active;
  }

  auto checkUnused(unsigned line, const Fields &f, RowKind kind) -> void {
    static constexpr std::array<std::array<bool, FieldCount>, 3> Used{
        {{true, true, false, false, false, false, false, false, false, false},
         {true, true, true, false, false, true, false, false, false, false},
         {true, true, false, true, true, true, true, true, true, true}}};
    for (unsigned n = 0; n < FieldCount; ++n)
      if (!Used[static_cast<std::size_t>(kind)][n] && !f[n].empty())
        addError(line, columnOf(static_cast<Field>(n)),
                 std::string(FieldNames[n]) + " must be empty for a " +
                     std::string(toString(kind)));
  }

  std::string_view Text;
  std::array<unsigned, FieldCount> Columns{};
};

/// Checks names, addresses and references across the rows of a sheet.
class SheetChecker {
public:
  explicit SheetChecker(SheetReader &in) : In(in) {}

  auto check() -> void {
    for (std::size_t n = 0; n < In.Rows.size(); ++n)
      checkName(n);
    for (std::size_t n = 0; n < In.Rows.size(); ++n)
      checkReferences(n);
  }

private:
  using Key = std::pair<RowKind, std::uint64_t>;

  auto checkName(std::size_t n) -> void {
    const auto &row = In.Rows[n];
    const auto [it, added] =
        Names.try_emplace({row.Kind, hashName(row.Name)}, row.Name);
    if (!added)
      addError(n, FieldName,
               it->second == row.Name
                   ? "the name occurs twice"
                   : "the name has the same hash as '" + it->second + "'");
    if (row.Kind == RowKind::DataCentre)
      return;
    if (!Addresses.insert({row.Kind, row.Address}).second)
      addError(n, FieldAddress, "the address occurs twice");
  }

  auto checkReferences(std::size_t n) -> void {
    const auto &row = In.Rows[n];
    if (row.Kind != RowKind::Upstream)
      return;
    if (!Names.contains({RowKind::Service, hashName(row.Service)}))
      addError(n, FieldService, "no such service: " + row.Service);
    if (!Names.contains({RowKind::DataCentre, hashName(row.DataCentre)}))
      addError(n, FieldDataCentre, "no such data centre: " + row.DataCentre);
  }

  auto addError(std::size_t n, Field f, std::string message) -> void {
    In.addError(In.Lines[n], In.columnOf(f), std::move(message));
  }

  SheetReader &In;
  std::map<Key, std::string> Names;
  std::set<std::pair<RowKind, Endpoint>> Addresses;
};

} // namespace

auto isValidName(std::string_view s) -> bool {
  const auto isAllowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  };
  return !s.empty() && s.size() <= NameLimit &&
         std::all_of(s.begin(), s.end(), isAllowed);
}

auto toString(RowKind kind) -> std::string_view {
  return KindNames[static_cast<std::size_t>(kind)];
}

auto targetOf(const SheetRow &row) -> std::string {
  return std::string(toString(row.Kind)) + "/" + row.Name;
}

auto parseRows(std::string_view text) -> SheetResult {
  SheetReader in(text);
  in.read();
  return {std::move(in.Rows), std::move(in.Errors)};
}

auto parseSheet(std::string_view text) -> SheetResult {
  SheetReader in(text);
  in.read();
  if (in.Errors.empty())
    SheetChecker(in).check();
  return {std::move(in.Rows), std::move(in.Errors)};
}

auto renderRow(const SheetRow &row) -> std::string {
  auto s = std::string(toString(row.Kind)) + "," + row.Name + "," + row.Team +
           "," + row.Service + "," + row.DataCentre + ",";
  if (row.Kind == RowKind::DataCentre)
    return s + ",,,,";
  s += toString(row.Address);
  if (row.Kind == RowKind::Service)
    return s + ",,,,";
  s += "," + std::to_string(row.Slots) + "," + std::to_string(row.Connections) +
       "," + std::to_string(row.SpeedPercent) + ",";
  return s + (row.Mode == UpstreamMode::Active ? "active" : "draining");
}

auto renderSheet(const Sheet &rows) -> std::string {
  std::string s;
  for (auto it : FieldNames)
    s += (s.empty() ? "" : ",") + std::string(it);
  for (const auto &it : rows)
    s += "\n" + renderRow(it);
  return s + "\n";
}

auto diffSheets(const Sheet &before, const Sheet &after) -> SheetDiff {
  SheetDiff diff;
  std::unordered_map<std::string, const SheetRow *> old;
  for (const auto &it : before) {
    old[targetOf(it)] = &it;
    if (it.Kind == RowKind::Upstream)
      ++diff.UpstreamsBefore;
  }
  for (const auto &it : after) {
    const auto target = targetOf(it);
    const auto known = old.find(target);
    if (known == old.end()) {
      diff.Added.push_back(target);
      continue;
    }
    if (*known->second != it)
      diff.Changed.push_back(target);
    old.erase(known);
  }
  for (const auto &[target, it] : old) {
    diff.Removed.push_back(target);
    if (it->Kind == RowKind::Upstream)
      ++diff.UpstreamsRemoved;
  }
  std::sort(diff.Removed.begin(), diff.Removed.end());
  return diff;
}

} // namespace boragebridge
