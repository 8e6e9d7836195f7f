#include "fuzz_target.h"

// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                       std::size_t size) -> int {
  boragebridge::fuzz::testOneInput(std::as_bytes(std::span(data, size)));
  return 0;
}
