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

namespace boragebridge {

/// The prefix of the parts in mirrors. The store has no objects below it.
inline constexpr std::string_view ConfigurationPartsPrefix =
    "configuration-parts/";

/// Returns the parts of the configuration \p o of the store as objects below
/// ConfigurationPartsPrefix, complete at version \p current. Errors are those
/// of RecordFormat::splitConfiguration().
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

  /// Decodes the parts that \p changes adds or replaces, and removes those that
  /// it removes.
  auto apply(const std::vector<ObjectEvent> &changes) -> void;
  /// The configuration of all parts, routes in the order of their identities.
  /// InvalidArgument, with the key of the part, if one of them cannot be
  /// decoded; NotFound if there is no head.
  auto configuration() const -> absl::StatusOr<EdgeConfiguration>;

private:
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
};

} // namespace boragebridge

#endif
