/// \file
/// Splits the text of a JSON object or array into the texts of its members or
/// elements, without parsing these. So a value that a JSON parser refuses, for
/// example because it is nested too deeply, has a number that is out of range
/// or a text that cannot be decoded, does not affect the values beside it.
///
/// The functions only distinguish strings, brackets and separators. They use
/// constant stack space and time linear in the length of the text. Thread-safe.
#ifndef BORAGEBRIDGE_NET_JSON_SPLIT_H
#define BORAGEBRIDGE_NET_JSON_SPLIT_H

#include "absl/status/statusor.h"

#include <string_view>
#include <vector>

namespace boragebridge {

/// A member of a JSON object; both views are parts of the text of the object.
struct JsonMember {
  /// Without its quotes, and with its escape sequences as they are.
  std::string_view Name;
  std::string_view Value;
};

/// The texts of the elements of the array \p text. InvalidArgument if \p text
/// is not an array, or ends within one.
auto splitJsonArray(std::string_view text)
    -> absl::StatusOr<std::vector<std::string_view>>;

/// The members of the object \p text, in their order. InvalidArgument if
/// \p text is not an object, or ends within one.
auto splitJsonObject(std::string_view text)
    -> absl::StatusOr<std::vector<JsonMember>>;

/// The text of the last member \p name of \p members; NotFound if there is
/// none.
auto findJsonMember(const std::vector<JsonMember> &members,
                    std::string_view name) -> absl::StatusOr<std::string_view>;

} // namespace boragebridge

#endif
