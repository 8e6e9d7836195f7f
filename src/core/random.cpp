#include "boragebridge/random.h"

#include <random>

namespace boragebridge {

auto SystemRandom::next() -> std::uint64_t {
  static thread_local std::random_device source;
  auto high = std::uint64_t{source()};
  return (high << 32) | source();
}

} // namespace boragebridge
