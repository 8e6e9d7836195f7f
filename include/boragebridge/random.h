/// \file
/// Sources of random numbers. With a seeded source a run repeats exactly.
#ifndef BORAGEBRIDGE_RANDOM_H
#define BORAGEBRIDGE_RANDOM_H

#include "boragebridge/types.h"

namespace boragebridge {

/// Source of random numbers. Implementations need not be thread-safe.
class RandomSource {
public:
  RandomSource() = default;
  RandomSource(const RandomSource &) = delete;
  auto operator=(const RandomSource &) -> RandomSource & = delete;
  virtual ~RandomSource() = default;
  /// Returns 64 uniformly distributed bits.
  virtual auto next() -> std::uint64_t = 0;

  /// A number in [0, \p n). Precondition: \p n > 0.
  auto below(std::uint64_t n) -> std::uint64_t { return next() % n; }
  /// A number in [0, 1).
  auto unit() -> double {
    return static_cast<double>(next() >> 11) * 0x1.0p-53;
  }
  /// A duration uniformly distributed over [d/2, 3d/2).
  auto jitter(Duration d) -> Duration {
    return Duration(static_cast<std::int64_t>(static_cast<double>(d.count()) *
                                              (0.5 + unit())));
  }
};

/// SplitMix64 from a fixed seed: the same seed gives the same numbers.
class SeededRandom final : public RandomSource {
public:
  explicit SeededRandom(std::uint64_t seed) : State(seed) {}
  auto next() -> std::uint64_t override {
    auto z = (State += 0x9E3779B97F4A7C15ULL);
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31);
  }

private:
  std::uint64_t State;
};

/// Random numbers of the operating system, for incarnations and keys.
class SystemRandom final : public RandomSource {
public:
  auto next() -> std::uint64_t override;
};

} // namespace boragebridge

#endif
