/// \file
/// Checked reading of YAML settings. Every error names file, line and column,
/// the key, and what is allowed; all errors of a file are reported together.
///
/// Example:
/// \code
///   auto root = SettingsReader::fromFile(path);
///   if (!root.ok()) return root.status();
///   s.Name = root->text("name");
///   s.Wait = root->duration("wait", {1ms, 10s}, 500ms);
///   s.Port = root->number("port", {1, 65535});
///   return root->finish();
/// \endcode
///
/// A key without a default is required. Reading never stops at an error: it
/// returns the default (or an empty value) and finish() gives the errors.
/// Not thread-safe.
#ifndef BORAGEBRIDGE_SETTINGS_SETTINGS_READER_H
#define BORAGEBRIDGE_SETTINGS_SETTINGS_READER_H

#include "boragebridge/types.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <yaml-cpp/yaml.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace boragebridge {

/// Inclusive bounds of a value.
template <typename T> struct Range {
  T Low;
  T High;
};

/// A mapping of a settings file.
class SettingsReader {
public:
  /// Reads \p path. NotFound when it cannot be read, InvalidArgument when it
  /// is not YAML or its top is not a mapping.
  static auto fromFile(const std::string &path)
      -> absl::StatusOr<SettingsReader>;
  /// The same for \p text; \p name stands for the file in errors.
  static auto fromText(const std::string &text, const std::string &name)
      -> absl::StatusOr<SettingsReader>;

  /// A text that is not empty.
  auto text(const std::string &key,
            const std::optional<std::string> &fallback = {}) -> std::string;
  /// One of \p allowed.
  auto choice(const std::string &key, const std::vector<std::string> &allowed,
              const std::optional<std::string> &fallback = {}) -> std::string;
  /// A whole number within \p bounds.
  auto number(const std::string &key, Range<std::int64_t> bounds,
              std::optional<std::int64_t> fallback = {}) -> std::int64_t;
  /// A number with or without a fraction within \p bounds.
  auto real(const std::string &key, Range<double> bounds,
            std::optional<double> fallback = {}) -> double;
  auto flag(const std::string &key, std::optional<bool> fallback = {}) -> bool;
  /// A number with a unit: 250us, 10ms, 3s, 5min or 1h.
  auto duration(const std::string &key, Range<Duration> bounds,
                std::optional<Duration> fallback = {}) -> Duration;
  /// An address and port such as 127.0.0.1:7000.
  auto endpoint(const std::string &key, std::optional<Endpoint> fallback = {})
      -> Endpoint;
  /// A list of addresses with ports; may be absent or empty.
  auto endpoints(const std::string &key) -> std::vector<Endpoint>;
  /// The mapping below \p key; empty when it is absent.
  auto section(const std::string &key) -> SettingsReader;
  /// The mappings of the list below \p key; none when it is absent.
  auto sections(const std::string &key) -> std::vector<SettingsReader>;
  auto has(const std::string &key) const -> bool;

  /// Adds an error of the caller's own at \p key.
  auto reject(const std::string &key, const std::string &reason) -> void;
  /// Ok, or all errors of this file, unknown keys of every mapping that was
  /// read included. Call it on the top reader, after all reads.
  auto finish() const -> absl::Status;

private:
  /// What the readers of one file share.
  struct SharedState;
  /// A mapping that was read, to find its unknown keys at the end.
  struct Mapping;

  SettingsReader(std::shared_ptr<SharedState> file, const YAML::Node &node,
                 std::string path);
  /// The value of \p key; null when absent, with an error when \p required.
  auto lookUp(const std::string &key, bool required) -> YAML::Node;
  auto scalar(const std::string &key, bool required)
      -> std::optional<std::string>;
  auto addError(const YAML::Mark &at, const std::string &key,
                const std::string &reason) -> void;

  std::shared_ptr<SharedState> Shared;
  std::shared_ptr<Mapping> CurrentMapping;
};

/// Reads "250us", "10ms", "3s", "5min" or "1h"; nothing for any other text.
auto parseDuration(const std::string &s) -> std::optional<Duration>;
/// The shortest such text for \p d.
auto formatDuration(Duration d) -> std::string;

} // namespace boragebridge

#endif
