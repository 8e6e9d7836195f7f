#include "settings/settings_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace boragebridge {

struct SettingsReader::Mapping {
  YAML::Node Node;
  /// Keys of the enclosing mappings, each followed by a dot.
  std::string Path;
  /// Keys that were looked up; all others are unknown.
  std::set<std::string> ReadKeys;
};

struct SettingsReader::SharedState {
  std::string Name;
  std::vector<std::string> Errors;
  std::vector<std::shared_ptr<Mapping>> Mappings;

  auto addError(const YAML::Mark &at, const std::string &reason) -> void {
    Errors.push_back(Name + ":" + std::to_string(at.line + 1) + ":" +
                     std::to_string(at.column + 1) + ": " + reason);
  }
};

namespace {

struct DurationUnit {
  std::string_view Name;
  Duration Length;
};

/// Sorted from longest to shortest, as formatDuration() needs.
constexpr std::array DurationUnits{
    DurationUnit{"h", std::chrono::hours(1)},
    DurationUnit{"min", std::chrono::minutes(1)},
    DurationUnit{"s", std::chrono::seconds(1)},
    DurationUnit{"ms", std::chrono::milliseconds(1)},
    DurationUnit{"us", std::chrono::microseconds(1)},
    DurationUnit{"ns", std::chrono::nanoseconds(1)},
};

template <typename T>
auto parseNumber(const std::string &s) -> std::optional<T> {
  T v{};
  auto [it, ec] = std::from_chars(s.data(), s.data() + s.size(), v);
  if (ec != std::errc() || it != s.data() + s.size())
    return std::nullopt;
  return v;
}

auto formatReal(double v) -> std::string {
  std::array<char, 32> buf{};
  auto [it, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), v);
  return {buf.data(), it};
}

auto quoted(const std::string &s) -> std::string { return "'" + s + "'"; }

template <typename T, typename Format>
auto rangeText(const Range<T> &r, Format format) -> std::string {
  return format(r.Low) + " to " + format(r.High);
}

} // namespace

auto parseDuration(const std::string &s) -> std::optional<Duration> {
  const auto end = s.find_first_not_of("0123456789");
  if (end == 0 || end == std::string::npos)
    return std::nullopt;
  const auto n = parseNumber<std::int64_t>(s.substr(0, end));
  const auto name = std::string_view(s).substr(end);
  for (const auto &it : DurationUnits) {
    if (it.Name != name || !n)
      continue;
    if (*n > Duration::max() / it.Length)
      return std::nullopt;
    return it.Length * *n;
  }
  return std::nullopt;
}

auto formatDuration(Duration d) -> std::string {
  for (const auto &it : DurationUnits)
    if (d % it.Length == Duration::zero() && d >= it.Length)
      return std::to_string(d / it.Length) + std::string(it.Name);
  return std::to_string(d.count()) + "ns";
}

SettingsReader::SettingsReader(std::shared_ptr<SharedState> file,
                               const YAML::Node &node, std::string path)
    : Shared(std::move(file)), CurrentMapping(std::make_shared<Mapping>(
                                   Mapping{node, std::move(path), {}})) {
  Shared->Mappings.push_back(CurrentMapping);
}

auto SettingsReader::fromFile(const std::string &path)
    -> absl::StatusOr<SettingsReader> {
  try {
    const auto node = YAML::LoadFile(path);
    auto file = std::make_shared<SharedState>(SharedState{path, {}, {}});
    if (node.IsMap())
      return SettingsReader(file, node, "");
    return absl::InvalidArgumentError(path + ":1:1: expected a mapping");
  } catch (const YAML::BadFile &) {
    return absl::NotFoundError(path + ": cannot be read");
  } catch (const YAML::Exception &e) {
    SharedState file{path, {}, {}};
    file.addError(e.mark, e.msg);
    return absl::InvalidArgumentError(file.Errors.front());
  }
}

auto SettingsReader::fromText(const std::string &text, const std::string &name)
    -> absl::StatusOr<SettingsReader> {
  try {
    const auto node = YAML::Load(text);
    auto file = std::make_shared<SharedState>(SharedState{name, {}, {}});
    if (node.IsMap())
      return SettingsReader(file, node, "");
    return absl::InvalidArgumentError(name + ":1:1: expected a mapping");
  } catch (const YAML::Exception &e) {
    SharedState file{name, {}, {}};
    file.addError(e.mark, e.msg);
    return absl::InvalidArgumentError(file.Errors.front());
  }
}

auto SettingsReader::addError(const YAML::Mark &at, const std::string &key,
                              const std::string &reason) -> void {
  Shared->addError(at,
                   "key " + quoted(CurrentMapping->Path + key) + ": " + reason);
}

auto SettingsReader::has(const std::string &key) const -> bool {
  return std::as_const(CurrentMapping->Node)[key].IsDefined();
}

auto SettingsReader::lookUp(const std::string &key, bool required)
    -> YAML::Node {
  CurrentMapping->ReadKeys.insert(key);
  if (has(key))
    return CurrentMapping->Node[key];
  if (required)
    addError(CurrentMapping->Node.Mark(), key, "is required and missing");
  return {};
}

auto SettingsReader::scalar(const std::string &key, bool required)
    -> std::optional<std::string> {
  const auto node = lookUp(key, required);
  if (!has(key))
    return std::nullopt;
  if (node.IsScalar() && !node.Scalar().empty())
    return node.Scalar();
  addError(node.Mark(), key, "expected one value that is not empty");
  return std::nullopt;
}

auto SettingsReader::reject(const std::string &key, const std::string &reason)
    -> void {
  addError(has(key) ? CurrentMapping->Node[key].Mark()
                    : CurrentMapping->Node.Mark(),
           key, reason);
}

auto SettingsReader::text(const std::string &key,
                          const std::optional<std::string> &fallback)
    -> std::string {
  return scalar(key, !fallback).value_or(fallback.value_or(""));
}

auto SettingsReader::choice(const std::string &key,
                            const std::vector<std::string> &allowed,
                            const std::optional<std::string> &fallback)
    -> std::string {
  const auto s = scalar(key, !fallback);
  if (!s)
    return fallback.value_or("");
  if (std::find(allowed.begin(), allowed.end(), *s) != allowed.end())
    return *s;
  std::string all;
  for (const auto &it : allowed)
    all += (all.empty() ? "" : ", ") + it;
  reject(key, "got " + quoted(*s) + "; allowed: " + all);
  return fallback.value_or("");
}

auto SettingsReader::number(const std::string &key, Range<std::int64_t> bounds,
                            std::optional<std::int64_t> fallback)
    -> std::int64_t {
  const auto s = scalar(key, !fallback);
  if (!s)
    return fallback.value_or(0);
  const auto v = parseNumber<std::int64_t>(*s);
  if (v && *v >= bounds.Low && *v <= bounds.High)
    return *v;
  reject(key, "got " + quoted(*s) + "; allowed: whole number " +
                  rangeText(bounds,
                            [](std::int64_t n) { return std::to_string(n); }));
  return fallback.value_or(0);
}

auto SettingsReader::real(const std::string &key, Range<double> bounds,
                          std::optional<double> fallback) -> double {
  const auto s = scalar(key, !fallback);
  if (!s)
    return fallback.value_or(0);
  const auto v = parseNumber<double>(*s);
  // Comparisons with NaN are false, so this check rejects NaN too.
  if (v && *v >= bounds.Low && *v <= bounds.High)
    return *v;
  reject(key, "got " + quoted(*s) + "; allowed: number " +
                  rangeText(bounds, formatReal));
  return fallback.value_or(0);
}

auto SettingsReader::flag(const std::string &key, std::optional<bool> fallback)
    -> bool {
  const auto s = scalar(key, !fallback);
  if (!s)
    return fallback.value_or(false);
  if (*s == "true" || *s == "false")
    return *s == "true";
  reject(key, "got " + quoted(*s) + "; allowed: true, false");
  return fallback.value_or(false);
}

auto SettingsReader::duration(const std::string &key, Range<Duration> bounds,
                              std::optional<Duration> fallback) -> Duration {
  const auto s = scalar(key, !fallback);
  if (!s)
    return fallback.value_or(Duration::zero());
  const auto v = parseDuration(*s);
  if (v && *v >= bounds.Low && *v <= bounds.High)
    return *v;
  reject(key, "got " + quoted(*s) +
                  "; allowed: time with unit (ns, us, ms, s, min, h) " +
                  rangeText(bounds, formatDuration));
  return fallback.value_or(Duration::zero());
}

auto SettingsReader::endpoint(const std::string &key,
                              std::optional<Endpoint> fallback) -> Endpoint {
  const auto s = scalar(key, !fallback);
  Endpoint e = fallback.value_or(Endpoint{});
  if (s && !parseEndpoint(*s, e))
    reject(key, "got " + quoted(*s) +
                    "; allowed: IPv4 address and port, as 127.0.0.1:7000");
  return e;
}

auto SettingsReader::endpoints(const std::string &key)
    -> std::vector<Endpoint> {
  std::vector<Endpoint> all;
  const auto node = lookUp(key, false);
  if (!has(key))
    return all;
  if (!node.IsSequence()) {
    addError(node.Mark(), key, "expected a list of addresses");
    return all;
  }
  for (const auto &it : node) {
    Endpoint e;
    if (it.IsScalar() && parseEndpoint(it.Scalar(), e))
      all.push_back(e);
    else
      addError(it.Mark(), key,
               "allowed: IPv4 address and port, as 127.0.0.1:7000");
  }
  return all;
}

auto SettingsReader::section(const std::string &key) -> SettingsReader {
  const auto node = lookUp(key, false);
  const auto path = CurrentMapping->Path + key + ".";
  if (has(key) && !node.IsMap())
    addError(node.Mark(), key, "expected a mapping");
  const auto usable = has(key) && node.IsMap();
  return {Shared, usable ? node : YAML::Node(YAML::NodeType::Map), path};
}

auto SettingsReader::sections(const std::string &key)
    -> std::vector<SettingsReader> {
  std::vector<SettingsReader> all;
  const auto node = lookUp(key, false);
  if (!has(key))
    return all;
  if (!node.IsSequence()) {
    addError(node.Mark(), key, "expected a list of mappings");
    return all;
  }
  for (const auto &it : node) {
    const auto path =
        CurrentMapping->Path + key + "[" + std::to_string(all.size()) + "].";
    if (it.IsMap())
      all.push_back(SettingsReader(Shared, it, path));
    else
      addError(it.Mark(), key, "expected a mapping");
  }
  return all;
}

auto SettingsReader::finish() const -> absl::Status {
  auto errors = Shared->Errors;
  SharedState extra{Shared->Name, {}, {}};
  for (const auto &mapping : Shared->Mappings)
    for (const auto &it : mapping->Node) {
      const auto key = it.first.as<std::string>("");
      if (!mapping->ReadKeys.contains(key))
        extra.addError(it.first.Mark(),
                       "key " + quoted(mapping->Path + key) + ": is not known");
    }
  errors.insert(errors.end(), extra.Errors.begin(), extra.Errors.end());
  if (errors.empty())
    return absl::OkStatus();
  std::string all;
  for (const auto &it : errors)
    all += (all.empty() ? "" : "\n") + it;
  return absl::InvalidArgumentError(all);
}

} // namespace boragebridge
