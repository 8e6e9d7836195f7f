/// \file
/// The configuration as many small objects, so that a change of one route costs
/// every reader of a mirror, its link and its processor, that route alone. The
/// store keeps the configuration as one object; the instance that reads it
/// there splits it, and mirrors serve the parts below a prefix of their own.
///
/// Free of I/O; not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_CONFIGURATION_PARTS_H
#define BORAGEBRIDGE_EDGE_CONFIGURATION_PARTS_H

#include "boragebridge/platform_client.h"
#include "edge/edge_adapter.h"

#include <map>
#include <set>
#include <unordered_map>

namespace boragebridge {

/// The prefix of the parts in mirrors. The store has no objects below it.
inline constexpr std::string_view ConfigurationPartsPrefix =
    "configuration-parts/";

/// Returns the parts of the configuration \p o of the store as objects below
/// ConfigurationPartsPrefix, complete at version \p current. Errors are those
/// of RecordFormat::splitConfiguration() and ConfigurationParts::changesTo().
auto splitIntoObjects(const RecordFormat &format, const StoredObject &o,
                      ObjectVersion current) -> absl::StatusOr<ObjectList>;

/// Decodes the configuration \p o of the store. Errors are those of
/// splitIntoObjects() and ConfigurationParts::configuration().
auto decodeConfiguration(const RecordFormat &format, const StoredObject &o)
    -> absl::StatusOr<EdgeConfiguration>;

/// The decoded parts.
class ConfigurationParts {
public:
  /// \p format outlives the object.
  explicit ConfigurationParts(const RecordFormat &format) : Format(format) {}

  /// What has to change so that the parts are those of \p text. A part whose
  /// text is known costs a hash of it. InvalidArgument if a changed part has no
  /// identity. Of several parts with one identity, each gets its own key.
  auto changesTo(const ConfigurationText &text)
      -> absl::StatusOr<std::vector<ObjectEvent>>;
  /// Decodes the parts that \p changes adds or replaces, and removes those that
  /// it removes.
  auto apply(const std::vector<ObjectEvent> &changes) -> void;
  /// Removes all parts.
  auto clear() -> void;
  auto isEmpty() const -> bool { return Known.empty(); }
  /// The configuration of all parts, routes in the order of their identities.
  /// InvalidArgument, with the key of the part, if one of them cannot be
  /// decoded; NotFound if there is no head.
  auto configuration() const -> absl::StatusOr<EdgeConfiguration>;

private:
  /// Hash of the kind and the text of a part.
  struct Digest {
    std::uint64_t Low = 0;
    std::uint64_t High = 0;
    auto operator==(const Digest &) const -> bool = default;
  };
  struct DigestHash {
    auto operator()(const Digest &d) const -> std::size_t { return d.Low; }
  };
  struct KnownPart {
    Digest Text;
    /// The last call of changesTo() that has met the part unchanged.
    std::uint64_t SeenIn = 0;
  };
  /// The changed parts that one call of changesTo() has found.
  struct Changes {
    std::vector<ObjectEvent> Events;
    std::set<std::string> Keys;
  };

  static auto digestOf(std::string_view kind, std::string_view text) -> Digest;
  /// Finds the parts of \p kind that have changed.
  auto findChanges(std::string_view kind, const PartTexts &parts, Changes &out)
      -> absl::Status;
  /// Whether a part with this digest is known and was not met in this call.
  /// Marks it as met.
  auto isUnchanged(const Digest &d, const Changes &found) -> bool;
  /// Whether this call has met a part with this key.
  auto isTaken(const std::string &key, const Changes &found) const -> bool;
  auto set(const std::string &key, const std::string &text) -> void;
  auto erase(const std::string &key) -> void;
  /// Keeps \p decoded in \p parts, or why it cannot be decoded.
  template <typename T>
  auto keep(std::map<std::string, T> &parts, const std::string &key,
            absl::StatusOr<T> decoded) -> void;

  const RecordFormat &Format;
  std::map<std::string, EdgeConfiguration> Heads;
  std::map<std::string, RouteRecord> Routes;
  std::map<std::string, ServiceRecord> Services;
  /// Why a part cannot be decoded, by its key.
  std::map<std::string, absl::Status> Refused;
  /// All parts by key.
  std::unordered_map<std::string, KnownPart> Known;
  /// The elements of Known by their texts; of equal texts, one of them.
  std::unordered_map<Digest, std::pair<const std::string, KnownPart> *,
                     DigestHash>
      ByText;
  std::uint64_t Calls = 0;
};

} // namespace boragebridge

#endif
