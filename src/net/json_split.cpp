#include "net/json_split.h"

#include <algorithm>
#include <array>
#include <string>

namespace boragebridge {

namespace {

/// Whether \p c is a quote or a bracket, outside of strings.
auto isStructural(char c) -> bool {
  static constexpr auto Table = [] {
    std::array<bool, 256> out{};
    for (const auto it : {'"', '[', ']', '{', '}'})
      out[static_cast<unsigned char>(it)] = true;
    return out;
  }();
  return Table[static_cast<unsigned char>(c)];
}

/// Reads the parts of one array or object from front to back.
class Splitter {
public:
  explicit Splitter(std::string_view text) : Text(text) {}

  /// Skips white space, and then \p c if it follows.
  auto consume(char c) -> bool {
    skipSpace();
    if (Pos == Text.size() || Text[Pos] != c)
      return false;
    ++Pos;
    return true;
  }

  /// Skips a value and returns its text; empty if there is none, or if the text
  /// ends within it.
  auto takeValue() -> std::string_view {
    skipSpace();
    const auto begin = Pos;
    auto end = begin;
    while (Pos < Text.size()) {
      const auto c = Text[Pos];
      if (c == ',' || c == ':' || c == ']' || c == '}')
        break;
      if (c == '"' && !skipString())
        return {};
      if (isOpening(c) && !skipNested())
        return {};
      ++Pos;
      if (!isSpace(c))
        end = Pos;
    }
    return Text.substr(begin, end - begin);
  }

  /// Whether nothing but white space is left.
  auto isAtEnd() -> bool {
    skipSpace();
    return Pos == Text.size();
  }

private:
  static auto isSpace(char c) -> bool {
    return c == ' ' || c == '\n' || c == '\r' || c == '\t';
  }

  static auto isOpening(char c) -> bool { return c == '[' || c == '{'; }

  auto skipSpace() -> void {
    while (Pos < Text.size() && isSpace(Text[Pos]))
      ++Pos;
  }

  /// Moves from an opening bracket to the one that closes it. Returns false if
  /// there is none.
  auto skipNested() -> bool {
    std::size_t depth = 0;
    for (; Pos < Text.size(); ++Pos) {
      const auto c = Text[Pos];
      if (!isStructural(c))
        continue;
      if (c == '"') {
        if (!skipString())
          return false;
      } else if (isOpening(c)) {
        ++depth;
      } else if (--depth == 0) {
        return true;
      }
    }
    return false;
  }

  /// Moves from the opening quote of a string to its closing one. Returns false
  /// if there is none.
  auto skipString() -> bool {
    for (++Pos; Pos < Text.size(); ++Pos) {
      if (Text[Pos] == '"')
        return true;
      if (Text[Pos] == '\\')
        ++Pos;
    }
    Pos = Text.size();
    return false;
  }

  std::string_view Text;
  std::size_t Pos = 0;
};

/// Calls \p takePart for each part between \p open and \p close. It returns
/// false for a malformed part.
template <typename TakePart>
auto splitParts(Splitter &in, char open, char close, TakePart takePart)
    -> bool {
  if (!in.consume(open))
    return false;
  if (in.consume(close))
    return in.isAtEnd();
  do {
    if (!takePart())
      return false;
  } while (in.consume(','));
  return in.consume(close) && in.isAtEnd();
}

} // namespace

auto splitJsonArray(std::string_view text)
    -> absl::StatusOr<std::vector<std::string_view>> {
  Splitter in(text);
  std::vector<std::string_view> out;
  const auto ok = splitParts(in, '[', ']', [&] {
    out.push_back(in.takeValue());
    return !out.back().empty();
  });
  if (!ok)
    return absl::InvalidArgumentError("not a JSON array");
  return out;
}

auto splitJsonObject(std::string_view text)
    -> absl::StatusOr<std::vector<JsonMember>> {
  Splitter in(text);
  std::vector<JsonMember> out;
  const auto ok = splitParts(in, '{', '}', [&] {
    auto name = in.takeValue();
    if (name.size() < 2 || name.front() != '"' || name.back() != '"' ||
        !in.consume(':'))
      return false;
    name = name.substr(1, name.size() - 2);
    out.push_back({name, in.takeValue()});
    return !out.back().Value.empty();
  });
  if (!ok)
    return absl::InvalidArgumentError("not a JSON object");
  return out;
}

auto findJsonMember(const std::vector<JsonMember> &members,
                    std::string_view name) -> absl::StatusOr<std::string_view> {
  const auto it =
      std::find_if(members.rbegin(), members.rend(),
                   [&](const auto &member) { return member.Name == name; });
  if (it == members.rend())
    return absl::NotFoundError("JSON member '" + std::string(name) +
                               "' is missing");
  return it->Value;
}

} // namespace boragebridge
