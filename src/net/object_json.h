/// \file
/// JSON bodies and URL encoding of the platform's object API, shared by the
/// client and the platform stand-in. All functions are thread-safe.
#ifndef BORAGEBRIDGE_NET_OBJECT_JSON_H
#define BORAGEBRIDGE_NET_OBJECT_JSON_H

#include "boragebridge/platform_client.h"

namespace boragebridge {

/// The format functions return the JSON text of a value, and the parse
/// functions read it back. The latter return InvalidArgument for a malformed
/// body.
auto formatObject(const StoredObject &o) -> std::string;
auto parseObject(const std::string &body) -> absl::StatusOr<StoredObject>;
auto formatObjectList(const ObjectList &l) -> std::string;
auto parseObjectList(const std::string &body) -> absl::StatusOr<ObjectList>;
auto formatVersion(ObjectVersion v) -> std::string;
auto parseVersion(const std::string &body) -> absl::StatusOr<ObjectVersion>;
auto formatValue(const std::string &value) -> std::string;
auto parseValue(const std::string &body) -> absl::StatusOr<std::string>;

/// Percent-encodes \p s for a path or a query. Slashes are not encoded.
auto percentEncode(const std::string &s) -> std::string;
/// Decodes percent-encoded text. Returns \p s unchanged when it has a malformed
/// escape.
auto percentDecode(const std::string &s) -> std::string;

} // namespace boragebridge

#endif
