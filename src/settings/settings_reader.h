/// \file
/// Reads and validates YAML settings. Each error names the file, line, column
/// and key, and the allowed values. All errors of a file are reported together.
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
/// A key without a default is required. After an error the read functions
/// return the default or an empty value; finish() returns the errors. Not
/// thread-safe.
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

/// Reads one mapping of a settings file. Copies share their state.
class SettingsReader {
public:
  /// Reads the file at \p path. Returns NotFound if it cannot be read, and
  /// InvalidArgument if it is not YAML or its top level is not a mapping.
  static auto fromFile(const std::string &path)
      -> absl::StatusOr<SettingsReader>;
  /// Like fromFile(), for \p text. Errors use \p name as the file name.
  static auto fromText(const std::string &text, const std::string &name)
      -> absl::StatusOr<SettingsReader>;

  /// A non-empty text.
  auto text(const std::string &key,
            const std::optional<std::string> &fallback = {}) -> std::string;
  /// One of \p allowed.
  auto choice(const std::string &key, const std::vector<std::string> &allowed,
              const std::optional<std::string> &fallback = {}) -> std::string;
  /// An integer within \p bounds.
  auto number(const std::string &key, Range<std::int64_t> bounds,
              std::optional<std::int64_t> fallback = {}) -> std::int64_t;
  /// A real number within \p bounds.
  auto real(const std::string &key, Range<double> bounds,
            std::optional<double> fallback = {}) -> double;
  /// true or false.
  auto flag(const std::string &key, std::optional<bool> fallback = {}) -> bool;
  /// An integer with a unit, such as 250us, 10ms, 3s, 5min or 1h.
  auto duration(const std::string &key, Range<Duration> bounds,
                std::optional<Duration> fallback = {}) -> Duration;
  /// An address and port such as 127.0.0.1:7000.
  auto endpoint(const std::string &key, std::optional<Endpoint> fallback = {})
      -> Endpoint;
  /// A list of addresses with ports. The key may be absent and the list empty.
  auto endpoints(const std::string &key) -> std::vector<Endpoint>;
  /// The mapping at \p key; empty if the key is absent.
  auto section(const std::string &key) -> SettingsReader;
  /// The mappings in the list at \p key; none if the key is absent.
  auto sections(const std::string &key) -> std::vector<SettingsReader>;
  /// Whether \p key is present.
  auto has(const std::string &key) const -> bool;

  /// Adds an error at \p key, for checks that the caller makes itself.
  auto reject(const std::string &key, const std::string &reason) -> void;
  /// Returns Ok, or InvalidArgument with all errors of the file. These include
  /// the unknown keys of each mapping that was read. Precondition: all reads
  /// are done.
  auto finish() const -> absl::Status;

private:
  /// State shared by the readers of one file.
  struct SharedState;
  /// A mapping that was read, with the keys that were looked up in it.
  struct Mapping;

  SettingsReader(std::shared_ptr<SharedState> file, const YAML::Node &node,
                 std::string path);
  /// The value of \p key, or null if it is absent. Adds an error if an absent
  /// key is \p required.
  auto lookUp(const std::string &key, bool required) -> YAML::Node;
  /// The scalar value of \p key. Adds an error if the key is absent but
  /// \p required, or if the value is empty or not a scalar.
  auto scalar(const std::string &key, bool required)
      -> std::optional<std::string>;
  auto addError(const YAML::Mark &at, const std::string &key,
                const std::string &reason) -> void;

  std::shared_ptr<SharedState> Shared;
  std::shared_ptr<Mapping> CurrentMapping;
};

/// Parses an integer with a unit (ns, us, ms, s, min, h), such as "250us".
/// Returns std::nullopt for any other text and for a value that overflows.
auto parseDuration(const std::string &s) -> std::optional<Duration>;
/// Formats \p d with the longest unit that divides it, such as "10ms".
auto formatDuration(Duration d) -> std::string;

} // namespace boragebridge

#endif
