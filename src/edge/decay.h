/// \file
/// Exponential decay of counts and estimates.
#ifndef BORAGEBRIDGE_EDGE_DECAY_H
#define BORAGEBRIDGE_EDGE_DECAY_H

#include "boragebridge/types.h"

#include <cmath>

namespace boragebridge {

/// The share that is left, after \p elapsed, of a quantity that decays to 1/e
/// in \p decayTime. Precondition: \p decayTime is above 0. Thread-safe.
inline auto decayFactor(Duration elapsed, Duration decayTime) -> double {
  using Seconds = std::chrono::duration<double>;
  return std::exp(-Seconds(elapsed) / Seconds(decayTime));
}

} // namespace boragebridge

#endif
