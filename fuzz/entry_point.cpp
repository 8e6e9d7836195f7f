#include "fuzz_target.h"

// The name is libFuzzer's.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                       std::size_t size) -> int {
  boragebridge::fuzz::testOneInput(std::as_bytes(std::span(data, size)));
  return 0;
}
