/// \file
/// JSON bodies of the platform's object API, for its client and its stand-in.
#ifndef BORAGEBRIDGE_NET_OBJECT_JSON_H
#define BORAGEBRIDGE_NET_OBJECT_JSON_H

#include "boragebridge/platform_client.h"

namespace boragebridge {

/// Pure functions; the parsers return InvalidArgument for a malformed body.
auto formatObject(const StoredObject &o) -> std::string;
auto parseObject(const std::string &body) -> absl::StatusOr<StoredObject>;
auto formatObjectList(const ObjectList &l) -> std::string;
auto parseObjectList(const std::string &body) -> absl::StatusOr<ObjectList>;
auto formatVersion(ObjectVersion v) -> std::string;
auto parseVersion(const std::string &body) -> absl::StatusOr<ObjectVersion>;
auto formatValue(const std::string &value) -> std::string;
auto parseValue(const std::string &body) -> absl::StatusOr<std::string>;

/// Percent-encodes \p s for a path or a query; slashes stay.
auto percentEncode(const std::string &s) -> std::string;
/// The reverse; malformed escapes stay as they are.
auto percentDecode(const std::string &s) -> std::string;

} // namespace boragebridge

#endif
