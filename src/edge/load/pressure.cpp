#include "edge/load/pressure.h"

#include <cmath>

namespace boragebridge {

using Seconds = std::chrono::duration<double>;

auto Pressure::decay(TimePoint now) -> void {
  const auto left =
      std::exp(-Seconds(now - DecayedAt) / Seconds(Options.Window));
  Requests *= left;
  Failures *= left;
  DecayedAt = now;
}

auto Pressure::record(double failures, TimePoint now) -> void {
  decay(now);
  Requests += 1;
  Failures += failures;
  decide(now);
}

auto Pressure::tick(TimePoint now) -> void {
  decay(now);
  decide(now);
}

auto Pressure::decide(TimePoint now) -> void {
  const auto share = failedShare();
  if (share > Options.BeginShare && Failures >= Options.MinFailures)
    On = true;
  // Without requests there is no pressure, whatever the last ones met.
  if (share > Options.EndShare && Requests >= 1)
    HighAt = now;
  if (On && now - HighAt > Options.EndTime)
    On = false;
}

} // namespace boragebridge
