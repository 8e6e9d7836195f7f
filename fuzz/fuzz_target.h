/// \file
/// Declarations that all fuzz targets share. A fuzz target is one file that
/// defines testOneInput(), which is called with each input that libFuzzer
/// generates. `tools/fuzz` builds and runs all targets.
#ifndef BORAGEBRIDGE_FUZZ_FUZZ_TARGET_H
#define BORAGEBRIDGE_FUZZ_FUZZ_TARGET_H

#include "boragebridge/types.h"

#include <algorithm>

namespace boragebridge::fuzz {

/// Runs the target on one input. Any abort, sanitizer report or exception is a
/// finding.
auto testOneInput(ByteView data) -> void;

/// Returns \p data as text.
inline auto toText(ByteView data) -> std::string {
  std::string s(data.size(), '\0');
  std::transform(data.begin(), data.end(), s.begin(),
                 [](std::byte b) { return static_cast<char>(b); });
  return s;
}

} // namespace boragebridge::fuzz

#endif
